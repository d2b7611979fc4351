package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead/platform/fakewire"
)

const (
	// floodTime is how long floods and planned work come in a soak.
	floodTime = 6 * time.Second
	// maxFloods is the number of floods at a time, and maxFloodClients that of clients of each.
	maxFloods, maxFloodClients = 3, 240
	// floodRoutes is the number of routes that a large configuration adds.
	floodRoutes = 300
	// slowTurn is how long a slow daemon runs at a time.
	slowTurn = 10 * time.Millisecond
	// leastServed is the part of the requests of which one must be served.
	leastServed = 100
	// endMargin is the time before the end of a process in which its sockets may be gone already.
	endMargin = 50 * time.Millisecond
)

// connection is where a request was sent.
type connection string

const (
	newConnection  connection = "new connection"
	keptConnection connection = "kept connection"
)

// unanswered is a request that ended without a status.
type unanswered struct {
	soakRequest
	on    connection
	cause string
	// whole is true if all bytes were sent, the last one at sent.
	whole bool
	sent  time.Time
}

// floodSoak is a soak with floods of new connections. Its clients use no HTTP client, which could
// send a request again.
type floodSoak struct {
	*soak
	floods sync.WaitGroup
	// flooding is the number of floods in progress, and flooded that of all.
	flooding, flooded atomic.Int32
	processes         []*process

	// unanswered and unconnected, the number of requests that got no connection, are guarded by mu.
	unanswered  []unanswered
	unconnected int
}

// Guards against whole requests whose connection ends without an answer beside floods of new
// connections, slow processors, changes of the configuration, silent engines and signals.
func TestSoakOfFloods(t *testing.T) {
	runSeeds(t, func(t *testing.T, seed uint64) {
		s := &floodSoak{soak: newSoak(t, seed, 10*time.Millisecond, "GOMAXPROCS=1")}
		s.run(t)
	})
}

func (s *floodSoak) run(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var clients sync.WaitGroup
	for i := range soakClients {
		clients.Go(func() {
			c := &rawClient{soak: s}
			defer c.close()
			s.client(ctx, i, c.send)
		})
	}
	s.noteProcesses()
	for began := time.Now(); time.Since(began) < floodTime || (!s.protected() && time.Since(began) < startTimeout); {
		time.Sleep(50*time.Millisecond + time.Duration(s.random.IntN(150))*time.Millisecond)
		i := s.random.IntN(soakDaemons)
		switch s.random.IntN(4) {
		case 0, 1:
			s.flood(i)
			for range s.random.IntN(4) {
				s.freeze(i, s.randomPause())
			}
			s.configureOften(t)
		case 2:
			s.freeze(i, s.randomPause())
		case 3:
			s.doPlannedWork(t)
		}
		for i := range s.daemons {
			s.restart(t, i, false)
		}
		s.noteProcesses()
	}
	s.floods.Wait()
	for i := range s.daemons {
		s.restart(t, i, true)
	}
	cancel()
	clients.Wait()
	s.checkAnswers(t)
	require.True(t, s.protected(), "the overload protection refused no connections")
}

// Guards against whole requests on new connections that end without an answer when a stopping daemon
// closes its listener and connections.
func TestRequestsAtTheEndOfAStopAreAnswered(t *testing.T) {
	e := &fakewire.Endpoint{ID: "s1", Pause: 5 * time.Millisecond}
	s := &floodSoak{soak: &soak{platformFleet: newPlatformFleet(t, e), endpoints: []*fakewire.Endpoint{e}}}
	p := s.startDaemon(t, "vm1")
	s.processes = []*process{p}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var clients sync.WaitGroup
	for i := range 8 {
		clients.Go(func() {
			c := &rawClient{soak: s}
			defer c.close()
			for n := 0; ctx.Err() == nil; n++ {
				q := soakRequest{id: fmt.Sprint("client ", i, " request ", n), path: "/book/x", daemon: p}
				s.record(&q, c.send)
				c.close()
				time.Sleep(time.Millisecond)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	p.terminated = time.Now()
	p.signal(t, syscall.SIGTERM)
	require.NoError(t, p.cmd.Wait())
	p.ended = time.Now()
	cancel()
	clients.Wait()
	s.checkAnswers(t)
}

// noteProcesses keeps the processes of the daemons, for their logs.
func (s *floodSoak) noteProcesses() {
	for i := range s.daemons {
		if p := s.daemons[i].Load(); !slices.Contains(s.processes, p) {
			s.processes = append(s.processes, p)
		}
	}
}

// configureOften writes a series of configurations, some of which are large.
func (s *floodSoak) configureOften(t *testing.T) {
	for range 2 + s.random.IntN(4) {
		s.configureWith(t, s.random.IntN(2)*floodRoutes)
		time.Sleep(time.Duration(s.random.IntN(60)) * time.Millisecond)
	}
}

// freeze stops a daemon for a while, in which requests wait in its accept queue.
func (s *floodSoak) freeze(i int, pause time.Duration) {
	d := s.daemons[i].Load().cmd.Process
	if d.Signal(syscall.SIGSTOP) == nil { // else it has ended
		time.Sleep(pause)
		_ = d.Signal(syscall.SIGCONT)
	}
}

// randomPause returns how long a daemon is to be stopped.
func (s *floodSoak) randomPause() time.Duration {
	return 50*time.Millisecond + time.Duration(s.random.IntN(351))*time.Millisecond
}

// slow makes a daemon run for a fourth of the time until end, like one with a slow processor.
func (s *floodSoak) slow(i int, end time.Time) {
	for time.Now().Before(end) {
		s.freeze(i, 3*slowTurn)
		time.Sleep(slowTurn)
	}
}

// flood sends requests to a daemon and its successors for a while, most of them on new connections
// and all without regard to Retry-After.
func (s *floodSoak) flood(i int) {
	if s.flooding.Load() == maxFloods {
		return
	}
	s.flooding.Add(1)
	number := s.flooded.Add(1)
	clients := maxFloodClients/2 + s.random.IntN(maxFloodClients/2)
	end := time.Now().Add(600*time.Millisecond + time.Duration(s.random.IntN(900))*time.Millisecond)
	size := 1<<10 + s.random.IntN(48<<10)
	var wait sync.WaitGroup
	for j := range clients {
		wait.Go(func() {
			c := &rawClient{soak: s, fill: size, halved: j%2 == 1}
			defer c.close()
			for n := 0; time.Now().Before(end); n++ {
				q := soakRequest{id: fmt.Sprint("flood ", number, " client ", j, " request ", n), path: "/book/x", daemon: s.daemons[i].Load()}
				s.record(&q, c.send)
				if j%8 > 0 { // the others keep their connections
					c.close()
				}
				if q.status == 0 {
					time.Sleep(20 * time.Millisecond)
				}
			}
		})
	}
	if s.random.IntN(4) > 0 {
		wait.Go(func() { s.slow(i, end) })
	}
	s.floods.Go(func() {
		wait.Wait()
		s.flooding.Add(-1)
	})
}

// rawClient sends requests on one connection, and opens the next one when that is closed or the
// daemon's address is another.
type rawClient struct {
	soak *floodSoak
	// fill is the number of bytes by which bodies are longer.
	fill int
	// halved makes a request be sent in two parts.
	halved bool

	conn    net.Conn
	reader  *bufio.Reader
	address string
}

func (c *rawClient) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// send sends a request and reads the answer. It keeps the connection unless the answer ends it.
func (c *rawClient) send(q *soakRequest) {
	u := unanswered{on: keptConnection}
	if c.conn == nil || c.address != q.daemon.address {
		c.close()
		u.on = newConnection
		if c.conn, q.err = net.DialTimeout("tcp", q.daemon.address, 2*soakDeadline); q.err != nil {
			c.conn = nil
			c.soak.mu.Lock()
			defer c.soak.mu.Unlock()
			c.soak.unconnected++
			return
		}
		c.reader, c.address = bufio.NewReader(c.conn), q.daemon.address
	}
	_ = c.conn.SetDeadline(time.Now().Add(2 * soakDeadline)) // an error shows at the next use
	u.whole = c.write(q)
	u.sent = time.Now()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		q.err = err
		c.close()
		u.soakRequest, u.cause = *q, nameCause(err)
		u.took = time.Since(q.began)
		c.soak.mu.Lock()
		defer c.soak.mu.Unlock()
		c.soak.unanswered = append(c.soak.unanswered, u)
		return
	}
	body, err := io.ReadAll(resp.Body)
	q.status, q.body, q.err = resp.StatusCode, string(body), err
	if err != nil || resp.Close || !u.whole {
		c.close()
	}
}

// write reports whether it has sent all bytes of a request.
func (c *rawClient) write(q *soakRequest) bool {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nAuthorization: Bearer %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		q.path, fakewire.Host, q.id, frontDeskKey, soakDeadline.Milliseconds(), len(booking)+c.fill)
	request := head + booking + strings.Repeat(" ", c.fill)
	if c.halved {
		first := len(head) + len(booking)
		if _, err := io.WriteString(c.conn, request[:first]); err != nil {
			return false
		}
		time.Sleep(2 * time.Millisecond)
		request = request[first:]
	}
	_, err := io.WriteString(c.conn, request)
	return err == nil
}

// nameCause returns how a connection ended.
func nameCause(err error) string {
	switch {
	case errors.Is(err, syscall.ECONNRESET):
		return "reset"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "end"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "timeout"
	}
	return err.Error()
}

// countBehind returns how often the daemons logged that they are behind.
func (s *floodSoak) countBehind() (n int) {
	for _, p := range s.processes {
		n += strings.Count(p.output.String(), "processor behind")
	}
	return n
}

// protected reports whether daemons refused connections because of their processor.
func (s *floodSoak) protected() bool { return s.refusedConnections()["behind"] > 0 }

// refusedLine is the log line on refused connections, and refusedCounts are the counts in it.
const refusedLine = `"connections of callers refused"`

var refusedCounts = regexp.MustCompile(`"(behind|crowded|dropped)":(\d+)`)

// refusedConnections returns how many connections the daemons logged as refused, by the reason, and
// as dropped.
func (s *floodSoak) refusedConnections() map[string]int {
	counts := make(map[string]int)
	for _, p := range s.processes {
		_, log, found := strings.Cut(p.output.String(), refusedLine)
		for found {
			line, rest, _ := strings.Cut(log, "\n")
			for _, m := range refusedCounts.FindAllStringSubmatch(line, -1) {
				n, _ := strconv.Atoi(m[2]) // digits
				counts[m[1]] += n
			}
			_, log, found = strings.Cut(rest, refusedLine)
		}
	}
	return counts
}

// checkAnswers fails the test for whole requests that ended without an answer.
func (s *floodSoak) checkAnswers(t *testing.T) {
	runs := s.check(t, leastServed)
	counts := make(map[string]int)
	for _, u := range s.unanswered {
		when, allowed := u.judge(runs[u.id])
		kind := fmt.Sprintf("%s, %s, %s", u.on, when, u.cause)
		if !u.whole {
			kind += ", partly sent"
		}
		if counts[kind]++; !allowed && counts[kind] <= 3 {
			t.Errorf("%s to %s at %s got no answer: %s; began %s, sent after %s, ended after %s; SIGTERM %s, process gone %s; ran %d times",
				u.id, u.daemon.name, u.daemon.address, kind, u.began.UTC().Format(time.RFC3339Nano), u.sent.Sub(u.began), u.took,
				since(u.daemon.terminated, u.began), since(u.daemon.ended, u.began), runs[u.id])
		}
	}
	t.Logf("floods: %d, processor behind: %d times, connections refused: %v, processes: %d", s.flooded.Load(), s.countBehind(),
		s.refusedConnections(), len(s.processes))
	t.Logf("requests without an answer: %v; without a connection: %d", counts, s.unconnected)
}

// since returns the time from began to the time of an event, which is zero if there was none.
func since(event, began time.Time) string {
	if event.IsZero() {
		return "never"
	}
	return "after " + event.Sub(began).String()
}

// judge returns when a request ended in the life of its daemon, and whether it may have ended so.
func (u *unanswered) judge(runs int) (when string, allowed bool) {
	d, at := u.daemon, u.began.Add(u.took)
	switch {
	case d.terminated.IsZero() || at.Before(d.terminated):
		return "daemon lives", !u.whole
	case at.After(d.ended.Add(-endMargin)):
		return "daemon is gone", runs == 0
	default:
		return "daemon stops", !u.whole || (u.on == keptConnection && runs == 0)
	}
}
