package overload

import (
	"expvar"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// window is the time of whose samples the smallest counts, and minSamples the least number
	// of them. A long task, or a quota of processor time that is spent, delays some samples; a
	// backlog delays all.
	window     = 200 * time.Millisecond
	minSamples = 2
	// target is the lag above which there is a backlog. A change of the configuration waits
	// for about ten tasks one after another, and must be in force within seconds.
	target = 60 * time.Millisecond
	// rise is the change of the pressure in a second at a lag of twice the target. It grows
	// with the lag up to maxExcess times the target beyond it. fall is the change in a second
	// below the target. The load is tried again slowly, since a backlog takes longer to show
	// than to grow.
	rise, maxExcess, fall = 4.0, 4.0, 0.4
	// maxElapsed bounds the time for which one sample counts.
	maxElapsed = 500 * time.Millisecond
	// maxRefused is the largest part of the requests that is refused on connections that are
	// served. The rest is served also when most connections are not.
	maxRefused = 0.8
	// minUnderWay is the number of requests under way below which nothing is turned away: so few
	// do not keep the processor busy for as long as target, so the lag has another cause, for
	// example a host that is busy, and turning requests away would not shorten it.
	minUnderWay = 32
	// measuredFrom is the number of requests under way from which on the lag is measured.
	measuredFrom = minUnderWay / 2
	// maxUnserved is the largest part of the connections that is not served.
	maxUnserved = 0.9
	// minRetryAfter is the least time after which callers of refused requests may come again,
	// and retrySpread the random part by which their return is spread.
	minRetryAfter, retrySpread = 500 * time.Millisecond, 500 * time.Millisecond
)

// Guard decides which part of the requests and connections to turn away, from the recent lag
// of the process. It is safe for concurrent use.
type Guard struct {
	mu sync.Mutex
	// samples holds the lags of the last window, the newest last.
	samples []time.Duration
	// pressure is the refused part of the requests up to maxRefused; what exceeds that is the
	// part of the connections that is not served. It rises while there is a backlog and falls while there
	// is none, so it settles where the processor is just busy.
	pressure float64
	// underWay is the number of requests that were begun and have not ended.
	underWay int
	// busied gets an element when the lag has to be measured. It is created by becomesBusy.
	busied chan struct{}

	refused expvar.Int
}

// Observe records the lag that was measured interval after the one before it. It returns the
// smallest of the recent lags, and whether the process has a backlog, or had one so lately that
// requests may be turned away.
func (g *Guard) Observe(lag time.Duration) (smallest time.Duration, behind bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.samples = append(g.samples, lag)
	for len(g.samples) > minSamples && covered(g.samples[1:]) >= window {
		g.samples = g.samples[1:]
	}
	elapsed := min(interval+lag, maxElapsed).Seconds()
	smallest = g.smallest()
	if excess := smallest - target; excess > 0 {
		g.pressure = min(maxRefused+maxUnserved, g.pressure+rise*elapsed*min(maxExcess, excess.Seconds()/target.Seconds()))
	} else {
		g.pressure = max(0, g.pressure-fall*elapsed)
	}
	return smallest, g.isBehind()
}

// isBehind is explained at Observe. The caller holds mu.
func (g *Guard) isBehind() bool { return g.smallest() > target || g.pressure > 0 }

// covered returns the time that samples cover.
func covered(samples []time.Duration) (d time.Duration) {
	for _, lag := range samples {
		d += interval + lag
	}
	return d
}

// smallest returns the smallest of the recent lags, or 0 before there are enough of them. The
// caller holds mu.
func (g *Guard) smallest() time.Duration {
	if len(g.samples) < minSamples || covered(g.samples) < window {
		return 0
	}
	return slices.Min(g.samples)
}

// Begin begins a new request, or returns an error of KindUnavailable with a time to return if it
// is to be refused. The caller must call End at the end of a request that has begun.
func (g *Guard) Begin() error {
	if !g.begin(rand.Float64()) {
		return nil
	}
	g.refused.Add(1)
	return Refusal("begin", "the processor is overloaded")
}

// Refusal returns the error of a request that is refused for a reason, of KindUnavailable with a
// time to return.
func Refusal(op, reason string) error {
	return &Error{
		Fault:      lagoonhead.Fault{Op: "overload." + op, Kind: lagoonhead.KindUnavailable, Err: errors.New(reason)},
		retryAfter: minRetryAfter + time.Duration(rand.Float64()*float64(retrySpread)),
	}
}

// begin begins a request unless it is refused; x is random, from 0 to 1.
func (g *Guard) begin(x float64) (refused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.underWay >= minUnderWay && x < min(maxRefused, g.pressure) {
		return true
	}
	if g.underWay++; g.underWay == measuredFrom {
		select {
		case g.busied <- struct{}{}:
		default:
		}
	}
	return false
}

// becomesBusy returns a channel that gets an element when the lag has to be measured.
func (g *Guard) becomesBusy() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.busied == nil {
		g.busied = make(chan struct{}, 1)
	}
	return g.busied
}

// isBusy reports whether the lag has to be measured. If not, the former lags are forgotten.
func (g *Guard) isBusy() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.underWay >= measuredFrom || g.isBehind() {
		return true
	}
	g.samples = g.samples[:0]
	return false
}

// End ends a request.
func (g *Guard) End() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.underWay--
}

// UnderWay returns the number of requests that have begun and not ended.
func (g *Guard) UnderWay() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.underWay
}

// RefusesConnection reports whether a new connection is not to be served. Refusing the request on
// it where it is accepted costs less than what Begin refuses.
func (g *Guard) RefusesConnection() bool { return g.refusesConnection(rand.Float64()) }

func (g *Guard) refusesConnection(x float64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.underWay >= minUnderWay && x < g.pressure-maxRefused
}
