package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/admit"
	"github.com/lagoonhead/lagoonhead/billing"
	"github.com/lagoonhead/lagoonhead/dispatch"
	"github.com/lagoonhead/lagoonhead/peer"
	"github.com/lagoonhead/lagoonhead/steer"
	"github.com/lagoonhead/lagoonhead/suspect"
	"github.com/lagoonhead/lagoonhead/timer"
)

// pullTimeout bounds the request for the configuration to a peer.
const pullTimeout = 500 * time.Millisecond

// heartbeats builds this daemon's heartbeat, processes those of peers, and fetches the
// configuration of a peer that has a newer one.
type heartbeats struct {
	self        lagoonhead.VMID
	incarnation lagoonhead.Incarnation
	timer       timer.Timer
	log         *zap.Logger
	config      *configuration
	endpoints   *endpoints
	members     *members
	admit       *admit.Runner
	suspects    *suspect.Table
	dispatcher  *dispatch.Dispatcher
	tally       *billing.Tally
	pool        *peer.Pool
	ready       func() error
	// roleChanges returns the engines whose role this daemon is changing, with the
	// time since boot by which each change ends.
	roleChanges func() map[lagoonhead.EndpointID]time.Duration
	// peerInterval returns the expected time between two heartbeats of one peer.
	peerInterval func() time.Duration
	// newerAt receives the VM of a peer that has a newer configuration.
	newerAt chan lagoonhead.VMID
}

var (
	_ peer.HeartbeatSource = (*heartbeats)(nil)
	_ peer.ConfigSource    = (*heartbeats)(nil)
)

// Local returns this daemon's heartbeat.
func (b *heartbeats) Local() *peer.Heartbeat {
	h := &peer.Heartbeat{
		Vm: string(b.self), Incarnation: string(b.incarnation), Revision: b.config.version(), Ready: b.ready() == nil,
		SlotsRevision: b.admit.SlotsRevision(), Suspects: b.suspects.Notices(),
	}
	for _, s := range b.admit.SlotsInUse() {
		h.Slots = append(h.Slots, int32(s))
	}
	now := b.timer.Now()
	b.dispatcher.WithBoard(func(board *steer.Board) {
		for _, w := range board.Own(now) {
			h.Work = append(h.Work, &peer.EndpointWork{
				Endpoint: string(w.Endpoint), PrefillTokens: int64(w.PrefillTokens), Running: int32(w.Running), PrefilledTotal: w.PrefillTotal,
				RunTotal: w.RunTotal, Read: w.RecentParts, Good: w.Good, Bad: w.Bad,
			})
		}
	})
	for id, until := range b.roleChanges() {
		if until > now {
			h.Changes = append(h.Changes, &peer.Change{Endpoint: string(id), LeftMs: (until - now).Milliseconds()})
		}
	}
	for _, c := range b.tally.CountsToSend() {
		n := &peer.UsageCount{Window: c.Window, Workspace: string(c.Workspace), Requests: c.Requests}
		if c.Incarnation != b.incarnation {
			n.Incarnation = string(c.Incarnation)
		}
		h.UsageCounts = append(h.UsageCounts, n)
	}
	return h
}

// ReceiveRequest processes a heartbeat that a peer sent as a request.
func (b *heartbeats) ReceiveRequest(h *peer.Heartbeat) { b.merge(h) }

// answered processes the heartbeat that a peer sent in response to one from this daemon.
func (b *heartbeats) answered(h *peer.Heartbeat, _ time.Duration) { b.merge(h) }

// merge updates the state of this daemon with a peer's heartbeat.
func (b *heartbeats) merge(h *peer.Heartbeat) {
	vm := lagoonhead.VMID(h.GetVm())
	b.admit.ObserveSlotsRevision(h.GetSlotsRevision())
	b.suspects.Merge(h.GetSuspects())
	works := make([]steer.Work, 0, len(h.GetWork()))
	for _, w := range h.GetWork() {
		works = append(works, steer.Work{
			Endpoint: lagoonhead.EndpointID(w.GetEndpoint()), PrefillTokens: int(w.GetPrefillTokens()), Running: int(w.GetRunning()),
			PrefillTotal: w.GetPrefilledTotal(), RunTotal: w.GetRunTotal(), RecentParts: w.GetRead(),
			Good: w.GetGood(), Bad: w.GetBad(),
		})
	}
	now := b.timer.Now()
	b.dispatcher.WithBoard(func(board *steer.Board) {
		board.PeerInterval = b.peerInterval()
		board.SetPeerWork(now, vm, works)
		for _, c := range h.GetChanges() {
			board.SetChanging(lagoonhead.EndpointID(c.GetEndpoint()), now+time.Duration(c.GetLeftMs())*time.Millisecond)
		}
	})
	b.tally.MergePeer(lagoonhead.Incarnation(h.GetIncarnation()), usageCounts(h))
	if h.GetRevision() > b.config.version() {
		select {
		case b.newerAt <- vm:
		default:
		}
	}
}

// usageCounts returns the request counts of a heartbeat. A count without an incarnation is
// of the sender itself.
func usageCounts(h *peer.Heartbeat) []billing.Count {
	list := make([]billing.Count, 0, len(h.GetUsageCounts()))
	for _, c := range h.GetUsageCounts() {
		n := billing.Count{
			Incarnation: lagoonhead.Incarnation(c.GetIncarnation()), Window: c.GetWindow(),
			Workspace: lagoonhead.WorkspaceID(c.GetWorkspace()), Requests: c.GetRequests(),
		}
		if n.Incarnation == "" {
			n.Incarnation = lagoonhead.Incarnation(h.GetIncarnation())
		}
		list = append(list, n)
	}
	return list
}

// PullConfig returns the configuration and the endpoint registrations that this daemon
// has, if its configuration is newer than the caller's.
func (b *heartbeats) PullConfig(r *peer.PullConfigRequest) *peer.PullConfigResponse {
	raw, version := b.config.value()
	if version <= r.GetHaveRevision() {
		return &peer.PullConfigResponse{}
	}
	out := &peer.PullConfigResponse{Manifest: raw, Revision: version}
	for k, v := range b.endpoints.values() {
		out.Parts = append(out.Parts, &peer.ConfigPart{Hash: k, Body: v})
	}
	return out
}

// RevisionState returns the version of the configuration in force.
func (b *heartbeats) RevisionState() *peer.RevisionStateResponse {
	return &peer.RevisionStateResponse{Vm: string(b.self), Incarnation: string(b.incarnation), Revision: b.config.version()}
}

// runPulls fetches newer configurations from peers until ctx ends. A daemon normally gets
// them from the store; the peers serve a daemon whose calls the store rejects.
func (b *heartbeats) runPulls(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case vm := <-b.newerAt:
			b.pull(ctx, vm)
		}
	}
}

// pull fetches the configuration from a peer. It takes over the peer's registrations too
// while this daemon has not listed those of the store.
func (b *heartbeats) pull(ctx context.Context, vm lagoonhead.VMID) {
	address := b.address(vm)
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	res, err := b.pool.Queries(address).PullConfig(ctx, &peer.PullConfigRequest{HaveRevision: b.config.version()})
	if err != nil {
		b.log.Warn("cannot fetch the configuration from a peer", zap.String("peer", string(vm)), zap.Error(err))
		return
	}
	if len(res.GetManifest()) == 0 {
		return
	}
	b.config.apply(res.GetManifest(), "peer "+string(vm))
	if b.endpoints.listed.Load() {
		return
	}
	for _, p := range res.GetParts() {
		b.endpoints.addFromPeer(p.GetHash(), p.GetBody())
	}
	b.endpoints.notify()
}

// address returns the address of a peer's listener. If the VM is not listed, it returns that
// of the first seed, or an empty string if there is none: until the store has listed the
// peers, they are known only as seeds, with placeholders instead of VM identifiers.
func (b *heartbeats) address(vm lagoonhead.VMID) string {
	for _, v := range b.members.VMs() {
		if v.ID() == vm {
			return v.PeerAddress()
		}
	}
	for _, v := range b.members.seeds {
		return v.PeerAddress()
	}
	return ""
}
