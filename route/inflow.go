package route

import (
	"math"
	"slices"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// rateWindow is the time constant of tokenRate.
const rateWindow = 10 * time.Second

// tokenRate is the exponential moving average of the uncached prompt tokens that this
// daemon dispatches per second.
type tokenRate struct {
	rate float64
	at   time.Duration
}

// add counts tokens dispatched now.
func (r *tokenRate) add(now time.Duration, tokens int) {
	r.rate = r.perSecond(now) + float64(tokens)/rateWindow.Seconds()
	r.at = now
}

// perSecond returns the average, in tokens per second.
func (r *tokenRate) perSecond(now time.Duration) float64 {
	age := float64(now-r.at) / float64(rateWindow)
	return r.rate * math.Exp(-max(age, 0))
}

// maxEngineQueue bounds the queue, in seconds of prefill, that one engine contributes
// to the mean queue. An engine that is slow, hangs or has stopped reporting is left
// out. Otherwise a single engine could make the whole fleet look saturated.
const maxEngineQueue = 4 * saturationQueue

// burstFactor bounds what the other daemons are assumed to have sent since the reports,
// as a multiple of the tokens that their mean rate gives.
const burstFactor = 3

// sampleWeight is the weight of one sample of engines in the moving averages of
// peerLoad.
const sampleWeight = 0.02

// peerLoad estimates the load that the other daemons cause, as a multiple of the load
// of this daemon. Its fields are numbers of running requests: this daemon's own and
// those of all daemons.
type peerLoad struct{ own, all float64 }

// ratio updates the estimate with the running requests on the candidates and returns
// it. Sums over the whole fleet are exact and are used as they are. A sample of
// engines has too few own requests for an estimate, so moving averages are used.
func (l *peerLoad) ratio(own, all int, whole bool) float64 {
	if whole {
		l.own, l.all = float64(own), float64(all)
	} else {
		l.own += sampleWeight * (float64(own) - l.own)
		l.all += sampleWeight * (float64(all) - l.all)
	}
	if l.own <= 0 {
		return 0
	}
	return (l.all - l.own) / l.own
}

// fillLevel sets p.backlog and returns the queue length, in tokens, up to which the
// other daemons are expected to have filled the shorter queues of the candidates since
// the reports were made. All daemons see the same short queues; without this
// correction they would choose the same engines.
func (p *predicted) fillLevel(now time.Duration, es []lagoonhead.EngineState, n int) float64 {
	whole := len(es) <= scanLimit
	own, all, ages := 0, 0, 0.0
	reported, sent, rates := 0.0, 0.0, 0.0
	for i, c := range p.candidates[:n] {
		s := &es[c.engine]
		ages += (now - s.ReportAt).Seconds()
		p.queues[i] = reportedTokens(now, s)
		// Holders of a prefix are not a random sample: they are where this daemon has sent
		// requests with the prefix.
		if i < p.holderCount {
			continue
		}
		own += s.InFlight
		all += max(s.Report.Running, s.InFlight)
		if now-s.ReportAt > staleAfter || slowdown(now, s) > 1 {
			continue
		}
		reported += min(float64(s.Report.QueuedPrefillTokens), maxEngineQueue*s.PrefillRate)
		sent += float64(s.SentTokens)
		rates += s.PrefillRate
	}
	peerRatio := p.peerLoad.ratio(own, all, whole)
	age := min(ages/float64(n), staleAfter.Seconds())
	tokens := p.sendRate.perSecond(now) * peerRatio * age * float64(n) / float64(len(es))
	p.backlog = 0
	if rates > 0 {
		incoming := tokens
		if whole {
			// The other daemons are assumed to have sent, in proportion to their load, at least
			// as much as this daemon has sent since the reports; otherwise all daemons resume
			// dispatching at the same time. The bound keeps a single dispatch of a daemon with
			// little traffic from making the fleet look saturated to that daemon.
			incoming = max(tokens, min(sent*peerRatio, burstFactor*tokens))
		}
		p.backlog = max((reported+incoming)/rates-age, 0) + sent/rates
	}
	return waterFill(p.queues[:n], tokens)
}

// waterFill returns the length that the shortest queues reach when tokens are added
// to them so that they become equally long (water-filling). It sorts queues.
func waterFill(queues []float64, tokens float64) float64 {
	slices.Sort(queues)
	for i, q := range queues {
		if i+1 == len(queues) {
			return q + tokens/float64(i+1)
		}
		capacity := (queues[i+1] - q) * float64(i+1)
		if tokens <= capacity {
			return q + tokens/float64(i+1)
		}
		tokens -= capacity
	}
	return 0
}
