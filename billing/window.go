package billing

import (
	"fmt"
	"slices"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// SealedPrefix is the prefix of the keys of sealed windows; the number of the window
// follows it.
const SealedPrefix = "usage/sealed/"

// maxRetired is the maximum number of retired incarnations in a sealed window. At 40 bytes
// each they take 80 KB; a stored value may have 1 MB. The keys of those that are dropped
// from the list were deleted long before.
const maxRetired = 2000

// SealedWindow is the stored record of an ended window. It is written once and never changed.
type SealedWindow struct {
	// Number is the number of the window, from 1.
	Number int64     `json:"number"`
	Start  time.Time `json:"start"`
	End    time.Time `json:"end"`
	// Usage is the usage to bill for the window.
	Usage []lagoonhead.WorkspaceUsage `json:"usage"`
	// Total is the sum of all windows up to and including this one.
	Total []lagoonhead.WorkspaceUsage `json:"total"`
	// Retired lists incarnations whose totals are part of RetiredTotal and whose keys are
	// no longer read.
	Retired      []lagoonhead.Incarnation    `json:"retired,omitempty"`
	RetiredTotal []lagoonhead.WorkspaceUsage `json:"retiredTotal,omitempty"`
	// Writer and Nonce identify the write.
	Writer lagoonhead.Incarnation `json:"writer"`
	Nonce  string                 `json:"nonce"`
}

// sealedKey returns the key of a sealed window. The number has a fixed width, so that
// keys sort by number.
func sealedKey(number int64) string { return fmt.Sprintf("%s%012d", SealedPrefix, number) }

// window returns the report of a sealed window.
func (s SealedWindow) window() lagoonhead.UsageWindow {
	return lagoonhead.UsageWindow{
		Window: fmt.Sprintf("%012d", s.Number), Start: s.Start, End: s.End, Usage: s.Usage,
	}
}

// seal returns the window that follows last. present holds the totals of each
// incarnation as read from the store; retire lists those that are read for the last
// time. end is the wall time; it is moved to the start of the window if the clock was
// set back.
func seal(last SealedWindow, present map[lagoonhead.Incarnation][]lagoonhead.WorkspaceUsage, retire []lagoonhead.Incarnation, end time.Time) SealedWindow {
	s := SealedWindow{Number: last.Number + 1, Start: last.End, End: end}
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

// difference returns sum minus former, without workspaces whose figures are all zero.
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
