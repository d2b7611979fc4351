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

	once   sync.Once
	urgent chan struct{}
	mu     sync.Mutex
	busy   map[lagoonhead.VMID]bool
	vars   expvar.Map
}

// Vars returns the counters sent, answered, failed and urgent.
func (x *Exchanger) Vars() *expvar.Map { return &x.vars }

func (x *Exchanger) init() {
	x.once.Do(func() { x.urgent = make(chan struct{}, 1) })
}

// Urge sends the next heartbeat at once, to every listed peer. It does not wait.
func (x *Exchanger) Urge() {
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
			x.toAll(ctx)
		}
	}
}

// toAll exchanges with every peer, also with those that are still busy with an
// earlier exchange: that one does not carry the news.
func (x *Exchanger) toAll(ctx context.Context) {
	for _, v := range x.others() {
		go x.exchange(ctx, v)
	}
}

func (x *Exchanger) others() []lagoonhead.VM {
	var peers []lagoonhead.VM
	for _, v := range x.Peers() {
		if v.ID() != x.Self {
			peers = append(peers, v)
		}
	}
	return peers
}

// Gap returns the expected time between two words of one peer: each exchange tells both
// sides, and all daemons send alike.
func (x *Exchanger) Gap() time.Duration {
	n := time.Duration(len(x.others()))
	return max(x.interval()/2, x.interval()*n/time.Duration(2*x.fanout()))
}

func (x *Exchanger) interval() time.Duration { return cmp.Or(x.Interval, DefaultInterval) }
func (x *Exchanger) fanout() int             { return cmp.Or(x.Fanout, DefaultFanout) }

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

// choose returns Fanout random peers.
func (x *Exchanger) choose() []lagoonhead.VM {
	peers := x.others()
	if len(peers) <= x.fanout() {
		return peers
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:x.fanout()]
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
