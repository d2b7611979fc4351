package peer

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/timer"
)

const (
	// DefaultInterval is the time between heartbeats.
	DefaultInterval = 250 * time.Millisecond
	// DefaultFanout is the number of peers that get each heartbeat; a fleet that is
	// not larger exchanges with everyone.
	DefaultFanout = 5
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = time.Second
)

// Exchanger sends heartbeats and passes on the answers. Set the exported fields
// before Run.
type Exchanger struct {
	Pool  *Pool
	Timer timer.Timer
	// Self is the VM of this daemon.
	Self lagoonhead.VMID
	// Peers returns the listed VMs.
	Peers func() []lagoonhead.VM
	// Source builds the heartbeat.
	Source HeartbeatSource
	// Answered is called with each answer and the time since boot at which its
	// request was sent: the ages in it are at most as old as that.
	Answered func(h *Heartbeat, sent time.Duration)
	// Interval and Fanout default to the constants of the package.
	Interval time.Duration
	Fanout   int

	mu   sync.Mutex
	busy map[lagoonhead.VMID]bool
	vars expvar.Map
}

// Vars returns the counters sent, answered and failed.
func (x *Exchanger) Vars() *expvar.Map { return &x.vars }

// Run exchanges heartbeats until ctx ends.
func (x *Exchanger) Run(ctx context.Context) error {
	if x.Interval == 0 {
		x.Interval = DefaultInterval
	}
	if x.Fanout == 0 {
		x.Fanout = DefaultFanout
	}
	ticks := x.Timer.Subscribe(x.Interval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C():
			x.step(ctx)
		}
	}
}

func (x *Exchanger) step(ctx context.Context) {
	for _, v := range x.choose() {
		if x.begin(v.ID()) {
			go x.exchange(ctx, v)
		}
	}
}

// choose returns Fanout random peers.
func (x *Exchanger) choose() []lagoonhead.VM {
	var peers []lagoonhead.VM
	for _, v := range x.Peers() {
		if v.ID() != x.Self {
			peers = append(peers, v)
		}
	}
	if len(peers) <= x.Fanout {
		return peers
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:x.Fanout]
}

// begin keeps at most one exchange with a peer, so that one which does not answer
// does not gather requests.
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

func (x *Exchanger) end(id lagoonhead.VMID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.busy, id)
}

func (x *Exchanger) exchange(ctx context.Context, v lagoonhead.VM) {
	defer x.end(v.ID())
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sent := x.Timer.Now()
	x.vars.Add("sent", 1)
	h, err := x.Pool.Commands(v.PeerAddress()).Exchange(ctx, x.Source.Local())
	if err != nil {
		x.vars.Add("failed", 1)
		return
	}
	x.vars.Add("answered", 1)
	x.Answered(h, sent)
}
