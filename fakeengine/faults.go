package fakeengine

import (
	"strings"
	"time"
)

// Faults are the switches for faults. Counts name how many of the next
// completions or orders are affected; All affects each one.
type Faults struct {
	// CrashPrompt crashes the engine while it runs a request whose prompt contains
	// this text. Empty means never.
	CrashPrompt string `json:"crashPrompt,omitempty"`
	// CrashAfter is how many tokens the request gets before the crash.
	CrashAfter int `json:"crashAfter,omitempty"`
	// Slow divides the prefill and decode rates by ten.
	Slow bool `json:"slow,omitempty"`
	// Swallow keeps the connection open but sends nothing after SwallowAfter events.
	Swallow int `json:"swallow,omitempty"`
	// SwallowAfter is how many events are sent before the silence; at 0 not even the
	// headers are sent.
	SwallowAfter int `json:"swallowAfter,omitempty"`
	// Close closes the connection once the request has been read.
	Close int `json:"close,omitempty"`
	// Break closes the connection after BreakAfter events.
	Break int `json:"break,omitempty"`
	// BreakAfter is how many events are sent before the break.
	BreakAfter int `json:"breakAfter,omitempty"`
	// Late is how long each answer is held back, in nanoseconds.
	Late time.Duration `json:"late,omitempty"`
	// Exchange is how many pairs of completions get each other's answers.
	Exchange int `json:"exchange,omitempty"`
	// DropOrderAnswers closes the connection of an order after it took effect.
	DropOrderAnswers int `json:"dropOrderAnswers,omitempty"`
}

// All in a count of Faults affects every completion or order.
const All = -1

// slowFactor is how much longer work takes on a slow engine.
const slowFactor = 10

// take counts one use of a switch and reports whether it was on.
func take(n *int) bool {
	if *n == 0 {
		return false
	}
	if *n > 0 {
		*n--
	}
	return true
}

func (f *Faults) crashes(p prompt) bool {
	return f.CrashPrompt != "" && strings.Contains(p.text, f.CrashPrompt)
}

// connFaults are the faults of one connection.
type connFaults struct {
	closeNow   bool
	breakAt    int
	silentAt   int
	late       time.Duration
	exchange   bool
	headerless bool
}

// never is the event number of a fault that does not happen.
const never = int(^uint(0) >> 1)

// forConn takes the faults of the next completion.
func (f *Faults) forConn() connFaults {
	c := connFaults{breakAt: never, silentAt: never, late: f.Late}
	if take(&f.Close) {
		c.closeNow = true
		return c
	}
	if take(&f.Swallow) {
		c.silentAt = f.SwallowAfter
		c.headerless = f.SwallowAfter == 0
		return c
	}
	if take(&f.Break) {
		c.breakAt = f.BreakAfter
	}
	c.exchange = f.Exchange != 0
	return c
}
