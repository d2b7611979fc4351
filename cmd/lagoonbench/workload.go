package main

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/route"
)

// class describes the requests of one kind.
type class struct {
	name string
	// rate returns the mean number of arrivals per second at time t.
	rate func(t time.Duration) float64
	// prompt and output are the minimum and maximum number of tokens.
	prompt, output [2]int
	// documents is the number of documents of a workspace, of which each request has
	// one as its prompt; 0 means that prompts share no prefix.
	documents int
	priority  lagoonhead.Priority
	// deadline is the time allowed from the arrival to the first token; 0 means no
	// limit.
	deadline time.Duration
	// workspaces is the number of workspaces. Each request is of a random one; the
	// first one is hotWeight times as likely as each other one.
	workspaces int
	hotWeight  float64
}

// constantRate returns a rate that does not change.
func constantRate(r float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return r }
}

// mix returns the classes of most scenarios with the given arrivals per second: long
// documents that recur, short interactive chats, and deferrable tagging.
func mix(reading, chat, tagging float64) []class {
	return []class{
		{name: "reading", rate: constantRate(reading), prompt: [2]int{4000, 12000}, output: [2]int{100, 300},
			documents: 60, deadline: 3 * time.Second, workspaces: 5, hotWeight: 1},
		{name: "chat", rate: constantRate(chat), prompt: [2]int{300, 1900}, output: [2]int{100, 400},
			deadline: time.Second, priority: lagoonhead.PriorityInteractive, workspaces: 5, hotWeight: 1},
		{name: "tagging", rate: constantRate(tagging), prompt: [2]int{1000, 4000}, output: [2]int{10, 30},
			priority: lagoonhead.PriorityDeferrable, workspaces: 5, hotWeight: 1},
	}
}

// call is a request and its outcome.
type call struct {
	request *lagoonhead.Request
	class   *class
	// output is the length of the answer and outputLeft the part still to be decoded,
	// in tokens.
	output     int
	outputLeft float64
	// daemon is the index of the daemon that got the request.
	daemon int
	// avoid lists the engines on which an attempt failed.
	avoid []lagoonhead.EndpointID
	// firstToken and ended are times of the run; 0 means not yet.
	firstToken time.Duration
	ended      time.Duration
	// failed is set when the queue was full, all attempts failed or the caller gave up.
	failed bool
	// cached is the number of leading blocks found in the engine's cache at the start
	// of the prefill.
	cached int
	// supply is the kind of supply of the engine that decoded the answer.
	supply lagoonhead.Supply
}

// maxTimePerToken is the maximum mean time per output token of a good answer, counted
// from the deadline for its first token.
const maxTimePerToken = 80 * time.Millisecond

// good reports whether the answer is complete and, if the call has a deadline, began
// and ended in time.
func (c *call) good() bool {
	if c.ended == 0 || c.failed {
		return false
	}
	d := c.request.Deadline()
	if d == 0 {
		return true
	}
	return c.firstToken <= d && c.ended <= d+time.Duration(c.output)*maxTimePerToken
}

// arrivals returns the calls of all classes in the order of their arrival.
func arrivals(random *rand.Rand, cs []class, length time.Duration, daemons int) []*call {
	const step = 10 * time.Millisecond
	var calls []*call
	for t := time.Duration(0); t < length; t += step {
		for i := range cs {
			p := cs[i].rate(t) * step.Seconds()
			for p > 0 {
				if random.Float64() < p {
					calls = append(calls, newCall(random, &cs[i], t, len(calls), daemons))
				}
				p--
			}
		}
	}
	return calls
}

func newCall(random *rand.Rand, c *class, t time.Duration, n, daemons int) *call {
	uniform := func(b [2]int) int { return b[0] + random.IntN(b[1]-b[0]+1) }
	w := 0
	if x := random.Float64() * (c.hotWeight + float64(c.workspaces) - 1); x >= c.hotWeight {
		w = 1 + int(x-c.hotWeight)
	}
	r := lagoonhead.NewRequest(lagoonhead.RequestID(strconv.Itoa(n)), lagoonhead.WorkspaceID(strconv.Itoa(w)), "m", t)
	prompt, output := uniform(c.prompt), uniform(c.output)
	if c.documents > 0 {
		// The square makes documents with low numbers far more frequent than others.
		x := random.Float64()
		document := int(x * x * float64(c.documents))
		prompt = c.prompt[0] + (document*7919)%(c.prompt[1]-c.prompt[0])
		r.SetBlocks(documentBlocks(w, document, prompt/route.BlockTokens))
	}
	r.SetTokens(prompt, output)
	r.SetPriority(c.priority)
	if c.deadline > 0 {
		r.SetDeadline(t + c.deadline)
	}
	return &call{request: r, class: c, output: output, outputLeft: float64(output), daemon: random.IntN(daemons)}
}

// documentBlocks returns the hashes of the first n blocks of a document. Each hash
// depends on the ones before it.
func documentBlocks(workspace, document, n int) []uint64 {
	bs := make([]uint64, 0, n)
	h := uint64(workspace)*1_000_003 + uint64(document) + 1
	for range n {
		h = (h ^ h>>29) * 0x9e3779b97f4a7c15
		bs = append(bs, h)
	}
	return bs
}
