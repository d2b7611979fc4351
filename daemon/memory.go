package daemon

import (
	"context"
	"runtime/debug"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/lagoonhead/lagoonhead/bodybudget"
	"github.com/lagoonhead/lagoonhead/caller"
	"github.com/lagoonhead/lagoonhead/httplimit"
	"github.com/lagoonhead/lagoonhead/settings"
	"github.com/lagoonhead/lagoonhead/timer"
)

// bodyShare is the fraction of the memory that the bodies of callers may take together, and leastBodies
// the number of the largest bodies for which there is room at least. A completion holds its body and
// two copies, and a quarter of the memory for bodies is for small ones.
const bodyShare, leastBodies = 0.25, 4

// MemoryBytes returns the memory that a daemon with the settings may take, in bytes, or 0 if that is
// not known.
func MemoryBytes(s settings.Settings) int64 {
	if s.Limits.MemoryBytes > 0 {
		return s.Limits.MemoryBytes
	}
	var i unix.Sysinfo_t
	if unix.Sysinfo(&i) != nil {
		return 0
	}
	return int64(i.Totalram) * int64(i.Unit)
}

// memoryShare is the fraction of the memory that is set as Go's soft limit, and gcPercent the target of
// the garbage collection, below the default of 100 to save memory.
const memoryShare, gcPercent = 0.75, 50

// SetMemoryLimit makes the Go runtime of this process keep to the memory of the settings.
func SetMemoryLimit(s settings.Settings) {
	if n := MemoryBytes(s); n > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(n)))
		debug.SetGCPercent(gcPercent)
	}
}

// descriptors returns the number of file descriptors that the process may have, or 0 if that is not
// known.
func descriptors() int {
	var l syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l) != nil {
		return 0
	}
	const most = 1 << 20 // more are no limit in practice
	return int(min(l.Cur, most))
}

// buildCallerLimits creates what bounds the connections of callers and the memory of their bodies.
func (b *builder) buildCallerLimits() (*bodybudget.Budget, *httplimit.Connections) {
	memory := MemoryBytes(b.settings)
	connections := httplimit.New(httplimit.Limits{Descriptors: descriptors(), MemoryBytes: memory}, func() bool { return false }, caller.Refusal)
	var capacity int64
	if memory > 0 {
		capacity = max(int64(bodyShare*float64(memory)), leastBodies*b.settings.Limits.MaxBodyBytes)
	}
	bodies := bodybudget.New(capacity, b.timer, b.log)
	bodies.Crowded = connections.Crowded
	b.add("bodies", bodies.Run, bodies.Vars())
	b.add("connections", func(ctx context.Context) error {
		timer.Every(ctx, b.timer, httplimit.LogInterval, func(time.Duration) { connections.LogRefused(b.log) })
		return nil
	}, connections.Vars())
	return bodies, connections
}
