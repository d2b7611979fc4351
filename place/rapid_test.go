package place

import (
	"context"
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/route"
)

// The seed is fixed, so that all runs check the same histories; -rapid.seed and
// -rapid.checks override the defaults for long runs.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// openPlacement is a placement for which the test has not called Done.
type openPlacement struct {
	m       lagoonhead.Placement
	suspect bool
}

// Guards, over random histories of directories, reports, crashes and requests, against
// requests on endpoints that are leaving, unlisted, avoided or full, against two suspect
// requests on one endpoint, and against counts that do not return to zero.
func TestPlacementsKeepTheBounds(t *testing.T) {
	ids := []lagoonhead.EndpointID{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		p, src, clock := newPlacer(engine("a").WithSlots(2))
		p.Policy = rapid.SampledFrom(route.Names()).Draw(t, "policy")
		w := &watch{suspect: map[uint64]bool{}}
		p.Suspects = w
		listed := map[lagoonhead.EndpointID]lagoonhead.Endpoint{"a": engine("a").WithSlots(2)}
		var open []openPlacement
		openOn := func(id lagoonhead.EndpointID) (n, suspects int) {
			for _, o := range open {
				if o.m.Endpoint().ID() == id {
					n++
					if o.suspect {
						suspects++
					}
				}
			}
			return n, suspects
		}
		number := int64(0)
		t.Repeat(map[string]func(*rapid.T){
			"place": func(t *rapid.T) {
				r := request("m")
				r.SetPriority(lagoonhead.Priority(rapid.IntRange(0, 2).Draw(t, "priority")))
				suspect := rapid.Bool().Draw(t, "suspect")
				w.suspect[r.Fingerprint()] = suspect
				avoid := rapid.SampledFrom(ids).Draw(t, "avoid")
				m, err := p.Place(ended(), r, []lagoonhead.EndpointID{avoid})
				if err != nil {
					return
				}
				e, ok := listed[m.Endpoint().ID()]
				n, suspects := openOn(m.Endpoint().ID())
				if !ok || e.Leaving() || e.ID() == avoid || n >= e.Slots() || (suspect && suspects > 0) {
					t.Fatalf("placed on %s: listed %v, leaving %v, %d in flight, %d suspects", m.Endpoint().ID(), ok, e.Leaving(), n, suspects)
				}
				open = append(open, openPlacement{m, suspect})
			},
			"end": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip("nothing runs")
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				if rapid.Bool().Draw(t, "first") {
					open[i].m.FirstToken()
				}
				k := rapid.SampledFrom([]lagoonhead.Kind{lagoonhead.KindCrashed, lagoonhead.KindTimeout, lagoonhead.KindStale}).Draw(t, "kind")
				open[i].m.Done(lagoonhead.Outcome{Failed: rapid.Bool().Draw(t, "failed"), Kind: k})
				open = append(open[:i], open[i+1:]...)
			},
			"directory": func(t *rapid.T) {
				clear(listed)
				var es []lagoonhead.Endpoint
				for _, id := range ids {
					if rapid.Bool().Draw(t, "listed") {
						e := engine(string(id)).WithSlots(rapid.IntRange(1, 3).Draw(t, "slots")).WithLeaving(rapid.Bool().Draw(t, "leaving"))
						es = append(es, e)
						listed[id] = e
					}
				}
				src.set(es...)
			},
			"report": func(t *rapid.T) {
				number++
				p.Report(lagoonhead.LoadReport{
					Endpoint: rapid.SampledFrom(ids).Draw(t, "of"), Number: number, Running: rapid.IntRange(0, 3).Draw(t, "running"),
					Incarnation:         lagoonhead.Incarnation(rapid.SampledFrom([]string{"1", "2"}).Draw(t, "incarnation")),
					QueuedPrefillTokens: rapid.IntRange(0, 9000).Draw(t, "queued"),
				})
			},
			"time": func(t *rapid.T) {
				clock.Advance(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
				p.tick(clock.Now())
			},
			"": func(t *rapid.T) {
				for _, id := range ids {
					if n, _ := openOn(id); p.InFlight(id) != n {
						t.Fatalf("%s: %d counted, %d in flight", id, p.InFlight(id), n)
					}
				}
				if p.Waiting() != 0 {
					t.Fatalf("%d requests wait after their contexts ended", p.Waiting())
				}
			},
		})
		for _, o := range open {
			o.m.Done(lagoonhead.Outcome{})
		}
		for _, s := range p.States() {
			if s.InFlight != 0 || s.SentTokens != 0 || s.SentRequests != 0 || s.Suspects != 0 {
				t.Fatalf("%+v after the end of all requests", s)
			}
		}
	})
}

// Guards against a placement that is lost when the context of Place ends at the moment
// when the request is placed.
func TestGiveUpRace(t *testing.T) {
	p, _, _ := newPlacer(engine("a"))
	for range 200 {
		m := place(t, p, request("m"))
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan lagoonhead.Placement)
		go func() {
			m, _ := p.Place(ctx, request("m"), nil)
			done <- m
		}()
		go cancel()
		m.Done(lagoonhead.Outcome{})
		if second := <-done; second != nil {
			second.Done(lagoonhead.Outcome{})
		}
		if p.InFlight("a") != 0 || p.Waiting() != 0 {
			t.Fatal("a placement was lost")
		}
	}
}
