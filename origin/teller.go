package origin

import (
	"context"
	"sync"

	"github.com/lagoonhead/lagoonhead"
)

// maxPending bounds the streams that wait for a call to one home. Further ones are not told there.
const maxPending = 4096

// batch is what is told to a home in one call.
type batch struct {
	groups []Group
	size   int
	// done is closed when the call has ended, with told set if it succeeded.
	done chan struct{}
	told bool
}

// line is the way to one home: one call at a time, and what goes with the next.
type line struct {
	busy bool
	next *batch
}

// teller tells homes of streams, with one call in flight to each.
type teller struct {
	// send tells a home and reports whether it succeeded.
	send func(ctx context.Context, home lagoonhead.VM, groups []Group) bool
	vars *counters

	mu    sync.Mutex
	lines map[lagoonhead.VMID]*line
}

// tell adds a stream to the next call to a home. It returns nil if too many wait.
func (t *teller) tell(home lagoonhead.VM, service, software string, key uint64) *batch {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.lines[home.ID()]
	if l == nil {
		if t.lines == nil {
			t.lines = make(map[lagoonhead.VMID]*line)
		}
		l = new(line)
		t.lines[home.ID()] = l
	}
	if l.next == nil {
		l.next = &batch{done: make(chan struct{})}
	}
	b := l.next
	if b.size >= maxPending {
		t.vars.dropped.Add(1)
		return nil
	}
	if l.busy {
		t.vars.coalesced.Add(1)
	}
	b.add(service, software, key)
	if !l.busy {
		l.busy = true
		go t.run(home, l)
	}
	return b
}

// run tells a home until nothing waits.
func (t *teller) run(home lagoonhead.VM, l *line) {
	for {
		t.mu.Lock()
		b := l.next
		l.next = nil
		if b == nil {
			delete(t.lines, home.ID())
			t.mu.Unlock()
			return
		}
		t.mu.Unlock()
		if b.told = t.send(context.Background(), home, b.groups); b.told {
			t.vars.told.Add(int64(b.size))
		}
		close(b.done)
	}
}

func (b *batch) add(service, software string, key uint64) {
	b.size++
	for i := range b.groups {
		if g := &b.groups[i]; g.Service == service && g.Software == software {
			g.Streams = append(g.Streams, key)
			return
		}
	}
	b.groups = append(b.groups, Group{service, software, []uint64{key}})
}
