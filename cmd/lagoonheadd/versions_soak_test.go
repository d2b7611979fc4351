package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/platform"
	"github.com/lagoonhead/lagoonhead/platform/fakewire"
)

const (
	// versionsTime is how long engines are replaced and daemons killed in a soak.
	versionsTime = 6 * time.Second
	// servingEngines is the number of engines that serve, old ones and new ones together.
	servingEngines = 5
	// versionClients is the number of clients, each of which has one stream at a time.
	versionClients = 16
	// maxRetakes is the number of attempts by which a client takes one stream up.
	maxRetakes = 4
	// contactTime is how long a daemon must have run to count as in touch.
	contactTime = 3 * time.Second
	// minRetakes is the number of retakes from which their share is judged.
	minRetakes = 12
	// drainTime is how long an engine that leaves goes on.
	drainTime = 500 * time.Millisecond
)

// versionEngine is an engine of a soak.
type versionEngine struct {
	*fakewire.Endpoint
	// left is when it said that it leaves.
	left time.Time
}

// versionDaemon is a daemon of a soak.
type versionDaemon struct {
	*process
	started time.Time
	killed  atomic.Bool
}

// attempts counts attempts and those that brought events.
type attempts struct{ sent, served int }

func (a *attempts) add(served bool) {
	a.sent++
	if served {
		a.served++
	}
}

func (a *attempts) share() float64 { return float64(a.served) / float64(max(1, a.sent)) }

// versionSoak is a fleet whose engines are replaced by ones of newer software versions, while daemons
// are killed and streams cut.
type versionSoak struct {
	*platformFleet
	random  *rand.Rand
	daemons [soakDaemons]atomic.Pointer[versionDaemon]
	number  atomic.Int64
	// release is the number of the newest software version.
	release int

	mu sync.Mutex
	// engines are those that serve, the oldest first.
	engines []*versionEngine
	streams []*fakewire.Stream
	// begun counts first attempts, and retaken attempts to take a stream up while two engines of its
	// version serve, both at daemons in touch. refused counts other retakes without an event.
	begun, retaken attempts
	refused        int
}

// Guards against streams with events of two software versions, and against streams that do not go on
// although engines of their version serve, while engines are replaced by ones of newer versions,
// streams are cut, and daemons are killed and started.
func TestSoakOfVersions(t *testing.T) {
	runSeeds(t, func(t *testing.T, seed uint64) {
		s := newVersionSoak(t, seed)
		s.run(t)
		s.check(t)
	})
}

// newVersionSoak starts a fleet whose engines have one software version.
func newVersionSoak(t *testing.T, seed uint64) *versionSoak {
	t.Helper()
	s := &versionSoak{platformFleet: newPlatformFleet(t), random: rand.New(rand.NewPCG(seed, 0))}
	for range servingEngines {
		s.addEngine(t)
	}
	for i := range s.daemons {
		s.start(t, i)
	}
	return s
}

func (s *versionSoak) start(t *testing.T, i int) {
	t.Helper()
	d := &versionDaemon{process: s.startDaemon(t, vmName(i))}
	d.started = time.Now()
	s.daemons[i].Store(d)
}

// addEngine starts an engine of the newest version.
func (s *versionSoak) addEngine(t *testing.T) {
	t.Helper()
	e := &versionEngine{Endpoint: &fakewire.Endpoint{
		ID: fmt.Sprint("m", s.number.Add(1)), Stage: "both", Software: fmt.Sprint("v1.", s.release), Events: soakEvents,
		Pause: 20 * time.Millisecond, MaxRunning: 8,
	}}
	s.addresses[e.ID] = listenForTest(t, e)
	s.register(t, e, "ready")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engines = append(s.engines, e)
}

func (s *versionSoak) register(t *testing.T, e *versionEngine, state string) {
	t.Helper()
	s.put(t, platform.EndpointPrefix+e.ID, e.Registration("model", s.addresses[e.ID], "a", state))
}

func (s *versionSoak) run(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var clients sync.WaitGroup
	for i := range versionClients {
		random := rand.New(rand.NewPCG(s.random.Uint64(), uint64(i)))
		clients.Go(func() {
			for ctx.Err() == nil {
				s.stream(ctx, random)
			}
		})
	}
	for began := time.Now(); time.Since(began) < versionsTime; {
		time.Sleep(50*time.Millisecond + time.Duration(s.random.IntN(150))*time.Millisecond)
		switch s.random.IntN(8) {
		case 0, 1, 2:
			s.replace(t)
		case 3, 4, 5, 6:
			s.cut(t)
		case 7:
			s.kill(t)
		}
		s.removeLeft(t)
	}
	cancel()
	clients.Wait()
}

// replace starts an engine and makes the oldest one leave. Once all have the newest version, a newer
// one comes.
func (s *versionSoak) replace(t *testing.T) {
	t.Helper()
	s.mu.Lock()
	serving := s.serving()
	s.mu.Unlock()
	if serving[0].Software == serving[len(serving)-1].Software {
		s.release++
	}
	s.addEngine(t)
	s.mu.Lock()
	serving[0].left = time.Now()
	s.mu.Unlock()
	s.register(t, serving[0], "draining")
}

// serving returns the engines that have not said that they leave. The caller must hold mu.
func (s *versionSoak) serving() (list []*versionEngine) {
	for _, e := range s.engines {
		if e.left.IsZero() {
			list = append(list, e)
		}
	}
	return list
}

// removeLeft ends the engines that have left for drainTime.
func (s *versionSoak) removeLeft(t *testing.T) {
	t.Helper()
	s.mu.Lock()
	var gone []*versionEngine
	s.engines = slices.DeleteFunc(s.engines, func(e *versionEngine) bool {
		if e.left.IsZero() || time.Since(e.left) < drainTime {
			return false
		}
		gone = append(gone, e)
		return true
	})
	s.mu.Unlock()
	for _, e := range gone {
		require.NoError(t, s.kv.Delete(t.Context(), platform.EndpointPrefix+e.ID, lagoonhead.AnyRevision))
		e.SetFault(fakewire.FaultRefuse)
		e.Crash()
	}
}

// cut breaks off the streams of an engine, which is back at once as another process.
func (s *versionSoak) cut(t *testing.T) {
	t.Helper()
	s.mu.Lock()
	serving := s.serving()
	s.mu.Unlock()
	e := serving[s.random.IntN(len(serving))]
	e.Crash()
	s.register(t, e, "ready")
}

// kill kills daemons, of which the last one is spared, and starts them again.
func (s *versionSoak) kill(t *testing.T) {
	t.Helper()
	first := s.random.IntN(soakDaemons - 1)
	for i := first; i < soakDaemons-1; i += 1 + s.random.IntN(2) {
		d := s.daemons[i].Load()
		d.killed.Store(true)
		require.NoError(t, d.cmd.Process.Kill())
		_ = d.cmd.Wait() // it was killed
		s.start(t, i)
	}
}

// stream is a client that begins a stream at a daemon, leaves it or has it cut, and takes it up again
// at any daemon.
func (s *versionSoak) stream(ctx context.Context, random *rand.Rand) {
	v := &fakewire.Stream{Path: fmt.Sprint("/read/", s.number.Add(1)), Header: http.Header{
		"Authorization": {"Bearer " + frontDeskKey}, "X-Deadline-Ms": {strconv.FormatInt(soakDeadline.Milliseconds(), 10)},
	}}
	s.mu.Lock()
	s.streams = append(s.streams, v)
	s.mu.Unlock()
	for n := 0; n <= maxRetakes && !v.Ended && ctx.Err() == nil; n++ {
		most := 0
		if random.IntN(3) > 0 {
			most = 1 + random.IntN(soakEvents-1)
		}
		a := s.attempt(v, s.daemons[random.IntN(soakDaemons)].Load(), most)
		if after, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64); err == nil {
			time.Sleep(time.Duration(after * float64(time.Second)))
		}
		if a.Status == 0 {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// attempt makes and counts an attempt of a stream.
func (s *versionSoak) attempt(v *fakewire.Stream, d *versionDaemon, most int) fakewire.StreamAnswer {
	ctx, cancel := context.WithTimeout(context.Background(), 2*soakDeadline)
	defer cancel()
	began, first := time.Now(), v.Began == ""
	room := first || s.twoServe(v.Software[0])
	a := v.Send(ctx, d.address, fmt.Sprint("attempt ", s.number.Add(1)), most)
	served := a.Status == http.StatusOK && (a.Events > 0 || v.Ended)
	inTouch := began.Sub(d.started) > contactTime && !d.killed.Load()
	room = room && (first || s.twoServe(v.Software[0]))
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case inTouch && room && first:
		s.begun.add(served)
	case inTouch && room:
		s.retaken.add(served)
	case !first && !served:
		s.refused++
	}
	return a
}

// twoServe reports whether two engines of a software version serve.
func (s *versionSoak) twoServe(software string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, e := range s.serving() {
		if e.Software == software {
			n++
		}
	}
	return n >= 2
}

// check fails the test for streams with events of two versions or a gap, and for a share of the streams
// taken up that is below half of that of new streams.
func (s *versionSoak) check(t *testing.T) {
	t.Helper()
	ended, mixed := 0, 0
	for _, v := range s.streams {
		if len(v.Software) > 1 || v.Gap != "" {
			if mixed++; mixed <= 3 {
				t.Errorf("%s, begun as %s, has events of %v; gap: %s", v.Path, v.Began, v.Software, v.Gap)
			}
		}
		if v.Ended {
			ended++
		}
	}
	t.Logf("releases: %d; streams: %d, ended: %d, of two versions: %d; new at daemons in touch: %+v; taken up there while two engines of the version serve: %+v; other retakes without an event: %d",
		s.release+1, len(s.streams), ended, mixed, s.begun, s.retaken, s.refused)
	require.Zero(t, mixed, "streams with events of two versions or a gap, of %d", len(s.streams))
	if s.retaken.sent >= minRetakes {
		require.GreaterOrEqual(t, s.retaken.share(), s.begun.share()/2)
	}
	require.Greater(t, ended, len(s.streams)/4)
}
