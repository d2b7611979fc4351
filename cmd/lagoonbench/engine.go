package main

import (
	"container/list"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/route"
)

const (
	// prefillRate is in prompt tokens per second.
	prefillRate = route.DefaultPrefillRate
	// stepFixed and stepPerSequence give the time of one decode step.
	stepFixed       = 0.015
	stepPerSequence = 0.0005
	// mixingCost is the share of decode speed that is lost beside a prefill.
	mixingCost = 0.15
	// cacheBlocks is the size of an engine's prefix cache.
	cacheBlocks = 96
	// slots is the number of requests an engine runs at once.
	slots = 32
	// transferRate is in blocks per second between two engines.
	transferRate = 40
)

// prefillShare is the part of a step that goes to prefill while sequences decode.
var prefillShare = map[lagoonhead.Role]float64{
	lagoonhead.RoleMixed:   0.5,
	lagoonhead.RolePrefill: 0.9,
	lagoonhead.RoleDecode:  0.1,
}

// job is one attempt of a request.
type job struct {
	call   *call
	daemon *daemon
	choice lagoonhead.Choice
	ticket route.Ticket
	// prompt is the uncached prompt left to compute, in tokens.
	prompt float64
	begun  bool
	ended  bool
}

// engine is a simulated model server.
type engine struct {
	endpoint    lagoonhead.Endpoint
	role        lagoonhead.Role
	speed       float64
	incarnation int
	down        bool
	// changing engines are being drained or changed.
	changing bool
	// gone engines are never back.
	gone bool
	// silent engines report that they are idle, whatever they run.
	silent bool
	// mute engines send no reports.
	mute    bool
	prefill []*job
	decode  []*job
	cache   *cache
	reports int64
	// tokens counts what was computed, prompt and output.
	tokens float64
}

func newEngine(e lagoonhead.Endpoint) *engine {
	return &engine{endpoint: e, role: e.Role(), speed: 1, incarnation: 1, cache: newCache()}
}

// enqueue adds a job in order of priority. Prefill runs in chunks, so a more urgent
// job also goes before one that has begun.
func (e *engine) enqueue(j *job) {
	depth := e.cache.depth(j.call.request.Blocks())
	j.prompt = promptLeft(j.call.request, depth)
	at := len(e.prefill)
	for at > 0 && e.prefill[at-1].call.request.Priority() > j.call.request.Priority() {
		at--
	}
	e.prefill = append(e.prefill, nil)
	copy(e.prefill[at+1:], e.prefill[at:])
	e.prefill[at] = j
}

func promptLeft(r *lagoonhead.Request, depth int) float64 {
	return float64(max(r.PromptTokens()-depth*route.BlockTokens, 1))
}

// step runs the engine for dt seconds and returns the jobs whose prefill ended and
// those whose answer ended.
func (e *engine) step(dt float64) (prefilled, finished []*job) {
	if e.down {
		return nil, nil
	}
	share, rest := e.shares()
	budget := dt * prefillRate * e.speed * share
	for budget > 0 && len(e.prefill) > 0 {
		j := e.prefill[0]
		if !j.begun {
			j.begun = true
			j.call.cached = e.cache.depth(j.call.request.Blocks())
			j.prompt = promptLeft(j.call.request, j.call.cached)
		}
		used := min(budget, j.prompt)
		j.prompt -= used
		budget -= used
		e.tokens += used
		if j.prompt > 0 {
			break
		}
		e.prefill = e.prefill[1:]
		e.cache.add(j.call.request.Blocks())
		prefilled = append(prefilled, j)
	}
	n := float64(len(e.decode))
	tokens := dt * e.speed * rest / (stepFixed + stepPerSequence*n)
	kept := e.decode[:0]
	for _, j := range e.decode {
		j.call.left -= tokens
		e.tokens += tokens
		if j.call.left > 0 {
			kept = append(kept, j)
			continue
		}
		finished = append(finished, j)
	}
	e.decode = kept
	return prefilled, finished
}

// shares returns the parts of the time for prefill and for decode.
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

// report returns the engine's load now.
func (e *engine) report() lagoonhead.LoadReport {
	e.reports++
	r := lagoonhead.LoadReport{
		Endpoint: e.endpoint.ID(), Incarnation: lagoonhead.Incarnation(rune('0' + e.incarnation)),
		Role: e.role, Number: e.reports,
	}
	if e.silent {
		return r
	}
	r.Running = len(e.prefill) + len(e.decode)
	for _, j := range e.prefill {
		r.QueuedPrefillTokens += int(j.prompt)
	}
	return r
}

// crash ends the process and returns the jobs that it ran.
func (e *engine) crash() []*job {
	lost := append(e.prefill, e.decode...)
	e.prefill, e.decode = nil, nil
	e.down = true
	e.incarnation++
	e.reports = 0
	number := e.cache.number
	e.cache = newCache()
	e.cache.number = number
	return lost
}

// remove drops a job that its caller gave up.
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

// cache is a least recently used prefix cache that records its events.
type cache struct {
	order  list.List
	blocks map[uint64]*list.Element
	number int64
	events []lagoonhead.CacheEvent
}

func newCache() *cache { return &cache{blocks: make(map[uint64]*list.Element)} }

func (c *cache) depth(blocks []uint64) int {
	for i, b := range blocks {
		if c.blocks[b] == nil {
			return i
		}
	}
	return len(blocks)
}

// add uses the blocks, the first one last, so that prefixes are dropped from their
// ends.
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
	c.number++
	c.events = append(c.events, lagoonhead.CacheEvent{Number: c.number, Block: block, Stored: stored})
}

// take returns the events since the last call.
func (c *cache) take() []lagoonhead.CacheEvent {
	v := c.events
	c.events = nil
	return v
}

// seconds converts to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
