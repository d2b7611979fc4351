package daemon

import (
	"context"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/lagoonhead/lagoonhead/bodybudget"
	"github.com/lagoonhead/lagoonhead/caller"
	"github.com/lagoonhead/lagoonhead/httplimit"
	"github.com/lagoonhead/lagoonhead/settings"
	"github.com/lagoonhead/lagoonhead/timer"
)

const (
	// leastBodies is the number of the largest bodies for which there is room at least. A completion holds
	// its body and two copies, and a quarter of the memory for bodies is for small ones.
	leastBodies = 4
	// maxDescriptors replaces larger limits on descriptors, which are none in practice.
	maxDescriptors = 1 << 20
)

// Limits returns the limits of a process with the settings.
func Limits(s settings.Settings) httplimit.Limits {
	v := httplimit.Limits{MemoryBytes: s.Limits.MemoryBytes}
	var machine unix.Sysinfo_t
	if v.MemoryBytes == 0 && unix.Sysinfo(&machine) == nil {
		v.MemoryBytes = int64(machine.Totalram) * int64(machine.Unit)
	}
	var files syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files) == nil {
		v.Descriptors = int(min(files.Cur, maxDescriptors))
	}
	return v
}

// buildCallerLimits creates what bounds the connections of callers and the memory of their bodies.
func (b *builder) buildCallerLimits() (*bodybudget.Budget, *httplimit.Connections) {
	limits := Limits(b.settings)
	connections := httplimit.New(limits, func() bool { return false }, caller.Refusal)
	bodies := bodybudget.New(limits.BodyBytes(leastBodies*b.settings.Limits.MaxBodyBytes), b.timer, b.log)
	bodies.Crowded = connections.Crowded
	b.add("bodies", bodies.Run, bodies.Vars())
	b.add("connections", func(ctx context.Context) error {
		timer.Every(ctx, b.timer, httplimit.LogInterval, func(time.Duration) { connections.LogRefused(b.log) })
		return nil
	}, connections.Vars())
	return bodies, connections
}
