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

// pullTimeout bounds a pull of the configuration from a peer.
const pullTimeout = 500 * time.Millisecond

// beats builds this daemon's heartbeat, takes those of peers, and fetches what a peer
// has newer.
type beats struct {
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
	// changes returns the engines that this daemon has change their role.
	changes func() map[lagoonhead.EndpointID]time.Duration
	// gap is the usual time between two words of one peer.
	gap func() time.Duration
	// behind has the VM of a peer with a newer configuration.
	behind chan lagoonhead.VMID
}

var (
	_ peer.HeartbeatSource = (*beats)(nil)
	_ peer.ConfigSource    = (*beats)(nil)
)

// Local returns this daemon's heartbeat.
func (b *beats) Local() *peer.Heartbeat {
	h := &peer.Heartbeat{
		Vm: string(b.self), Incarnation: string(b.incarnation), Revision: b.config.version(), Ready: b.ready() == nil,
		SlotsRevision: b.admit.SlotsRevision(), Suspects: b.suspects.Notices(),
	}
	for _, s := range b.admit.HeldSlots() {
		h.Slots = append(h.Slots, int32(s))
	}
	now := b.timer.Now()
	b.dispatcher.Board(func(board *steer.Board) {
		for _, w := range board.Own(now) {
			h.Work = append(h.Work, &peer.EndpointWork{
				Endpoint: string(w.Endpoint), PrefillTokens: int64(w.PrefillTokens), Running: int32(w.Running), PrefilledTotal: w.PrefilledTotal,
				RunTotal: w.RunTotal, Read: w.Read, Good: w.Good, Bad: w.Bad,
			})
		}
	})
	for id, until := range b.changes() {
		if until > now {
			h.Changes = append(h.Changes, &peer.Change{Endpoint: string(id), LeftMs: (until - now).Milliseconds()})
		}
	}
	for _, c := range b.tally.Told() {
		n := &peer.UsageCount{Window: c.Window, Workspace: string(c.Workspace), Requests: c.Requests}
		if c.Incarnation != b.incarnation {
			n.Incarnation = string(c.Incarnation)
		}
		h.UsageCounts = append(h.UsageCounts, n)
	}
	return h
}

// Told takes a heartbeat that came as a request.
func (b *beats) Told(h *peer.Heartbeat) { b.take(h) }

// answered takes a heartbeat that answers one of this daemon.
func (b *beats) answered(h *peer.Heartbeat, _ time.Duration) { b.take(h) }

func (b *beats) take(h *peer.Heartbeat) {
	vm := lagoonhead.VMID(h.GetVm())
	b.admit.HeardSlotsRevision(h.GetSlotsRevision())
	b.suspects.Merge(h.GetSuspects())
	works := make([]steer.Work, 0, len(h.GetWork()))
	for _, w := range h.GetWork() {
		works = append(works, steer.Work{
			Endpoint: lagoonhead.EndpointID(w.GetEndpoint()), PrefillTokens: int(w.GetPrefillTokens()), Running: int(w.GetRunning()),
			PrefilledTotal: w.GetPrefilledTotal(), RunTotal: w.GetRunTotal(), Read: w.GetRead(),
			Good: w.GetGood(), Bad: w.GetBad(),
		})
	}
	now := b.timer.Now()
	b.dispatcher.Board(func(board *steer.Board) {
		board.Gap = b.gap()
		board.Peer(now, vm, works)
		for _, c := range h.GetChanges() {
			board.Changing(lagoonhead.EndpointID(c.GetEndpoint()), now+time.Duration(c.GetLeftMs())*time.Millisecond)
		}
	})
	b.tally.Peer(lagoonhead.Incarnation(h.GetIncarnation()), counts(h))
	if h.GetRevision() > b.config.version() {
		select {
		case b.behind <- vm:
		default:
		}
	}
}

func counts(h *peer.Heartbeat) []billing.Count {
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

// PullConfig returns the configuration and the registrations that this daemon knows.
func (b *beats) PullConfig(r *peer.PullConfigRequest) *peer.PullConfigResponse {
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

// RevisionState returns the version in force.
func (b *beats) RevisionState() *peer.RevisionStateResponse {
	return &peer.RevisionStateResponse{Vm: string(b.self), Incarnation: string(b.incarnation), Revision: b.config.version()}
}

// runPulls fetches newer configurations from peers until ctx ends. The store tells of
// them as well; a peer is the way for a daemon that the store turns away.
func (b *beats) runPulls(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case vm := <-b.behind:
			b.pull(ctx, vm)
		}
	}
}

func (b *beats) pull(ctx context.Context, vm lagoonhead.VMID) {
	address := b.address(vm)
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	res, err := b.pool.Queries(address).PullConfig(ctx, &peer.PullConfigRequest{HaveRevision: b.config.version()})
	if err != nil {
		b.log.Warn("configuration not pulled", zap.String("peer", string(vm)), zap.Error(err))
		return
	}
	if len(res.GetManifest()) == 0 {
		return
	}
	b.config.take(res.GetManifest(), "peer "+string(vm))
	if b.endpoints.listed.Load() {
		return
	}
	for _, p := range res.GetParts() {
		b.endpoints.seed(p.GetHash(), p.GetBody())
	}
	b.endpoints.show()
}

// address returns where a peer listens. A peer that answered a seed has the seed's
// name until the store has told its own.
func (b *beats) address(vm lagoonhead.VMID) string {
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
