package billing

import (
	"fmt"
	"slices"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// SealedPrefix is the prefix of the keys of sealed windows; the number follows.
const SealedPrefix = "usage/sealed/"

// maxRetired bounds the incarnations that a sealed window lists, at 40 bytes each
// 80 KB of the 1 MB of a value. Their keys are long deleted when they drop out.
const maxRetired = 2000

// Sealed is a closed window. It is written once and never changed.
type Sealed struct {
	// Number counts the windows from 1.
	Number int64     `json:"number"`
	Start  time.Time `json:"start"`
	End    time.Time `json:"end"`
	// Usage is what is billed for the window.
	Usage []lagoonhead.WorkspaceUsage `json:"usage"`
	// Total is the sum of all windows up to and with this one.
	Total []lagoonhead.WorkspaceUsage `json:"total"`
	// Retired lists incarnations whose totals are in RetiredTotal and no longer read.
	Retired      []lagoonhead.Incarnation    `json:"retired,omitempty"`
	RetiredTotal []lagoonhead.WorkspaceUsage `json:"retiredTotal,omitempty"`
	// Writer and Nonce identify the write.
	Writer lagoonhead.Incarnation `json:"writer"`
	Nonce  string                 `json:"nonce"`
}

// sealedKey returns the key of a window. The number has a fixed width, so that
// keys sort by it.
func sealedKey(number int64) string { return fmt.Sprintf("%s%012d", SealedPrefix, number) }

// window returns the report of a sealed window.
func (s Sealed) window() lagoonhead.UsageWindow {
	return lagoonhead.UsageWindow{
		Window: fmt.Sprintf("%012d", s.Number), Start: s.Start, End: s.End, Usage: s.Usage,
	}
}

// seal closes the window after last. present are the totals of each incarnation
// as read from the store; retire names those to be read for the last time. end is
// the wall time; it is moved to the start if the clock went back.
func seal(last Sealed, present map[lagoonhead.Incarnation][]lagoonhead.WorkspaceUsage, retire []lagoonhead.Incarnation, end time.Time) Sealed {
	s := Sealed{Number: last.Number + 1, Start: last.End, End: end}
	if s.Start.IsZero() || s.End.Before(s.Start) {
		s.Start, s.End = latest(s.Start, end), latest(s.Start, end)
	}
	retired, sum := totals{}, totals{}
	retired.addAll(last.RetiredTotal)
	for in, us := range present {
		switch {
		case slices.Contains(last.Retired, in):
		case slices.Contains(retire, in):
			retired.addAll(us)
		default:
			sum.addAll(us)
		}
	}
	s.Retired = slices.Clone(last.Retired)
	for _, in := range retire {
		if _, ok := present[in]; ok && !slices.Contains(s.Retired, in) {
			s.Retired = append(s.Retired, in)
		}
	}
	s.Retired = s.Retired[max(0, len(s.Retired)-maxRetired):]
	s.RetiredTotal = retired.list()
	sum.addAll(s.RetiredTotal)
	s.Total = sum.list()
	s.Usage = difference(sum, last.Total)
	return s
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// difference returns what the sums exceed the former ones by.
func difference(sum totals, former []lagoonhead.WorkspaceUsage) []lagoonhead.WorkspaceUsage {
	d := totals{}
	d.addAll(sum.list())
	for _, u := range former {
		d.add(lagoonhead.WorkspaceUsage{
			Workspace: u.Workspace, PromptTokens: -u.PromptTokens,
			OutputTokens: -u.OutputTokens, Requests: -u.Requests,
		})
	}
	return slices.DeleteFunc(d.list(), func(u lagoonhead.WorkspaceUsage) bool {
		return u == lagoonhead.WorkspaceUsage{Workspace: u.Workspace}
	})
}
