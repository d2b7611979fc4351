package route

import (
	"math"
	"slices"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// inflowWindow is the time constant of the mean of the own dispatches.
const inflowWindow = 10 * time.Second

// inflow is the running mean of the prompt tokens that this daemon sends.
type inflow struct {
	rate float64
	at   time.Duration
}

// sent counts tokens dispatched now.
func (f *inflow) sent(now time.Duration, tokens int) {
	f.rate = f.perSecond(now) + float64(tokens)/inflowWindow.Seconds()
	f.at = now
}

// perSecond returns the tokens sent per second.
func (f *inflow) perSecond(now time.Duration) float64 {
	age := float64(now-f.at) / float64(inflowWindow)
	return f.rate * math.Exp(-max(age, 0))
}

// longQueue is the longest queue, in seconds, that one engine counts with. One that
// is slow, hangs or has stopped reporting does not count at all. None of them must
// make the whole fleet look saturated.
const longQueue = 4 * saturated

// burst is how many times their mean the other daemons may send at once.
const burst = 3

// sampledWeight is the weight of one sample in the means of a large fleet.
const sampledWeight = 0.02

// crowd estimates how many times what this daemon does the other daemons do, from
// the running requests.
type crowd struct{ own, all float64 }

// others returns the estimate. Sums over the whole fleet are exact. In a sample
// there are too few own requests to tell from one, so means are kept.
func (c *crowd) others(own, all int, whole bool) float64 {
	if whole {
		c.own, c.all = float64(own), float64(all)
	} else {
		c.own += sampledWeight * (float64(own) - c.own)
		c.all += sampledWeight * (float64(all) - c.all)
	}
	if c.own <= 0 {
		return 0
	}
	return (c.all - c.own) / c.own
}

// level sets the backlog and returns the queue, in tokens, up to which the other
// daemons are expected to have filled the candidates since the reports were made.
// All daemons see the same short queues, so without it they choose the same engines.
func (p *predicted) level(now time.Duration, es []lagoonhead.EngineState, n int) float64 {
	whole := len(es) <= scanLimit
	own, all, ages := 0, 0, 0.0
	reported, sent, rates := 0.0, 0.0, 0.0
	for i, c := range p.near[:n] {
		s := &es[c.engine]
		ages += (now - s.ReportAt).Seconds()
		p.levels[i] = reportedTokens(now, s)
		// Holders of a prefix are no random sample: they are where this daemon sent it.
		if i < p.chosen {
			continue
		}
		own += s.InFlight
		all += max(s.Report.Running, s.InFlight)
		if now-s.ReportAt > staleAfter || slowdown(now, s) > 1 {
			continue
		}
		reported += min(float64(s.Report.QueuedPrefillTokens), longQueue*s.PrefillRate)
		sent += float64(s.SentTokens)
		rates += s.PrefillRate
	}
	others := p.crowd.others(own, all, whole)
	age := min(ages/float64(n), staleAfter.Seconds())
	tokens := p.inflow.perSecond(now) * others * age * float64(n) / float64(len(es))
	p.backlog = 0
	if rates > 0 {
		come := tokens
		if whole {
			// The others are taken to send at least what this daemon has sent and its reports
			// cannot contain yet; otherwise all daemons open at the same time. The bound
			// keeps a single dispatch of a quiet daemon from closing the fleet to it.
			come = max(tokens, min(sent*others, burst*tokens))
		}
		p.backlog = max((reported+come)/rates-age, 0) + sent/rates
	}
	return fill(p.levels[:n], tokens)
}

// fill returns the level that the queues reach when tokens are poured into the
// shortest ones. It sorts the queues.
func fill(queues []float64, tokens float64) float64 {
	slices.Sort(queues)
	for i, q := range queues {
		if i+1 == len(queues) {
			return q + tokens/float64(i+1)
		}
		room := (queues[i+1] - q) * float64(i+1)
		if tokens <= room {
			return q + tokens/float64(i+1)
		}
		tokens -= room
	}
	return 0
}
