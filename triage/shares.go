package triage

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// shareMemory is the time constant of the counts that are compared with a fair share. A VM gets
	// some ten requests a second of ten workspaces or more, so that less would leave a handful of
	// each.
	shareMemory = 10 * time.Second
	// usualMemory is the time constant of the usual rate of a workspace at this VM. It runs only
	// while the service is not overloaded, so that a flood does not become usual.
	usualMemory = 5 * time.Minute
	// minObserved is the time without overload before which nobody yields, since what is usual is
	// not known.
	minObserved = 30 * time.Second
	// deviations is the number of standard deviations by which the counts of a workspace must exceed
	// its share. Of a workspace that does not, one in some hundred counts does at two, and one in a
	// thousand at three.
	deviations = 3
	// runCost is what the run of a prompt costs besides its prefill, in tokens of prefill: while it
	// decodes it delays the others of its batch.
	runCost = 4_000
	// levelTime is for how long a computed share is used again.
	levelTime = 250 * time.Millisecond
	// maxWorkspaces bounds the workspaces that are counted for a service, 100 bytes each. Those
	// beyond never yield.
	maxWorkspaces = 4096
)

// use is what a workspace asked of a service, in tokens that need prefill. The counts decay.
type use struct {
	// asked counts the prompts, and recent the same with the time constant memory. served is the sum
	// of the prompts that were prefilled.
	asked, recent count
	served        float64
	at            time.Duration
	// usual is what was asked while the service was not overloaded, with usualMemory. It decays
	// with shares.calm, which was calmAt at the time at.
	usual  float64
	calmAt time.Duration
}

func (u *use) decay(now, calm time.Duration) {
	f := decayFactor(now-u.at, shareMemory)
	u.asked.scale(f)
	u.served *= f
	u.recent.scale(decayFactor(now-u.at, memory))
	u.usual *= decayFactor(calm-u.calmAt, usualMemory)
	u.at, u.calmAt = now, calm
}

// surely returns what the workspace asked for beyond chance, in the time of use.asked. A flood that
// has just begun shows in the recent count first.
func (u *use) surely() float64 {
	return max(u.asked.surely(), u.recent.surely()*shareMemory.Seconds()/memory.Seconds())
}

// count is a decaying sum of prompts and the sum of their squares.
type count struct{ sum, squares float64 }

func (c *count) add(n float64) { c.sum, c.squares = c.sum+n, c.squares+n*n }

func (c *count) scale(f float64) { c.sum, c.squares = c.sum*f, c.squares*f }

// surely returns the sum less its standard deviations.
func (c *count) surely() float64 { return c.sum - deviations*math.Sqrt(c.squares) }

// shares are the uses of a service by workspace.
type shares struct {
	uses map[lagoonhead.WorkspaceID]*use
	// calm is the time since the first use during which the service was not overloaded. at is when
	// it was last advanced.
	calm, at time.Duration
	// level is the max-min share at the time levelAt.
	level   float64
	levelAt time.Duration
}

func (s *shares) use(now time.Duration, w lagoonhead.WorkspaceID) *use {
	if w == "" {
		return nil
	}
	u := s.uses[w]
	if u == nil {
		if s.uses == nil {
			s.uses = make(map[lagoonhead.WorkspaceID]*use)
		}
		if len(s.uses) >= maxWorkspaces {
			return nil
		}
		u = &use{at: now, calmAt: s.calm}
		s.uses[w] = u
	}
	u.decay(now, s.calm)
	return u
}

// ask counts a prompt.
func (s *shares) ask(now time.Duration, w lagoonhead.WorkspaceID, tokens int, overloaded bool) {
	if !overloaded && s.uses != nil {
		s.calm += now - s.at
	}
	s.at = now
	u := s.use(now, w)
	if u == nil {
		return
	}
	n := float64(runCost + tokens)
	u.asked.add(n)
	u.recent.add(n)
	if !overloaded {
		u.usual += n
		// What yields is not learnt as usual, or a flood would be before forecasts miss the objective.
		u.usual -= n * s.yields(now, w)
	}
}

func (s *shares) serve(now time.Duration, w lagoonhead.WorkspaceID, tokens int) {
	if u := s.use(now, w); u != nil {
		u.served += float64(runCost + tokens)
	}
}

// yields returns the part of the prompts of a workspace that is to yield to those of others: what it
// surely asks for beyond its share. The share is the max-min share of what this VM's requests were
// served, or more for a workspace that is as large as usual, as far as the others are served.
func (s *shares) yields(now time.Duration, w lagoonhead.WorkspaceID) float64 {
	u := s.use(now, w)
	if u == nil || s.calm < minObserved {
		return 0
	}
	surely := u.surely()
	if surely <= 0 {
		return 0
	}
	if s.levelAt == 0 || now-s.levelAt >= levelTime {
		s.findLevel(now)
	}
	if surely <= s.level {
		return 0
	}
	share := s.level
	if usual := u.usual * s.usualScale(); usual > share {
		share += s.othersServed(w) * (usual - share)
	}
	return max(0, 1-share/surely)
}

// usualScale is the factor from use.usual to the same in the time of use.asked.
func (s *shares) usualScale() float64 {
	observed := 1 - decayFactor(s.calm, usualMemory)
	return shareMemory.Seconds() / usualMemory.Seconds() / observed
}

// findLevel finds the level of which no workspace gets more as long as another gets less than it
// asks for. What is divided is what was served, but not more than is usual at this VM: the engines
// are shared with other VMs, so that a VM with a flood has no right to more.
func (s *shares) findLevel(now time.Duration) {
	s.levelAt = now
	var asked []float64
	served, usual := 0.0, 0.0
	for w, u := range s.uses {
		u.decay(now, s.calm)
		if u.usual < 1 {
			delete(s.uses, w)
			continue
		}
		asked = append(asked, u.asked.sum)
		served += u.served
		usual += u.usual
	}
	served = min(served, usual*s.usualScale())
	slices.SortFunc(asked, func(a, b float64) int { return cmp.Compare(a, b) })
	for i, n := range asked {
		s.level = served / float64(len(asked)-i)
		if n >= s.level {
			return
		}
		served -= n
	}
	s.level = math.Inf(1)
}

// othersServed returns the part that was served of what others than a workspace asked for.
func (s *shares) othersServed(w lagoonhead.WorkspaceID) float64 {
	asked, served := 0.0, 0.0
	for other, u := range s.uses {
		if other != w {
			asked, served = asked+u.asked.sum, served+u.served
		}
	}
	if asked == 0 {
		return 1
	}
	return min(1, served/asked)
}
