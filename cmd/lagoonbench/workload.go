package main

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/route"
)

// class is one kind of request.
type class struct {
	name string
	// rate is the arrivals per second at time t.
	rate func(t time.Duration) float64
	// prompt and output are the least and the most tokens.
	prompt, output [2]int
	// documents is the number of shared prompt beginnings, 0 for none.
	documents int
	priority  lagoonhead.Priority
	// deadline is the time to the first token; 0 means none.
	deadline time.Duration
	// workspaces share the class by turns of chance; the first one gets hot times
	// the share of another.
	workspaces int
	hot        float64
}

// steady is a rate that does not change.
func steady(r float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return r }
}

// mix returns the usual classes: long readings with repeated documents, short
// questions and tagging that may wait.
func mix(reading, chat, tagging float64) []class {
	return []class{
		{name: "reading", rate: steady(reading), prompt: [2]int{4000, 12000}, output: [2]int{100, 300},
			documents: 60, deadline: 3 * time.Second, workspaces: 5, hot: 1},
		{name: "chat", rate: steady(chat), prompt: [2]int{300, 1900}, output: [2]int{100, 400},
			deadline: time.Second, priority: lagoonhead.PriorityInteractive, workspaces: 5, hot: 1},
		{name: "tagging", rate: steady(tagging), prompt: [2]int{1000, 4000}, output: [2]int{10, 30},
			priority: lagoonhead.PriorityDeferrable, workspaces: 5, hot: 1},
	}
}

// call is one request of a caller and what became of it.
type call struct {
	request *lagoonhead.Request
	class   *class
	output  int
	left    float64
	daemon  int
	avoid   []lagoonhead.EndpointID
	first   time.Duration
	ended   time.Duration
	refused bool
	// cached is the number of leading blocks that the engine really had.
	cached int
	// supply is where the answer was made.
	supply lagoonhead.Supply
}

// perToken is the slowest pace of a good answer.
const perToken = 80 * time.Millisecond

// good reports whether the answer began within its deadline and was whole in time.
func (c *call) good() bool {
	if c.ended == 0 || c.refused {
		return false
	}
	d := c.request.Deadline()
	if d == 0 {
		return true
	}
	return c.first <= d && c.ended <= d+time.Duration(c.output)*perToken
}

// arrivals returns the calls of all classes in order of time.
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
	between := func(b [2]int) int { return b[0] + random.IntN(b[1]-b[0]+1) }
	w := 0
	if x := random.Float64() * (c.hot + float64(c.workspaces) - 1); x >= c.hot {
		w = 1 + int(x-c.hot)
	}
	r := lagoonhead.NewRequest(lagoonhead.RequestID(strconv.Itoa(n)), lagoonhead.WorkspaceID(strconv.Itoa(w)), "m", t)
	prompt, output := between(c.prompt), between(c.output)
	if c.documents > 0 {
		// The square makes some documents far more frequent than others.
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
	return &call{request: r, class: c, output: output, left: float64(output), daemon: random.IntN(daemons)}
}

// documentBlocks returns the chained hashes of a document of a workspace.
func documentBlocks(workspace, document, n int) []uint64 {
	bs := make([]uint64, 0, n)
	h := uint64(workspace)*1_000_003 + uint64(document) + 1
	for range n {
		h = (h ^ h>>29) * 0x9e3779b97f4a7c15
		bs = append(bs, h)
	}
	return bs
}
