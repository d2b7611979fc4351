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

// TestMain fixes the seed unless a flag names one. Long runs: -rapid.checks.
func TestMain(m *testing.M) {
	for _, f := range [][2]string{{"rapid.seed", "1"}, {"rapid.nofailfile", "true"}} {
		if err := flag.Set(f[0], f[1]); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// arrival is one call of Once. It stops before each call of the store and before
// the attempt until the test decides its fate, so that the test chooses the order
// of steps over all arrivals.
type arrival struct {
	key, body string
	waiting   chan struct{}
	fates     chan fate
	ended     chan struct{}
	killed    bool
	ran       bool
	answer    lagoonhead.RecordedAnswer
	err       error
}

func (a *arrival) step() fate {
	a.waiting <- struct{}{}
	return <-a.fates
}

// world is two daemons, their store and what the oracle knows.
type world struct {
	t       require.TestingT
	store   *fakeStore
	keepers []*Keeper
	open    []*arrival
	runs    map[string][]*arrival // by key
	used    map[string]bool       // key and body
	// murky keys have a killed holder or an attempt of unknown outcome.
	murky map[string]bool
}

func newWorld(t require.TestingT) *world {
	w := &world{
		t: t, store: newFakeStore(),
		runs: map[string][]*arrival{}, used: map[string]bool{}, murky: map[string]bool{},
	}
	for i := range 2 {
		w.keepers = append(w.keepers, newKeeper(w.store, fmt.Sprint("vm", i)))
	}
	return w
}

func newKeeper(s lagoonhead.Store, holder string) *Keeper {
	k := &Keeper{
		Store: s, Holder: lagoonhead.Incarnation(holder), Timer: timer.NewManual(0, time.Unix(0, 0)),
		AnswerBytes: 100,
	}
	k.once.Do(k.setUp)
	return k
}

func request(key, body string) lagoonhead.ClaimRequest {
	return lagoonhead.ClaimRequest{Workspace: "w/1", Key: key, BodyHash: sha256.Sum256([]byte(body))}
}

// arrive starts an arrival and lets it run up to its first step.
func (w *world) arrive(k *Keeper, key, body string) *arrival {
	a := &arrival{
		key: key, body: body, killed: true,
		waiting: make(chan struct{}), fates: make(chan fate), ended: make(chan struct{}),
	}
	w.open = append(w.open, a)
	w.used[key+body] = true
	ctx := context.WithValue(context.Background(), arrivalKey{}, a)
	go func() {
		defer close(a.ended)
		a.answer, a.err = k.Once(ctx, request(key, body), func(context.Context) (lagoonhead.RecordedAnswer, error) {
			return w.attempt(a)
		})
		a.killed = false
	}()
	w.await(a)
	return a
}

// attempt is the call of the service. The test's goroutine waits while it runs.
func (w *world) attempt(a *arrival) (lagoonhead.RecordedAnswer, error) {
	f := a.step()
	if f != fine && f != down {
		w.murky[a.key] = true
	}
	switch f {
	case kill:
		runtime.Goexit()
	case down:
		return lagoonhead.RecordedAnswer{}, storeFault(lagoonhead.KindUnavailable)
	case lostBefore:
		return lagoonhead.RecordedAnswer{}, storeFault(lagoonhead.KindUnknown)
	}
	a.ran = true
	w.runs[a.key] = append(w.runs[a.key], a)
	switch f {
	case killAfter:
		runtime.Goexit()
	case lostAfter, delayed:
		return lagoonhead.RecordedAnswer{}, storeFault(lagoonhead.KindTimeout)
	}
	return lagoonhead.RecordedAnswer{Status: 201, Body: []byte(fmt.Sprintf("%p ran %s", a, a.body))}, nil
}

// await waits until the arrival stops at a step or ends, and checks its end.
func (w *world) await(a *arrival) {
	select {
	case <-a.waiting:
		return
	case <-a.ended:
	}
	w.open = slices.DeleteFunc(w.open, func(o *arrival) bool { return o == a })
	if a.killed {
		w.murky[a.key] = true
	} else {
		w.check(a)
	}
	require.LessOrEqual(w.t, len(w.runs[a.key]), 1, "key %s ran more than once", a.key)
}

// check is the oracle for an answer.
func (w *world) check(a *arrival) {
	if a.err == nil {
		require.Len(w.t, w.runs[a.key], 1, "an answer without a run")
		first := w.runs[a.key][0]
		require.Equal(w.t, first.body, a.body, "an answer of another body")
		require.Equal(w.t, fmt.Sprintf("%p ran %s", first, first.body), string(a.answer.Body))
		require.Equal(w.t, first != a, a.answer.Repeated)
		return
	}
	switch lagoonhead.KindOf(a.err) {
	case lagoonhead.KindUnavailable:
		require.False(w.t, a.ran, "told not run, but it ran")
	case lagoonhead.KindInvalid:
		require.True(w.t, w.used[a.key+other(a.body)], "no other body used the key")
	case lagoonhead.KindUnknown, lagoonhead.KindTimeout:
	default:
		require.Fail(w.t, "unexpected error", "%v", a.err)
	}
}

func other(body string) string { return map[string]string{"x": "y", "y": "x"}[body] }

func (w *world) step(a *arrival, f fate) {
	a.fates <- f
	w.await(a)
}

// settle ends all arrivals without faults and makes the late writes.
func (w *world) settle() {
	for len(w.open) > 0 {
		w.step(w.open[0], fine)
	}
	w.store.late = fine
	for range 2 {
		w.store.land(len(w.store.pending))
		for _, k := range w.keepers {
			k.writeLate(context.Background())
		}
	}
}

// reuse checks that a key without a kill or a lost outcome is of use again once
// the faults are over.
func (w *world) reuse(key string) {
	if w.murky[key] {
		return
	}
	body := "x"
	if v, err := w.keepers[0].get(context.Background(), storeKey(request(key, body))); err == nil && v.BodyHash != hashText(request(key, body)) {
		body = other(body)
	}
	a := w.arrive(w.keepers[1], key, body)
	for slices.Contains(w.open, a) {
		w.step(a, fine)
	}
	require.NoError(w.t, a.err, "key %s is stuck", key)
}

// Guards against a call that runs twice, a false "not run", a repeat with another
// outcome, and a claim that stays stuck without cause: two daemons, lost and late
// answers of the store, outages, and kills of the holder at each step.
func TestClaimsAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		keys, bodies := []string{"a", "b"}, []string{"x", "x", "x", "y"}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				k := rapid.SampledFrom(w.keepers).Draw(t, "daemon")
				w.arrive(k, rapid.SampledFrom(keys).Draw(t, "key"), rapid.SampledFrom(bodies).Draw(t, "body"))
			},
			"step": func(t *rapid.T) {
				if len(w.open) == 0 {
					t.Skip("no arrival is open")
				}
				a := rapid.SampledFrom(w.open).Draw(t, "arrival")
				w.step(a, rapid.SampledFrom([]fate{fine, fine, fine, fine, down, lostBefore, lostAfter, delayed, kill, killAfter}).Draw(t, "fate"))
			},
			"land": func(t *rapid.T) {
				w.store.land(rapid.IntRange(0, len(w.store.pending)).Draw(t, "writes"))
			},
			"late": func(t *rapid.T) {
				w.store.late = rapid.SampledFrom([]fate{fine, down, lostBefore, lostAfter, delayed}).Draw(t, "fate")
				rapid.SampledFrom(w.keepers).Draw(t, "daemon").writeLate(context.Background())
			},
		})
		w.settle()
		for _, key := range keys {
			w.reuse(key)
		}
	})
}
