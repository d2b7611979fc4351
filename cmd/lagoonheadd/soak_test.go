package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead/platform"
	"github.com/lagoonhead/lagoonhead/platform/fakewire"
)

var (
	soakSeeds = flag.Int("soak.seeds", 2, "number of seeds of each soak")
	soakFirst = flag.Uint64("soak.first", 1, "first seed of each soak")
)

const (
	// soakTime is how long planned work comes in a soak.
	soakTime = 8 * time.Second
	// soakDaemons is the number of daemons, and soakClients that of clients, each of which keeps
	// to one daemon and its successors.
	soakDaemons, soakClients = 3, 18
	// soakEvents is the number of events of each stream.
	soakEvents = 20
	// soakGrace is the grace time of the daemons.
	soakGrace = 8 * time.Second
	// soakDeadline is the time that each client waits.
	soakDeadline = 3 * time.Second
)

// soakRequest is a request of a client.
type soakRequest struct {
	id, path, body string
	status         int
	err            error
	began          time.Time
	took           time.Duration
	// daemon is the process to which the request was sent.
	daemon *process
}

// soak is a fleet under traffic and planned work.
type soak struct {
	*platformFleet
	random    *rand.Rand
	endpoints []*fakewire.Endpoint
	daemons   [soakDaemons]atomic.Pointer[process]
	// stopped gets the result of a daemon that was told to stop; nil while it was not.
	stopped [soakDaemons]chan error
	// leaving is true while the last endpoint leaves.
	leaving bool

	mu       sync.Mutex
	requests []soakRequest
}

// Guards against requests that end without an answer, bookings that run twice and streams with a
// gap while planned work comes in series and overlaps: hangups, stops with restarts, changes of
// the configuration, engines that fall silent and endpoints that leave.
func TestSoakOfPlannedWork(t *testing.T) {
	runSeeds(t, func(t *testing.T, seed uint64) { newSoak(t, seed, 60*time.Millisecond).run(t) })
}

// runSeeds runs a soak with each seed that the flags name.
func runSeeds(t *testing.T, run func(t *testing.T, seed uint64)) {
	for i := range uint64(*soakSeeds) {
		seed := *soakFirst + i
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { run(t, seed) })
	}
}

// newSoak starts a fleet. Bookings take the given time; environment is added to that of the daemons.
func newSoak(t *testing.T, seed uint64, pause time.Duration, environment ...string) *soak {
	s := &soak{random: rand.New(rand.NewPCG(seed, 0))}
	for _, id := range []string{"m1", "m2"} {
		s.endpoints = append(s.endpoints, &fakewire.Endpoint{
			ID: id, Stage: "decode", Events: soakEvents, Pause: 20 * time.Millisecond, Silence: 1300 * time.Millisecond,
		})
	}
	for _, id := range []string{"s1", "s2"} {
		s.endpoints = append(s.endpoints, &fakewire.Endpoint{ID: id, Pause: pause})
	}
	s.platformFleet = newPlatformFleet(t, s.endpoints...)
	s.grace, s.environment = soakGrace, environment
	for i := range s.daemons {
		s.daemons[i].Store(s.startDaemon(t, vmName(i)))
	}
	return s
}

func (s *soak) run(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var clients sync.WaitGroup
	for i := range soakClients {
		clients.Go(func() {
			pool := &http.Transport{MaxIdleConnsPerHost: 1}
			defer pool.CloseIdleConnections()
			s.client(ctx, i, func(q *soakRequest) { q.send(&http.Client{Transport: pool}) })
		})
	}
	for began := time.Now(); time.Since(began) < soakTime; {
		time.Sleep(50*time.Millisecond + time.Duration(s.random.IntN(250))*time.Millisecond)
		s.doPlannedWork(t)
		for i := range s.daemons {
			s.restart(t, i, false)
		}
	}
	for i := range s.daemons {
		s.restart(t, i, true)
	}
	cancel()
	clients.Wait()
	s.check(t, 4)
}

// doPlannedWork does one piece of planned work.
func (s *soak) doPlannedWork(t *testing.T) {
	i := s.random.IntN(soakDaemons)
	d := s.daemons[i].Load()
	switch s.random.IntN(6) {
	case 0, 1:
		if s.stopped[i] == nil || s.random.IntN(2) == 0 {
			_ = d.cmd.Process.Signal(syscall.SIGHUP) // it may have ended
		}
	case 2:
		if s.stopped[i] == nil {
			d.terminated = time.Now()
			d.signal(t, syscall.SIGTERM)
			ended := make(chan error, 1)
			s.stopped[i] = ended
			go func() {
				err := d.cmd.Wait()
				d.ended = time.Now()
				ended <- err
			}()
		}
	case 3:
		s.configure(t)
	case 4:
		s.endpoints[0].SetFault([]fakewire.Fault{fakewire.FaultNone, fakewire.FaultSilence}[s.random.IntN(2)])
	case 5:
		s.leaveOrReturn(t)
	}
}

// leaveOrReturn makes the last endpoint say that it leaves, or start again if it does.
func (s *soak) leaveOrReturn(t *testing.T) {
	e := s.endpoints[len(s.endpoints)-1]
	if s.leaving = !s.leaving; s.leaving {
		e.SetLeaving("1")
		return
	}
	e.SetLeaving()
	e.Restart()
	s.put(t, platform.EndpointPrefix+e.ID, e.Registration("plain", s.addresses[e.ID], "a", "ready"))
}

// restart starts a daemon again that has stopped, or that wait asks to wait for.
func (s *soak) restart(t *testing.T, i int, wait bool) {
	if s.stopped[i] == nil || (!wait && len(s.stopped[i]) == 0) {
		return
	}
	require.NoError(t, <-s.stopped[i])
	s.stopped[i] = nil
	s.daemons[i].Store(s.startDaemon(t, vmName(i)))
}

// client sends requests of one kind until ctx ends.
func (s *soak) client(ctx context.Context, i int, send func(*soakRequest)) {
	path := [...]string{"/book/x", "/read/x", "/tag/x"}[i/soakDaemons%3]
	for n := 0; ctx.Err() == nil; n++ {
		q := soakRequest{id: fmt.Sprint("client ", i, " request ", n), path: path, daemon: s.daemons[i%soakDaemons].Load()}
		s.record(&q, send)
		if q.status == http.StatusOK {
			time.Sleep(5 * time.Millisecond)
		} else {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// record sends a request and keeps the result for the check.
func (s *soak) record(q *soakRequest, send func(*soakRequest)) {
	q.began = time.Now()
	send(q)
	q.took = time.Since(q.began)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, *q)
}

func (q *soakRequest) send(c *http.Client) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*soakDeadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, q.daemon.url()+q.path, strings.NewReader(booking))
	if err != nil {
		q.err = err
		return
	}
	r.Host = "h.example"
	r.Header = http.Header{
		"X-Request-Id": {q.id}, "Authorization": {"Bearer " + frontDeskKey}, "X-Deadline-Ms": {strconv.FormatInt(soakDeadline.Milliseconds(), 10)},
	}
	resp, err := c.Do(r)
	if err != nil {
		q.err = err
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	q.status, q.body, q.err = resp.StatusCode, string(body), err
}

// check fails the test for each request that broke a rule, and if less than one in leastServed
// was served. It returns how often each request ran.
func (s *soak) check(t *testing.T, leastServed int) (runs map[string]int) {
	runs = make(map[string]int)
	for _, e := range s.endpoints {
		for _, r := range e.Runs() {
			runs[r.Header.Get("X-Request-Id")]++
		}
	}
	var stream strings.Builder
	for i := range soakEvents {
		fmt.Fprintf(&stream, "id: %d\ndata: piece %d\n\n", i+1, i+1)
	}
	statuses := make(map[int]int)
	for _, q := range s.requests {
		statuses[q.status]++
		n := runs[q.id]
		switch {
		case q.err != nil && n > 0 && q.took < soakDeadline*9/10:
			t.Errorf("%s (%s) ran and ended after %s without a whole answer: %v", q.id, q.path, q.took, q.err)
		case n > 1 && q.path != "/read/x":
			t.Errorf("%s (%s) ran %d times", q.id, q.path, n)
		case (q.status == http.StatusServiceUnavailable || q.status == http.StatusTooManyRequests) && n > 0:
			t.Errorf("%s (%s) was refused and ran", q.id, q.path)
		case q.err == nil && q.status == http.StatusOK && q.path != "/book/x" && q.body != stream.String():
			t.Errorf("%s (%s) has a gap: %q", q.id, q.path, q.body)
		}
	}
	t.Logf("requests by status, 0 for none: %v", statuses)
	require.Greater(t, statuses[http.StatusOK], len(s.requests)/leastServed)
	return runs
}
