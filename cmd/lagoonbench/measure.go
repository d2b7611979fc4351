package main

import (
	"fmt"
	"math"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// variant is one way to run a scenario: a policy, a queue or a planner.
type variant struct {
	name  string
	apply func(*scenario)
}

// figure is one measured number of a run.
type figure struct {
	name string
	// of takes the run and its judged calls.
	of func(s *sim, cs []*call) float64
}

// result holds the figures by variant, figure and seed.
type result struct {
	variants []variant
	figures  []figure
	values   [][][]float64
}

// measure runs each variant of the scenario over the seeds. All variants of a seed
// see the same arrivals.
func measure(start func() scenario, vs []variant, fs []figure, o options) *result {
	r := &result{variants: vs, figures: fs, values: make3(len(vs), len(fs), o.seeds)}
	// Half of the cores is left to others.
	limit := max(runtime.GOMAXPROCS(0)/2, 1)
	free := make(chan struct{}, limit)
	var running sync.WaitGroup
	for v := range vs {
		for seed := range o.seeds {
			running.Go(func() {
				free <- struct{}{}
				defer func() { <-free }()
				c := start()
				vs[v].apply(&c)
				s := newSim(c, uint64(o.first+seed))
				cs := s.run()
				for f := range fs {
					r.values[v][f][seed] = fs[f].of(s, cs)
				}
			})
		}
	}
	running.Wait()
	return r
}

// make3 returns a slice of the given lengths.
func make3(a, b, c int) [][][]float64 {
	x := make([][][]float64, a)
	for i := range x {
		x[i] = make([][]float64, b)
		for j := range x[i] {
			x[i][j] = make([]float64, c)
		}
	}
	return x
}

// meanAndSpread returns the mean and the standard deviation.
func meanAndSpread(x []float64) (mean, spread float64) {
	for _, v := range x {
		mean += v
	}
	mean /= float64(len(x))
	for _, v := range x {
		spread += (v - mean) * (v - mean)
	}
	return mean, math.Sqrt(spread / float64(max(len(x)-1, 1)))
}

// ratio returns mean and spread over seeds of variant v against variant base.
func (r *result) ratio(v, base, f int) (mean, spread float64) {
	q := make([]float64, len(r.values[v][f]))
	for i := range q {
		q[i] = r.values[v][f][i] / r.values[base][f][i]
	}
	return meanAndSpread(q)
}

// table returns the figures in Markdown, with ratios of the first variant to each
// other one.
func (r *result) table() string {
	var t, line strings.Builder
	t.WriteString("| variant |")
	line.WriteString("|---|")
	for _, f := range r.figures {
		fmt.Fprintf(&t, " %s | first/this |", f.name)
		line.WriteString("---|---|")
	}
	fmt.Fprintf(&t, "\n%s\n", line.String())
	for v, x := range r.variants {
		fmt.Fprintf(&t, "| %s |", x.name)
		for f := range r.figures {
			m, s := meanAndSpread(r.values[v][f])
			q, qs := r.ratio(0, v, f)
			fmt.Fprintf(&t, " %.3f ± %.3f | %s |", m, s, ratioText(q, qs))
		}
		t.WriteString("\n")
	}
	return t.String()
}

func ratioText(mean, spread float64) string {
	if math.IsNaN(mean) || math.IsInf(mean, 0) {
		return "-"
	}
	return fmt.Sprintf("%.2f ± %.2f", mean, spread)
}

// goodput is the share of the urgent calls that got a good answer.
func goodput(_ *sim, cs []*call) float64 {
	n, good := 0, 0
	for _, c := range cs {
		if c.class.deadline == 0 {
			continue
		}
		n++
		if c.good() {
			good++
		}
	}
	return float64(good) / float64(n)
}

// firstTokenP95 is the 95th percentile, in seconds, of the time to first token of
// urgent calls. A call without a first token counts as its patience.
func firstTokenP95(_ *sim, cs []*call) float64 {
	var ts []time.Duration
	for _, c := range cs {
		switch {
		case c.class.deadline == 0:
		case c.first == 0:
			ts = append(ts, patience*c.class.deadline)
		default:
			ts = append(ts, c.first-c.request.Arrived())
		}
	}
	if len(ts) == 0 {
		return 0
	}
	slices.Sort(ts)
	return ts[len(ts)*95/100].Seconds()
}

// byWorkspace returns the goodput of each workspace.
func byWorkspace(cs []*call) map[lagoonhead.WorkspaceID]float64 {
	split := make(map[lagoonhead.WorkspaceID][]*call)
	for _, c := range cs {
		w := c.request.Workspace()
		split[w] = append(split[w], c)
	}
	shares := make(map[lagoonhead.WorkspaceID]float64)
	for w, x := range split {
		shares[w] = goodput(nil, x)
	}
	return shares
}

// worstGoodput is the goodput of the worst-served workspace that keeps its rate.
func worstGoodput(_ *sim, cs []*call) float64 {
	worst := 1.0
	for w, g := range byWorkspace(cs) {
		if w != hotWorkspace {
			worst = min(worst, g)
		}
	}
	return worst
}

// hotGoodput is the goodput of the workspace above its rate.
func hotGoodput(_ *sim, cs []*call) float64 { return byWorkspace(cs)[hotWorkspace] }
