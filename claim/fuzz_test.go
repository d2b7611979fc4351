package claim

import (
	"context"
	"crypto/sha256"
	"flag"
	"fmt"
	"os"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/timer"
)

// TestMain fixes the seed of rapid unless a flag sets it. The flag -rapid.checks sets the
// number of random runs.
func TestMain(m *testing.M) {
	for _, f := range [][2]string{{"rapid.seed", "1"}, {"rapid.nofailfile", "true"}} {
		if err := flag.Set(f[0], f[1]); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// call is one call of Once. It blocks before each request to the store and before the
// attempt until the test chooses a fault for this step, so that the test controls the
// order of the steps of all calls.
type call struct {
	key, body string
	waiting   chan struct{}
	faults    chan injectedFault
	ended     chan struct{}
	killed    bool
	ran       bool
	answer    lagoonhead.RecordedAnswer
	err       error
}

// step blocks until the test chooses the fault of the next step.
func (c *call) step() injectedFault {
	c.waiting <- struct{}{}
	return <-c.faults
}

// simulation is two daemons, their store and the state of the oracle.
type simulation struct {
	t       require.TestingT
	store   *fakeStore
	keepers []*Keeper
	running []*call
	runs    map[string][]*call // by key
	used    map[string]bool    // by key and body
	// uncertain has the keys with a killed holder or an attempt of unknown outcome, which
	// may stay claimed.
	uncertain map[string]bool
}

func newSimulation(t require.TestingT) *simulation {
	s := &simulation{
		t: t, store: newFakeStore(),
		runs: map[string][]*call{}, used: map[string]bool{}, uncertain: map[string]bool{},
	}
	for i := range 2 {
		s.keepers = append(s.keepers, newKeeper(s.store, fmt.Sprint("vm", i)))
	}
	return s
}

func newKeeper(s lagoonhead.Store, holder string) *Keeper {
	k := &Keeper{
		Store: s, Holder: lagoonhead.Incarnation(holder), Timer: timer.NewManual(0, time.Unix(0, 0)),
		MaxAnswerBytes: 100,
	}
	k.once.Do(k.setUp)
	return k
}

func request(key, body string) lagoonhead.ClaimRequest {
	return lagoonhead.ClaimRequest{Workspace: "w/1", Key: key, BodyHash: sha256.Sum256([]byte(body))}
}

// start starts a call and waits until it blocks at its first step or ends.
func (s *simulation) start(k *Keeper, key, body string) *call {
	c := &call{
		key: key, body: body, killed: true,
		waiting: make(chan struct{}), faults: make(chan injectedFault), ended: make(chan struct{}),
	}
	s.running = append(s.running, c)
	s.used[key+body] = true
	ctx := context.WithValue(context.Background(), callKey{}, c)
	go func() {
		defer close(c.ended)
		c.answer, c.err = k.Once(ctx, request(key, body), func(context.Context) (lagoonhead.RecordedAnswer, error) {
			return s.attempt(c)
		})
		c.killed = false
	}()
	s.await(c)
	return c
}

// attempt simulates the call of the service. The test's goroutine waits while it runs.
func (s *simulation) attempt(c *call) (lagoonhead.RecordedAnswer, error) {
	f := c.step()
	if f != noFault && f != unavailable {
		s.uncertain[c.key] = true
	}
	switch f {
	case killBefore:
		runtime.Goexit()
	case unavailable:
		return lagoonhead.RecordedAnswer{}, storeFault(lagoonhead.KindUnavailable)
	case requestLost:
		return lagoonhead.RecordedAnswer{}, storeFault(lagoonhead.KindUnknown)
	}
	c.ran = true
	s.runs[c.key] = append(s.runs[c.key], c)
	switch f {
	case killAfter:
		runtime.Goexit()
	case responseLost, requestDelayed:
		return lagoonhead.RecordedAnswer{}, storeFault(lagoonhead.KindTimeout)
	}
	return lagoonhead.RecordedAnswer{Status: 201, Body: []byte(fmt.Sprintf("%p ran %s", c, c.body))}, nil
}

// await waits until the call blocks at a step or ends, and checks its result if it ended.
func (s *simulation) await(c *call) {
	select {
	case <-c.waiting:
		return
	case <-c.ended:
	}
	s.running = slices.DeleteFunc(s.running, func(o *call) bool { return o == c })
	if c.killed {
		s.uncertain[c.key] = true
	} else {
		s.check(c)
	}
	require.LessOrEqual(s.t, len(s.runs[c.key]), 1, "key %s ran more than once", c.key)
}

// check compares the result of a call with what the oracle allows.
func (s *simulation) check(c *call) {
	if c.err == nil {
		require.Len(s.t, s.runs[c.key], 1, "an answer although no attempt ran")
		first := s.runs[c.key][0]
		require.Equal(s.t, first.body, c.body, "the answer to another body")
		require.Equal(s.t, fmt.Sprintf("%p ran %s", first, first.body), string(c.answer.Body))
		require.Equal(s.t, first != c, c.answer.Replayed)
		return
	}
	switch lagoonhead.KindOf(c.err) {
	case lagoonhead.KindUnavailable:
		require.False(s.t, c.ran, "reported as not run, but it ran")
	case lagoonhead.KindInvalid:
		require.True(s.t, s.used[c.key+other(c.body)], "refused although no call with another body used the key")
	case lagoonhead.KindUnknown, lagoonhead.KindTimeout:
	default:
		require.Fail(s.t, "unexpected error", "%v", c.err)
	}
}

// other returns the body that is not the given one.
func other(body string) string { return map[string]string{"x": "y", "y": "x"}[body] }

// step lets the call make one step with the given fault.
func (s *simulation) step(c *call, f injectedFault) {
	c.faults <- f
	s.await(c)
}

// finishAll lets all calls end without faults, delivers the delayed writes and makes the
// late writes.
func (s *simulation) finishAll() {
	for len(s.running) > 0 {
		s.step(s.running[0], noFault)
	}
	s.store.lateFault = noFault
	for range 2 {
		s.store.deliver(len(s.store.delayedWrites))
		for _, k := range s.keepers {
			k.writeLate(context.Background())
		}
	}
}

// checkUsable checks that a call with the key succeeds after the faults have ended,
// unless the key is uncertain.
func (s *simulation) checkUsable(key string) {
	if s.uncertain[key] {
		return
	}
	body := "x"
	if v, err := s.keepers[0].get(context.Background(), storeKey(request(key, body))); err == nil && v.BodyHash != hashText(request(key, body)) {
		body = other(body)
	}
	c := s.start(s.keepers[1], key, body)
	for slices.Contains(s.running, c) {
		s.step(c, noFault)
	}
	require.NoError(s.t, c.err, "key %s is stuck", key)
}

// Guards against a call that runs twice, a call that is reported as not run but ran, a
// retry that gets another outcome, and a key that is blocked without need. Two daemons
// meet lost and delayed requests and responses of the store, outages, and kills of the
// holder at each step.
func TestClaimsAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		keys, bodies := []string{"a", "b"}, []string{"x", "x", "x", "y"}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				k := rapid.SampledFrom(s.keepers).Draw(t, "daemon")
				s.start(k, rapid.SampledFrom(keys).Draw(t, "key"), rapid.SampledFrom(bodies).Draw(t, "body"))
			},
			"step": func(t *rapid.T) {
				if len(s.running) == 0 {
					t.Skip("no call is running")
				}
				c := rapid.SampledFrom(s.running).Draw(t, "arrival")
				s.step(c, rapid.SampledFrom([]injectedFault{noFault, noFault, noFault, noFault, unavailable, requestLost, responseLost, requestDelayed, killBefore, killAfter}).Draw(t, "fate"))
			},
			"land": func(t *rapid.T) {
				s.store.deliver(rapid.IntRange(0, len(s.store.delayedWrites)).Draw(t, "writes"))
			},
			"late": func(t *rapid.T) {
				s.store.lateFault = rapid.SampledFrom([]injectedFault{noFault, unavailable, requestLost, responseLost, requestDelayed}).Draw(t, "fate")
				rapid.SampledFrom(s.keepers).Draw(t, "daemon").writeLate(context.Background())
			},
		})
		s.finishAll()
		for _, key := range keys {
			s.checkUsable(key)
		}
	})
}
