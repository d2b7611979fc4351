package main

import (
	"container/list"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/route"
)

const (
	// prefillRate is the speed of prefill in prompt tokens per second.
	prefillRate = route.DefaultPrefillRate
	// A decode step takes decodeStepFixed and, for each sequence in the batch,
	// decodeStepPerSequence, in seconds.
	decodeStepFixed       = 0.015
	decodeStepPerSequence = 0.0005
	// mixingCost is the share of decode speed that is lost while a prefill runs too.
	mixingCost = 0.15
	// cacheBlocks is the capacity of an engine's prefix cache in blocks.
	cacheBlocks = 96
	// slots is the number of requests that an engine runs at once.
	slots = 32
	// transferRate is the speed of a KV cache transfer between two engines in blocks
	// per second.
	transferRate = 40
)

// prefillShare is the share of an engine's time that prefill gets while sequences
// decode.
var prefillShare = map[lagoonhead.Role]float64{
	lagoonhead.RoleMixed:   0.5,
	lagoonhead.RolePrefill: 0.9,
	lagoonhead.RoleDecode:  0.1,
}

// job is one attempt to run a request on an engine.
type job struct {
	call   *call
	daemon *daemon
	choice lagoonhead.Choice
	ticket route.Ticket
	// prefillLeft is the number of uncached prompt tokens that are not yet computed.
	prefillLeft    float64
	prefillStarted bool
	ended          bool
}

// engine is a simulated model server.
type engine struct {
	endpoint lagoonhead.Endpoint
	role     lagoonhead.Role
	// speed scales the rates of prefill and decode; 1 is normal, 0 a hang.
	speed float64
	// incarnation counts the starts of the process.
	incarnation int
	// down is set while the process does not run or has not loaded its weights.
	down bool
	// changing is set while the engine drains, for a role change or for its removal,
	// and while it changes its role.
	changing bool
	// removed is set once the engine is shut down or lost for good.
	removed bool
	// reportsIdle makes the load reports show an idle engine, whatever it runs.
	reportsIdle bool
	// reportsStopped suppresses load reports and loses the cache events of the time.
	reportsStopped bool
	// prefill holds the queued prompts and, at its head, the one being computed.
	prefill []*job
	decode  []*job
	cache   *cache
	// reportNumber is the number of the last load report of this incarnation.
	reportNumber int64
	// tokens is the number of tokens computed, prompt and output.
	tokens float64
}

func newEngine(e lagoonhead.Endpoint) *engine {
	return &engine{endpoint: e, role: e.Role(), speed: 1, incarnation: 1, cache: newCache()}
}

// enqueue inserts a job into the prefill queue in order of priority. Prefill runs in
// chunks, so a more urgent job also goes before one that has started.
func (e *engine) enqueue(j *job) {
	depth := e.cache.depth(j.call.request.Blocks())
	j.prefillLeft = uncachedTokens(j.call.request, depth)
	at := len(e.prefill)
	for at > 0 && e.prefill[at-1].call.request.Priority() > j.call.request.Priority() {
		at--
	}
	e.prefill = append(e.prefill, nil)
	copy(e.prefill[at+1:], e.prefill[at:])
	e.prefill[at] = j
}

// uncachedTokens returns the number of prompt tokens to prefill, at least 1, when the
// first depth blocks are cached.
func uncachedTokens(r *lagoonhead.Request, depth int) float64 {
	return float64(max(r.PromptTokens()-depth*route.BlockTokens, 1))
}

// step runs the engine for dt seconds and returns the jobs that finished their
// prefill and those that finished their decode.
func (e *engine) step(dt float64) (prefilled, finished []*job) {
	if e.down {
		return nil, nil
	}
	prefill, decode := e.shares()
	budget := dt * prefillRate * e.speed * prefill
	for budget > 0 && len(e.prefill) > 0 {
		j := e.prefill[0]
		if !j.prefillStarted {
			j.prefillStarted = true
			j.call.cached = e.cache.depth(j.call.request.Blocks())
			j.prefillLeft = uncachedTokens(j.call.request, j.call.cached)
		}
		used := min(budget, j.prefillLeft)
		j.prefillLeft -= used
		budget -= used
		e.tokens += used
		if j.prefillLeft > 0 {
			break
		}
		e.prefill = e.prefill[1:]
		e.cache.add(j.call.request.Blocks())
		prefilled = append(prefilled, j)
	}
	n := float64(len(e.decode))
	tokens := dt * e.speed * decode / (decodeStepFixed + decodeStepPerSequence*n)
	kept := e.decode[:0]
	for _, j := range e.decode {
		j.call.outputLeft -= tokens
		e.tokens += tokens
		if j.call.outputLeft > 0 {
			kept = append(kept, j)
			continue
		}
		finished = append(finished, j)
	}
	e.decode = kept
	return prefilled, finished
}

// shares returns the shares of the engine's time for prefill and for decode.
func (e *engine) shares() (prefill, decode float64) {
	if len(e.decode) == 0 {
		return 1, 0
	}
	if len(e.prefill) == 0 {
		return 0, 1
	}
	s := prefillShare[e.role]
	return s, (1 - s) * (1 - mixingCost)
}

// report returns a report of the engine's current load.
func (e *engine) report() lagoonhead.LoadReport {
	e.reportNumber++
	r := lagoonhead.LoadReport{
		Endpoint: e.endpoint.ID(), Incarnation: lagoonhead.Incarnation(rune('0' + e.incarnation)),
		Role: e.role, Number: e.reportNumber,
	}
	if e.reportsIdle {
		return r
	}
	r.Running = len(e.prefill) + len(e.decode)
	for _, j := range e.prefill {
		r.QueuedPrefillTokens += int(j.prefillLeft)
	}
	return r
}

// crash stops the process, clears its cache and returns the jobs that it had. The
// numbers of cache events go on, so that daemons do not take new events for old ones.
func (e *engine) crash() []*job {
	lost := append(e.prefill, e.decode...)
	e.prefill, e.decode = nil, nil
	e.down = true
	e.incarnation++
	e.reportNumber = 0
	number := e.cache.eventNumber
	e.cache = newCache()
	e.cache.eventNumber = number
	return lost
}

// remove takes out a job whose caller has given up.
func (e *engine) remove(j *job) {
	for _, q := range []*[]*job{&e.prefill, &e.decode} {
		for i, x := range *q {
			if x == j {
				*q = append((*q)[:i], (*q)[i+1:]...)
				return
			}
		}
	}
}

// cache is a prefix cache with LRU eviction that records an event for each block
// stored or evicted.
type cache struct {
	// order lists the blocks from the most to the least recently used.
	order  list.List
	blocks map[uint64]*list.Element
	// eventNumber is the number of the last event.
	eventNumber int64
	// events are those not yet reported.
	events []lagoonhead.CacheEvent
}

func newCache() *cache { return &cache{blocks: make(map[uint64]*list.Element)} }

// depth returns the number of leading blocks that are cached.
func (c *cache) depth(blocks []uint64) int {
	for i, b := range blocks {
		if c.blocks[b] == nil {
			return i
		}
	}
	return len(blocks)
}

// add stores the blocks or marks them as used. It goes from the last block to the
// first, so that the ends of prefixes are evicted first.
func (c *cache) add(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		b := blocks[i]
		if e := c.blocks[b]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[b] = c.order.PushFront(b)
		c.record(b, true)
		if c.order.Len() > cacheBlocks {
			old := c.order.Remove(c.order.Back()).(uint64)
			delete(c.blocks, old)
			c.record(old, false)
		}
	}
}

func (c *cache) record(block uint64, stored bool) {
	c.eventNumber++
	c.events = append(c.events, lagoonhead.CacheEvent{Number: c.eventNumber, Block: block, Stored: stored})
}

// takeEvents returns the events since the last call.
func (c *cache) takeEvents() []lagoonhead.CacheEvent {
	v := c.events
	c.events = nil
	return v
}

// seconds returns s seconds as a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
