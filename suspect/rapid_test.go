package suspect

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/timer"
)

const (
	modelEndpoints = 12
	// poison is the fingerprint of the request that crashes its endpoints.
	poison = 1
)

// TestMain fixes the seed unless -rapid.seed sets one. Long runs set it and -rapid.checks.
func TestMain(m *testing.M) {
	flag.Parse()
	if v := flag.Lookup("rapid.seed").Value; v.String() == "0" {
		_ = v.Set("1")
	}
	os.Exit(m.Run())
}

// fleet is the oracle: it knows which request is the cause and which requests run where, and
// follows the answers of the tables as a router would.
type fleet struct {
	clock    *timer.Manual
	tables   []*Table
	running  [modelEndpoints][]job
	next     uint64
	crashes  int
	starts   []time.Duration
	refusals map[uint64]time.Duration
	limits   limits
}

// limits holds the parameters of a test and the bounds that the tables must keep.
type limits struct {
	vms int
	// lag skips the exchange of notices after some crashes.
	lag bool
	// starts is the maximum number of runs of the cause within any period of RefusedFor.
	// Runs before the first crash don't count.
	starts int
	// innocent is the maximum time for which an innocent request may be refused.
	innocent time.Duration
}

type job struct {
	fingerprint uint64
	table       int
	suspect     bool
}

func endpointID(n int) lagoonhead.EndpointID { return lagoonhead.EndpointID(fmt.Sprint("e", n)) }

func newFleet(l limits) *fleet {
	f := &fleet{
		limits: l,
		clock:  timer.NewManual(time.Hour, time.Unix(0, 0)), next: 100,
		refusals: make(map[uint64]time.Duration),
	}
	for range l.vms {
		f.tables = append(f.tables, &Table{Timer: f.clock})
	}
	return f
}

// place starts a job on the endpoint, or on the next one that it may use. A VM only knows
// its own suspects.
func (f *fleet) place(j job, at int) (refused bool) {
	suspect, err := f.tables[j.table].Check(j.fingerprint)
	if err != nil {
		return true
	}
	j.suspect = suspect
	avoid := f.tables[j.table].Avoid(j.fingerprint)
	for i := range modelEndpoints {
		n := (at + i) % modelEndpoints
		conflict := suspect && slices.ContainsFunc(f.running[n], func(o job) bool { return o.suspect && o.table == j.table })
		if !conflict && !slices.Contains(avoid, endpointID(n)) {
			f.running[n] = append(f.running[n], j)
			return false
		}
	}
	return false
}

// crash crashes the endpoint, reports that to the tables and retries the jobs it ran.
func (f *fleet) crash(at int) {
	lost := f.running[at]
	f.running[at] = nil
	f.crashes++
	id := endpointID(at)
	for _, j := range lost {
		f.tables[j.table].Crashed(j.fingerprint, id)
	}
	for _, j := range lost {
		if j.fingerprint == poison || !f.place(j, at+1) {
			continue
		}
		if _, ok := f.refusals[j.fingerprint]; !ok {
			f.refusals[j.fingerprint] = f.clock.Now()
		}
	}
}

// exchange sends all notices between the tables.
func (f *fleet) exchange() {
	for range 2 {
		for i, a := range f.tables {
			for k, b := range f.tables {
				if i != k {
					b.Merge(a.Notices())
				}
			}
		}
	}
}

func (f *fleet) startPoison(table, at int) {
	if f.place(job{fingerprint: poison, table: table}, at) {
		return
	}
	if f.crashes > 0 {
		f.starts = append(f.starts, f.clock.Now())
	}
}

// checkPoison fails when the cause has run too often.
func (f *fleet) checkPoison(t *rapid.T) {
	now, n := f.clock.Now(), 0
	for _, s := range f.starts {
		if now-s < RefusedFor {
			n++
		}
	}
	if n > f.limits.starts {
		t.Fatalf("the cause got %d runs within %v", n, RefusedFor)
	}
}

// checkInnocent fails when a request that was only on the same endpoints as the cause is
// refused for longer than the limit.
func (f *fleet) checkInnocent(t *rapid.T) {
	for fp, since := range f.refusals {
		refused := slices.ContainsFunc(f.tables, func(v *Table) bool {
			_, err := v.Check(fp)
			return err != nil
		})
		if !refused {
			delete(f.refusals, fp)
		} else if f.limits.innocent == 0 || f.clock.Now()-since > f.limits.innocent {
			t.Fatalf("the innocent request %d is refused for %v", fp, f.clock.Now()-since)
		}
	}
}

// Guards against innocent requests that are refused for long because they ran on the same
// endpoints as a crashing one, and against a crashing request that runs again and again.
// Endpoints restart at once; each VM places requests without knowing the suspects of the
// others, and notices may be late.
func TestAgainstOracle(t *testing.T) {
	for _, l := range []limits{
		// A single VM keeps its suspects apart, so only the cause is ever refused.
		{vms: 1, starts: 2},
		{vms: 3, starts: 6, innocent: 2 * BrieflyRefusedFor},
		{vms: 3, lag: true, starts: 10, innocent: 2 * BrieflyRefusedFor},
	} {
		t.Run(fmt.Sprintf("vms=%d,lag=%t", l.vms, l.lag), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { playAgainstOracle(t, l) })
		})
	}
}

func playAgainstOracle(t *rapid.T, l limits) {
	f := newFleet(l)
	vm := rapid.IntRange(0, l.vms-1)
	endpoint := rapid.IntRange(0, modelEndpoints-1)
	t.Repeat(map[string]func(*rapid.T){
		"startInnocent": func(t *rapid.T) {
			f.next++
			j := job{fingerprint: f.next, table: vm.Draw(t, "vm")}
			if f.place(j, endpoint.Draw(t, "endpoint")) {
				t.Fatalf("the new request %d is refused", f.next)
			}
		},
		"sendPoisonAndCrash": func(t *rapid.T) {
			f.startPoison(vm.Draw(t, "vm"), endpoint.Draw(t, "endpoint"))
			for n := range f.running {
				if slices.ContainsFunc(f.running[n], func(j job) bool { return j.fingerprint == poison }) {
					f.crash(n)
				}
			}
			if !l.lag || rapid.Bool().Draw(t, "exchange") {
				f.exchange()
			}
		},
		"finish": func(t *rapid.T) {
			n := endpoint.Draw(t, "endpoint")
			if jobs := f.running[n]; len(jobs) > 0 && jobs[0].fingerprint != poison {
				f.running[n] = jobs[1:]
				f.tables[jobs[0].table].Finished(jobs[0].fingerprint)
			}
		},
		"wait": func(t *rapid.T) {
			f.clock.Advance(time.Duration(rapid.IntRange(1, 60_000).Draw(t, "ms")) * time.Millisecond)
			f.exchange()
		},
		"": func(t *rapid.T) {
			f.checkPoison(t)
			f.checkInnocent(t)
		},
	})
}
