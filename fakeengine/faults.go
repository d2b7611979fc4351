package fakeengine

import (
	"strings"
	"time"
)

// Faults are the faults to inject. Close, Stall, Break and DropOrderAnswers are
// the number of next completions or orders to affect, ExchangePairs the number of next
// pairs of completions; 0 means none, All means every one.
type Faults struct {
	// CrashPrompt is the text that crashes the engine while it runs a request whose
	// prompt contains it. Empty means never.
	CrashPrompt string `json:"crashPrompt,omitempty"`
	// CrashAfter is how many tokens of the request are generated before the crash, at
	// most all but the last one.
	CrashAfter int `json:"crashAfter,omitempty"`
	// Slow divides the prefill and decode rates by 10.
	Slow bool `json:"slow,omitempty"`
	// Stall is how many completions stall: the connection stays open, but nothing is
	// sent after StallAfter events.
	Stall int `json:"swallow,omitempty"`
	// StallAfter is how many events are sent before the stall; with 0 the response
	// headers are not sent either.
	StallAfter int `json:"swallowAfter,omitempty"`
	// Close is how many completions get the connection closed as soon as the request
	// has been read.
	Close int `json:"close,omitempty"`
	// Break is how many completions get the connection closed after BreakAfter events.
	Break int `json:"break,omitempty"`
	// BreakAfter is how many events are sent before the connection is closed.
	BreakAfter int `json:"breakAfter,omitempty"`
	// AnswerDelay is the delay before each answer, in nanoseconds.
	AnswerDelay time.Duration `json:"late,omitempty"`
	// ExchangePairs is how many pairs of completions get each other's answers.
	ExchangePairs int `json:"exchange,omitempty"`
	// DropOrderAnswers is how many orders get the connection closed without a response
	// after they have been handled.
	DropOrderAnswers int `json:"dropOrderAnswers,omitempty"`
}

// All as a count in Faults affects every completion or order.
const All = -1

// slowFactor divides the rates of an engine with the fault Slow.
const slowFactor = 10

// consume reports whether a fault with the count n is due, and decrements the count
// unless it is All.
func consume(n *int) bool {
	if *n == 0 {
		return false
	}
	if *n > 0 {
		*n--
	}
	return true
}

func (f *Faults) matchesCrashPrompt(p prompt) bool {
	return f.CrashPrompt != "" && strings.Contains(p.text, f.CrashPrompt)
}

// connFaults are the faults of one connection of a completion.
type connFaults struct {
	closeNow  bool
	breakAt   int // events before the connection is closed
	silentAt  int // events before nothing more is sent
	delay     time.Duration
	exchange  bool
	noHeaders bool
}

// never is a number of events that no stream reaches; it disables a fault.
const never = int(^uint(0) >> 1)

// nextConn returns the faults of the next completion and decrements their counts,
// except for ExchangePairs, which is counted once a pair is complete.
func (f *Faults) nextConn() connFaults {
	c := connFaults{breakAt: never, silentAt: never, delay: f.AnswerDelay}
	if consume(&f.Close) {
		c.closeNow = true
		return c
	}
	if consume(&f.Stall) {
		c.silentAt = f.StallAfter
		c.noHeaders = f.StallAfter == 0
		return c
	}
	if consume(&f.Break) {
		c.breakAt = f.BreakAfter
	}
	c.exchange = f.ExchangePairs != 0
	return c
}
