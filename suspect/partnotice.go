package suspect

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lagoonhead/lagoonhead/peer"
)

// Notices returns the entries to send to peers, in a fixed order: parts that may be refused,
// and others for noticePeriod after a change. If there are too many, those with the most
// crashes go first, then those that changed last.
func (p *Parts) Notices() []*peer.PartNotice {
	if p.size.Load() == 0 {
		return nil
	}
	now := p.Timer.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeExpired(now)
	var parts []uint64
	for _, h := range slices.Sorted(maps.Keys(p.entries)) {
		e := p.entries[h]
		if now-e.changedAt < noticePeriod || (len(e.crashes) >= partRefusalCrashes && now-e.newestCrash() < RefusedFor) {
			parts = append(parts, h)
		}
	}
	slices.SortStableFunc(parts, func(a, b uint64) int {
		x, y := p.entries[a], p.entries[b]
		return cmp.Or(cmp.Compare(len(y.crashes), len(x.crashes)), cmp.Compare(y.changedAt, x.changedAt))
	})
	out := make([]*peer.PartNotice, 0, min(len(parts), maxNotices))
	for _, h := range parts[:min(len(parts), maxNotices)] {
		out = append(out, p.entries[h].notice(h, now))
	}
	return out
}

// Refused returns the parts that are refused, in a fixed order.
func (p *Parts) Refused() []*peer.PartNotice {
	if p.size.Load() == 0 {
		return nil
	}
	now := p.Timer.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*peer.PartNotice
	for _, group := range p.judge(now) {
		for _, h := range group {
			if e := p.entries[h]; now-e.newestCrash() < RefusedFor && len(out) < maxNotices {
				out = append(out, e.notice(h, now))
			}
		}
	}
	return out
}

func (e *partEntry) notice(part uint64, now time.Duration) *peer.PartNotice {
	n := &peer.PartNotice{Part: part, FinishedAgeMs: -1}
	if e.finished != neverFinished {
		n.FinishedAgeMs = (now - e.finished).Milliseconds()
	}
	for _, c := range e.crashes {
		n.Crashes = append(n.Crashes, &peer.PartCrash{Process: c.process, AgeMs: (now - c.at).Milliseconds()})
	}
	return n
}

// Merge merges the notices of a peer. Duplicate and old notices change nothing, so they may
// arrive in any order.
func (p *Parts) Merge(notices []*peer.PartNotice) {
	if len(notices) == 0 {
		return
	}
	now := p.Timer.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range notices {
		p.merge(n, now)
	}
}

func (p *Parts) merge(n *peer.PartNotice, now time.Duration) {
	e := p.entries[n.GetPart()]
	if e == nil {
		if len(n.GetCrashes()) == 0 {
			return
		}
		e = p.entry(n.GetPart(), now)
	}
	changed := false
	if age := n.GetFinishedAgeMs(); age >= 0 {
		changed = e.finish(now - noticeAge(age))
	}
	for _, c := range n.GetCrashes()[:min(len(n.GetCrashes()), maxPartCrashes)] {
		v := partCrash{c.GetProcess(), now - noticeAge(c.GetAgeMs())}
		if v.at <= e.finished {
			// The peer has not heard that a request with the part has finished since.
			e.changedAt = now
		}
		if now-v.at < RememberedFor && e.add(v) {
			changed = true
		}
	}
	if changed {
		e.changedAt, p.judged = now, false
	}
}

// noticeAge returns the age that a notice states, between 0 and RememberedFor.
func noticeAge(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), RememberedFor.Milliseconds())) * time.Millisecond
}
