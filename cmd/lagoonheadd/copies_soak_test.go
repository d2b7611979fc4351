package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/platform"
	"github.com/lagoonhead/lagoonhead/platform/fakewire"
)

const (
	// copySoakTime is how long changes come in a soak of copies.
	copySoakTime = 5 * time.Second
	// copyDaemons is the number of daemons, and copyClients that of clients.
	copyDaemons, copyClients = 2, 8
	// clientPause is the time between two requests of a client.
	clientPause = 5 * time.Millisecond
	// maxProblems is the number of problems of each rule that a failed soak shows.
	maxProblems = 4
)

// copyBound is the retry budget in fakewire.Settings.
var copyBound = fakewire.RetryBound{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}

// copySoak is a fleet whose endpoints send copies of answers and close connections.
type copySoak struct {
	*platformFleet
	random    *rand.Rand
	traffic   *fakewire.Traffic
	endpoints []*fakewire.CopyingEndpoint
	daemons   []*process
	// former holds the IDs of former endpoints that are registered, by those of their successors.
	former map[string]string
	number atomic.Int64
}

// Guards against copies of answers and of refusals, and connections closed before the answer, that
// make requests run twice, reach callers, exceed the retry budget or cost requests their answers,
// beside engines that change their stage, addresses with two IDs, hangups and configurations.
func TestSoakOfCopies(t *testing.T) {
	runSeeds(t, func(t *testing.T, seed uint64) { newCopySoak(t, seed).run(t) })
}

func newCopySoak(t *testing.T, seed uint64) *copySoak {
	s := &copySoak{
		platformFleet: newPlatformFleet(t), random: rand.New(rand.NewPCG(seed, 0)), traffic: &fakewire.Traffic{Key: frontDeskKey},
		former: make(map[string]string),
	}
	s.environment = []string{"GOMAXPROCS=1"}
	for i := range 3 {
		s.add(t, fmt.Sprint("s", i), "plain", "", seed)
		s.add(t, fmt.Sprint("d", i), "model", "decode", seed)
	}
	for i := range 2 {
		s.add(t, fmt.Sprint("p", i), "model", "prefill", seed)
	}
	s.configureRoutes(t)
	for i := range copyDaemons {
		s.daemons = append(s.daemons, s.startDaemon(t, vmName(i)))
	}
	return s
}

// add starts an endpoint and registers it.
func (s *copySoak) add(t *testing.T, id, service, stage string, seed uint64) {
	t.Helper()
	e := &fakewire.CopyingEndpoint{
		ID: id, Service: service, Stage: stage, Pause: time.Millisecond, Gap: time.Millisecond, Seed: seed, Traffic: s.traffic,
	}
	address, err := e.Listen()
	require.NoError(t, err)
	t.Cleanup(e.Close)
	s.addresses[id] = address
	s.endpoints = append(s.endpoints, e)
	s.register(t, e)
}

func (s *copySoak) register(t *testing.T, e *fakewire.CopyingEndpoint) {
	t.Helper()
	s.put(t, platform.EndpointPrefix+e.ID, e.Registration(s.addresses[e.ID], "a", "ready"))
}

// configureRoutes writes the next version of the configuration, which has other timeouts than the last.
func (s *copySoak) configureRoutes(t *testing.T) {
	t.Helper()
	s.version++
	s.put(t, platform.ConfigurationKey, fakewire.Configuration{
		Version: s.version, EngineService: "model", PlainService: "plain", Keys: []string{frontDeskKey},
		Routes: fakewire.CopyRoutes(3*time.Second + time.Duration(s.version%2)*time.Second),
	}.Encode())
}

func (s *copySoak) run(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	kinds := s.drawKinds()
	var clients sync.WaitGroup
	for range copyClients {
		clients.Go(func() {
			for ctx.Err() == nil {
				n := int(s.number.Add(1))
				s.traffic.Send(t.Context(), s.daemons[n%copyDaemons].address, fmt.Sprint("r", n), kinds[n%len(kinds)])
				time.Sleep(clientPause)
			}
		})
	}
	for began := time.Now(); time.Since(began) < copySoakTime; {
		s.change(t)
		time.Sleep(20*time.Millisecond + time.Duration(s.random.IntN(150))*time.Millisecond)
	}
	cancel()
	clients.Wait()
	s.check(t)
}

// drawKinds returns the kinds of requests: all, or in one soak of three only those that HTTP clients
// repeat by themselves, so that such repeats alone can exceed the retry budget.
func (s *copySoak) drawKinds() []fakewire.RequestKind {
	all := fakewire.CopyKinds()
	if s.random.IntN(3) > 0 {
		return all
	}
	return slices.DeleteFunc(all, func(k fakewire.RequestKind) bool { return k.Method != http.MethodGet || k.Body != "" })
}

// change makes one change to the endpoints or the daemons.
func (s *copySoak) change(t *testing.T) {
	e := s.endpoints[s.random.IntN(len(s.endpoints))]
	switch s.random.IntN(8) {
	case 0, 1, 2, 3:
		e.SetFaults(s.drawFaults())
	case 4:
		s.changeStage(t)
	case 5:
		s.addFormerOrRemove(t, e)
	case 6:
		s.daemons[s.random.IntN(copyDaemons)].signal(t, syscall.SIGHUP)
	case 7:
		s.configureRoutes(t)
	}
}

// drawFaults returns faults of an endpoint.
func (s *copySoak) drawFaults() fakewire.CopyFaults {
	return fakewire.CopyFaults{
		Refuse: 0.3 * s.random.Float64(), Close: []float64{0, 0.05, 0.6}[s.random.IntN(3)], Break: 0.1 * s.random.Float64(),
		CopyAtOnce: 0.3 * s.random.Float64(), CopyNext: 0.3 * s.random.Float64(), CopyLater: 0.3 * s.random.Float64(),
		OnlyRefusals: s.random.IntN(3) == 0,
	}
}

// changeStage makes an engine change its stage. One prefills only at any time, and two do not.
func (s *copySoak) changeStage(t *testing.T) {
	t.Helper()
	stages := make(map[string]int)
	var engines []*fakewire.CopyingEndpoint
	for _, e := range s.endpoints {
		if e.Service == "model" {
			stages[e.Stage]++
			engines = append(engines, e)
		}
	}
	e := engines[s.random.IntN(len(engines))]
	next := map[string]string{"prefill": "decode", "decode": "prefill"}[e.Stage]
	if stages[e.Stage] <= map[string]int{"prefill": 1, "decode": 2}[e.Stage] {
		return
	}
	e.SetStage(next)
	s.register(t, e)
	if s.former[e.ID] != "" {
		s.remove(t, e.ID)
	}
}

// addFormerOrRemove registers a former endpoint at the address of e, or removes the one that is
// registered.
func (s *copySoak) addFormerOrRemove(t *testing.T, e *fakewire.CopyingEndpoint) {
	t.Helper()
	if s.former[e.ID] != "" {
		s.remove(t, e.ID)
		return
	}
	id := fmt.Sprint("former-", e.ID, "-", s.random.IntN(1000))
	s.former[e.ID] = id
	former := &fakewire.CopyingEndpoint{ID: id, Service: e.Service, Stage: e.Stage}
	s.put(t, platform.EndpointPrefix+id, former.Registration(s.addresses[e.ID], "a", "ready"))
}

// remove removes the registration of the former endpoint at the address of another one.
func (s *copySoak) remove(t *testing.T, id string) {
	t.Helper()
	require.NoError(t, s.kv.Delete(t.Context(), platform.EndpointPrefix+s.former[id], lagoonhead.AnyRevision))
	delete(s.former, id)
}

// check fails the test for what the rules do not allow.
func (s *copySoak) check(t *testing.T) {
	t.Helper()
	time.Sleep(300 * time.Millisecond) // a request that was sent on still arrives
	excess, extra := s.traffic.Excess(copyBound)
	counts, first := fakewire.Summarize(append(excess, s.traffic.Problems()...), maxProblems)
	for _, p := range first {
		t.Log(p)
	}
	statuses := s.traffic.Statuses()
	handles, left := s.traffic.Handles()
	t.Logf("requests by status, 0 for no whole answer: %v; arrivals beyond the first: %v; KV handles: %d, neither taken nor released: %d",
		statuses, extra, handles, left)
	require.Empty(t, counts, "problems by rule")
	require.Greater(t, statuses[http.StatusOK], len(s.traffic.Requests())/leastServedOfCopies)
}

// leastServedOfCopies is the part of the requests of which one must be served.
const leastServedOfCopies = 3
