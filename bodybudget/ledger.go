package bodybudget

import (
	"cmp"
	"slices"
	"time"
)

const (
	// smallBody is the size in bytes up to which a body may use the whole budget. It is above that of
	// ordinary requests, which have about 17 kB.
	smallBody = 64 << 10
	// reservedPart is the part of the budget that only small bodies use.
	reservedPart = 4
	// stalledAfter is the time after which a body without progress gives its bytes to another one, and
	// minProgress the number of bytes that count as progress. A client that loses a packet goes on
	// within some hundred milliseconds.
	stalledAfter = time.Second
	minProgress  = 8 << 10
)

// entry is the account of one body.
type entry struct {
	group  string
	number int64 // in the order of arrival
	// announced is the length of the body, or -1 if it is not known.
	announced int64
	// held are the bytes that are counted for the body, and received those that have arrived.
	held, received int64
	// progressed is when the body last made progress, and marked the bytes received until then.
	progressed time.Duration
	marked     int64
	// revoked is true once the body has to give its bytes back.
	revoked bool
}

// small reports whether the body, grown by n bytes, may use the reserve.
func (e *entry) small(n int64) bool {
	if e.announced >= 0 {
		return e.announced <= smallBody
	}
	return e.held+n <= smallBody
}

// ledger keeps the accounts of all bodies and decides which yields. It handles many large bodies that
// come at once, bodies that stop short of their end, and answers that are not read, from clients of one
// workspace or of many.
type ledger struct {
	// capacity is the budget in bytes; 0 means that there is no bound.
	capacity int64
	// held is the sum over all entries, and returning the part of it that revoked entries have not
	// given back yet.
	held, returning int64
	// groups holds the bytes by group, without those of revoked entries.
	groups map[string]int64
	// revocable holds the entries that may be revoked.
	revocable map[*entry]struct{}
	arrived   int64
	// onlyStalled makes only bodies without progress yield.
	onlyStalled bool
}

func newLedger(capacity int64) *ledger {
	return &ledger{capacity: capacity, groups: make(map[string]int64), revocable: make(map[*entry]struct{})}
}

func (l *ledger) open(now time.Duration, group string, announced int64) *entry {
	l.arrived++
	return &entry{group: group, number: l.arrived, announced: announced, progressed: now}
}

// expose lets e be revoked from now on.
func (l *ledger) expose(now time.Duration, e *entry) {
	e.received, e.marked, e.progressed = 0, 0, now
	l.revocable[e] = struct{}{}
}

// available returns the budget for bodies of the kind of e when it has grown by n bytes.
func (l *ledger) available(e *entry, n int64) int64 {
	if e.small(n) {
		return l.capacity
	}
	return l.capacity - l.capacity/reservedPart
}

// take counts n more bytes for e if there is room, and reports whether there is.
func (l *ledger) take(e *entry, n int64) bool {
	if e.revoked || l.capacity > 0 && l.held+n > l.available(e, n) {
		return false
	}
	e.held += n
	l.held += n
	l.groups[e.group] += n
	return true
}

// give counts n bytes less for e.
func (l *ledger) give(e *entry, n int64) {
	e.held -= n
	l.held -= n
	if e.revoked {
		l.returning -= n
		return
	}
	if l.groups[e.group] -= n; l.groups[e.group] == 0 {
		delete(l.groups, e.group)
	}
}

// receive records that the body has n bytes by now.
func (l *ledger) receive(now time.Duration, e *entry, n int64) {
	e.received = n
	if n-e.marked >= minProgress {
		e.marked, e.progressed = n, now
	}
}

// protect keeps e from being revoked from now on. It reports whether the body still has its bytes.
func (l *ledger) protect(e *entry) bool {
	delete(l.revocable, e)
	return !e.revoked
}

// close ends the account.
func (l *ledger) close(e *entry) {
	delete(l.revocable, e)
	l.give(e, e.held)
}

// revoke makes e give its bytes back.
func (l *ledger) revoke(e *entry) {
	if l.groups[e.group] -= e.held; l.groups[e.group] == 0 {
		delete(l.groups, e.group)
	}
	e.revoked = true
	l.returning += e.held
	delete(l.revocable, e)
}

// makeRoom revokes bodies so that n bytes for e become free, and reports whether waiting for what was
// revoked is enough. Bodies without progress yield first, whoever sent them: the daemon gains nothing
// by keeping them. Then the newest revocable body of the group that holds most yields, as long as
// that group holds more than the group of e would.
func (l *ledger) makeRoom(now time.Duration, e *entry, n int64) (revoked []*entry, enough bool) {
	missing := l.held - l.returning + n - l.available(e, n)
	if missing <= 0 {
		return nil, true
	}
	for _, v := range l.stalled(now, stalledAfter) {
		if missing <= 0 {
			break
		}
		if v != e && v.held > 0 {
			missing -= v.held
			l.revoke(v)
			revoked = append(revoked, v)
		}
	}
	for missing > 0 {
		if l.onlyStalled {
			return revoked, false
		}
		v := l.newestOfLargest(l.groups[e.group] + n)
		if v == nil {
			return revoked, false
		}
		missing -= v.held
		l.revoke(v)
		revoked = append(revoked, v)
	}
	return revoked, true
}

// stalled returns the revocable bodies without progress for a time, the longest first.
func (l *ledger) stalled(now, after time.Duration) (list []*entry) {
	for v := range l.revocable {
		if now-v.progressed >= after {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.progressed, b.progressed), cmp.Compare(a.number, b.number))
	})
	return list
}

// newestOfLargest returns the newest revocable body with bytes of the group that holds most, or nil
// if no group holds more than a number of bytes.
func (l *ledger) newestOfLargest(than int64) (newest *entry) {
	var largest string
	most := than
	for g, held := range l.groups {
		if held > most || held == most && held > than && g < largest {
			largest, most = g, held
		}
	}
	if most == than {
		return nil
	}
	for v := range l.revocable {
		if v.group == largest && v.held > 0 && (newest == nil || v.number > newest.number) {
			newest = v
		}
	}
	return newest
}
