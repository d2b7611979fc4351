package entry

import (
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/limit"
)

// Settings are what a daemon has to know before it can talk to anyone.
type Settings struct {
	VM            lagoonhead.VMID
	FailureDomain lagoonhead.FailureDomain
	Listen        Listen
	// Seeds are addresses of peers (host:port) that may be stale.
	Seeds []string
	// MemoryBytes is the memory above which the process is killed.
	MemoryBytes int64
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// TurnTime is the time within which a duty must not go to another daemon and back.
	TurnTime time.Duration
	// FencesChecked tells that the platform and all engines refuse the fence of a former
	// holder of a duty.
	FencesChecked bool
	// LeaseLeast is the shortest time to live of a lease.
	LeaseLeast time.Duration
	// UsageWindow is the length of a usage window.
	UsageWindow time.Duration
	// RetryRatio and RetrySlack bound the sends beyond the first of each request, over
	// RetryWindow and the whole fleet.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// LimitTolerance is the excess over the limit of a workspace that is accepted.
	LimitTolerance limit.Tolerance
}

// Listen holds the addresses (IP:port) of the listeners.
type Listen struct {
	Callers, Ready, Peers string
	// Metrics is empty when no port is free for it.
	Metrics string
}
