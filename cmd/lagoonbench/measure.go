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

// variant is a change to a scenario under its name: a policy, a queue or a planner.
type variant struct {
	name  string
	apply func(*scenario)
}

// metric is a number computed from a run.
type metric struct {
	name string
	// compute gets the finished run and the calls that count.
	compute func(s *sim, cs []*call) float64
}

// result holds the values by variant, metric and seed.
type result struct {
	variants []variant
	metrics  []metric
	values   [][][]float64
}

// measure runs each variant of the scenario once for each seed. All variants of a
// seed get the same arrivals.
func measure(newScenario func() scenario, vs []variant, fs []metric, o options) *result {
	r := &result{variants: vs, metrics: fs, values: make3D(len(vs), len(fs), o.seeds)}
	// Half of the cores is left to other processes.
	limit := max(runtime.GOMAXPROCS(0)/2, 1)
	semaphore := make(chan struct{}, limit)
	var running sync.WaitGroup
	for v := range vs {
		for seed := range o.seeds {
			running.Go(func() {
				semaphore <- struct{}{}
				defer func() { <-semaphore }()
				c := newScenario()
				vs[v].apply(&c)
				s := newSim(c, uint64(o.firstSeed+seed))
				cs := s.run()
				for f := range fs {
					r.values[v][f][seed] = fs[f].compute(s, cs)
				}
			})
		}
	}
	running.Wait()
	return r
}

// make3D returns a three-dimensional slice of the given lengths.
func make3D(a, b, c int) [][][]float64 {
	x := make([][][]float64, a)
	for i := range x {
		x[i] = make([][]float64, b)
		for j := range x[i] {
			x[i][j] = make([]float64, c)
		}
	}
	return x
}

// meanStdDev returns the mean and the sample standard deviation.
func meanStdDev(x []float64) (mean, stdDev float64) {
	for _, v := range x {
		mean += v
	}
	mean /= float64(len(x))
	for _, v := range x {
		stdDev += (v - mean) * (v - mean)
	}
	return mean, math.Sqrt(stdDev / float64(max(len(x)-1, 1)))
}

// ratio returns the mean and the standard deviation, over the seeds, of the values of
// metric f for variant v divided by those for variant base.
func (r *result) ratio(v, base, f int) (mean, stdDev float64) {
	q := make([]float64, len(r.values[v][f]))
	for i := range q {
		q[i] = r.values[v][f][i] / r.values[base][f][i]
	}
	return meanStdDev(q)
}

// table returns the values as a Markdown table, with the ratio of the first variant
// to each one.
func (r *result) table() string {
	var t, line strings.Builder
	t.WriteString("| variant |")
	line.WriteString("|---|")
	for _, f := range r.metrics {
		fmt.Fprintf(&t, " %s | first/this |", f.name)
		line.WriteString("---|---|")
	}
	fmt.Fprintf(&t, "\n%s\n", line.String())
	for v, x := range r.variants {
		fmt.Fprintf(&t, "| %s |", x.name)
		for f := range r.metrics {
			m, s := meanStdDev(r.values[v][f])
			q, qs := r.ratio(0, v, f)
			fmt.Fprintf(&t, " %.3f ± %.3f | %s |", m, s, ratioText(q, qs))
		}
		t.WriteString("\n")
	}
	return t.String()
}

// ratioText formats a ratio, or "-" if the divisor was 0.
func ratioText(mean, stdDev float64) string {
	if math.IsNaN(mean) || math.IsInf(mean, 0) {
		return "-"
	}
	return fmt.Sprintf("%.2f ± %.2f", mean, stdDev)
}

// goodput returns the share of good calls among those with a deadline.
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

// firstTokenP95 returns the 95th percentile, in seconds, of the time to first token
// of calls with a deadline. A call without a first token counts as patienceFactor times
// its deadline, when the caller gives up.
func firstTokenP95(_ *sim, cs []*call) float64 {
	var ts []time.Duration
	for _, c := range cs {
		switch {
		case c.class.deadline == 0:
		case c.firstToken == 0:
			ts = append(ts, patienceFactor*c.class.deadline)
		default:
			ts = append(ts, c.firstToken-c.request.Arrived())
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

// worstGoodput returns the lowest goodput of a workspace, the hot one left out.
func worstGoodput(_ *sim, cs []*call) float64 {
	worst := 1.0
	for w, g := range byWorkspace(cs) {
		if w != hotWorkspace {
			worst = min(worst, g)
		}
	}
	return worst
}

// hotGoodput returns the goodput of the workspace that exceeds its share.
func hotGoodput(_ *sim, cs []*call) float64 { return byWorkspace(cs)[hotWorkspace] }
