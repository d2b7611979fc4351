package peer

import (
	"cmp"
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/timer"
)

const (
	// DefaultInterval is the time between two heartbeats of a daemon.
	DefaultInterval = 250 * time.Millisecond
	// DefaultFanout is the number of peers, chosen at random, that get each heartbeat.
	// If there are no more peers than that, all of them get it.
	DefaultFanout = 5
	// DefaultTimeout limits one exchange.
	DefaultTimeout = time.Second
)

// Exchanger exchanges heartbeats with peers: it sends one and receives another as the
// response. Set the exported fields before Run.
type Exchanger struct {
	Pool  *Pool
	Timer timer.Timer
	// Self is the VM of this daemon.
	Self lagoonhead.VMID
	// Peers returns the VMs of the fleet. It may include Self.
	Peers func() []lagoonhead.VM
	// Source builds the heartbeats to send.
	Source HeartbeatSource
	// OnResponse is called with each response and the time since boot at which its
	// request was sent. The response was built after that time, so an age in it has
	// grown by no more than the time since then.
	OnResponse func(h *Heartbeat, sent time.Duration)
	// OnFailure, if not nil, is called when an exchange with a peer has failed.
	OnFailure func(v lagoonhead.VM)
	// Interval, Fanout and Timeout default to DefaultInterval, DefaultFanout and
	// DefaultTimeout.
	Interval time.Duration
	Fanout   int
	Timeout  time.Duration

	once   sync.Once
	urgent chan struct{}
	mu     sync.Mutex
	busy   map[lagoonhead.VMID]bool // peers with a periodic exchange in progress
	vars   expvar.Map
}

// Vars returns the counters of exchanges (sent, answered, failed) and of calls of ExchangeNow
// that took effect (urgent).
func (x *Exchanger) Vars() *expvar.Map { return &x.vars }

func (x *Exchanger) init() {
	x.once.Do(func() { x.urgent = make(chan struct{}, 1) })
}

// ExchangeNow makes Run exchange heartbeats with every peer at once. It does not block.
func (x *Exchanger) ExchangeNow() {
	x.init()
	select {
	case x.urgent <- struct{}{}:
	default:
	}
}

// Run exchanges heartbeats until ctx ends.
func (x *Exchanger) Run(ctx context.Context) error {
	x.init()
	ticks := x.Timer.Subscribe(x.interval())
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C():
			x.step(ctx)
		case <-x.urgent:
			x.vars.Add("urgent", 1)
			x.exchangeAll(ctx)
		}
	}
}

// exchangeAll starts an exchange with every peer, including those with an exchange in
// progress: the heartbeat of that one was built before the urgent change.
func (x *Exchanger) exchangeAll(ctx context.Context) {
	for _, v := range x.others() {
		go x.exchange(ctx, v)
	}
}

// others returns the VMs of the fleet without that of this daemon.
func (x *Exchanger) others() []lagoonhead.VM {
	var peers []lagoonhead.VM
	for _, v := range x.Peers() {
		if v.ID() != x.Self {
			peers = append(peers, v)
		}
	}
	return peers
}

// PeerInterval returns the expected time between two heartbeats from the same
// peer, in requests or responses. An exchange gives each side a heartbeat of the other, and
// all daemons are assumed to have the same interval and fanout.
func (x *Exchanger) PeerInterval() time.Duration {
	n := time.Duration(len(x.others()))
	return max(x.interval()/2, x.interval()*n/time.Duration(2*x.fanout()))
}

func (x *Exchanger) interval() time.Duration { return cmp.Or(x.Interval, DefaultInterval) }
func (x *Exchanger) fanout() int             { return cmp.Or(x.Fanout, DefaultFanout) }

// step starts one round of periodic exchanges.
func (x *Exchanger) step(ctx context.Context) {
	for _, v := range x.choose() {
		if x.begin(v.ID()) {
			go func() {
				defer x.end(v.ID())
				x.exchange(ctx, v)
			}()
		}
	}
}

// choose returns Fanout random peers, or all if there are no more.
func (x *Exchanger) choose() []lagoonhead.VM {
	peers := x.others()
	if len(peers) <= x.fanout() {
		return peers
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:x.fanout()]
}

// begin reports whether a periodic exchange with the peer may start, and marks the peer
// as busy if so. There is at most one at a time, so that requests do not accumulate at
// a peer that does not respond.
func (x *Exchanger) begin(id lagoonhead.VMID) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.busy == nil {
		x.busy = make(map[lagoonhead.VMID]bool)
	}
	if x.busy[id] {
		return false
	}
	x.busy[id] = true
	return true
}

// end marks the peer as no longer busy.
func (x *Exchanger) end(id lagoonhead.VMID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.busy, id)
}

// exchange sends a heartbeat to one peer and passes the response to OnResponse.
func (x *Exchanger) exchange(ctx context.Context, v lagoonhead.VM) {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(x.Timeout, DefaultTimeout))
	defer cancel()
	sent := x.Timer.Now()
	x.vars.Add("sent", 1)
	h, err := x.Pool.Commands(v.PeerAddress()).Exchange(ctx, x.Source.Heartbeat(v.ID()))
	if err != nil {
		x.vars.Add("failed", 1)
		if x.OnFailure != nil {
			x.OnFailure(v)
		}
		return
	}
	x.vars.Add("answered", 1)
	x.OnResponse(h, sent)
}
