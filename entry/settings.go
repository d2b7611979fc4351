package entry

import (
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/limit"
)

// Settings holds what a daemon must know before it can read its configuration from the
// store.
type Settings struct {
	VM            lagoonhead.VMID
	FailureDomain lagoonhead.FailureDomain
	Listen        Listen
	// Seeds are the addresses of peers (host:port) to contact first. They may be stale.
	Seeds []string
	// MemoryBytes is the memory in bytes above which the process is killed.
	MemoryBytes int64
	// MaxDescriptors is the number of file descriptors that the process may have open; 0
	// means that there is no limit to keep to.
	MaxDescriptors int
	// Cores is the processor time of the VM per second, or 0 if it is unknown. VMs with
	// more of it become hubs first.
	Cores float64
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// DutyReturnTime is the time within which a duty must not move to another daemon and back
	// again.
	DutyReturnTime time.Duration
	// FencingEnforced is true when the platform and all engines reject the fencing token
	// of a former holder of a duty.
	FencingEnforced bool
	// MinLeaseTTL is the minimum time to live of a lease.
	MinLeaseTTL time.Duration
	// RegistrationTTL is the time after which the store removes the registration of an endpoint
	// that has sent no heartbeat.
	RegistrationTTL time.Duration
	// UsageWindow is the length of the windows for which usage is reported.
	UsageWindow time.Duration
	// RetryRatio and RetrySlack bound the retries of each service within any RetryWindow,
	// over the whole fleet, to RetryRatio times its requests plus RetrySlack.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// LimitTolerance is the accepted excess over the quota of a workspace.
	LimitTolerance limit.Tolerance
	// ColdTolerance is the accepted excess over the requests that a cold endpoint takes.
	ColdTolerance ColdTolerance
	// EvacuationTime is the time within which an evacuation must be in force; 0 means that none is
	// stated.
	EvacuationTime time.Duration
	// Regions holds the regions of the failure domains. Endpoints of a domain that it lacks are in
	// no region. Region is that of the VM.
	Regions map[lagoonhead.FailureDomain]string
	Region  string
}

// ColdTolerance bounds the requests that a cold endpoint may get in any second, from all VMs
// together, to Overrun times the number that it takes plus Slack. An Overrun below 1 counts as 1.
type ColdTolerance struct{ Overrun, Slack float64 }

func (t ColdTolerance) bound(perSecond float64) float64 {
	return max(1, t.Overrun)*perSecond + max(0, t.Slack)
}

// Listen holds the addresses (IP:port) of the listeners.
type Listen struct {
	// Callers serves callers, Ready the load balancer's readiness probes, and Peers the
	// other daemons.
	Callers, Ready, Peers string
	// Metrics is empty when metrics are not served.
	Metrics string
}
