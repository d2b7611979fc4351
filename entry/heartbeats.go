package entry

import (
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/admit"
	"github.com/lagoonhead/lagoonhead/billing"
	"github.com/lagoonhead/lagoonhead/dispatch"
	"github.com/lagoonhead/lagoonhead/mirror"
	"github.com/lagoonhead/lagoonhead/peer"
	"github.com/lagoonhead/lagoonhead/steer"
	"github.com/lagoonhead/lagoonhead/suspect"
	"github.com/lagoonhead/lagoonhead/timer"
)

// heartbeats builds this daemon's heartbeats and processes those of peers.
type heartbeats struct {
	self        lagoonhead.VMID
	incarnation lagoonhead.Incarnation
	timer       timer.Timer
	log         *zap.Logger
	config      *configuration
	endpoints   *endpoints
	copy        *mirror.Copy
	members     *members
	attachment  *attachment
	admit       *admit.Runner
	suspects    *suspect.Table
	parts       *suspect.Parts
	dispatcher  *dispatch.Dispatcher
	tally       *billing.Tally
	ready       func() error
	roleChanges *roleChanges
	// peerInterval returns the expected time between two heartbeats of one peer.
	peerInterval func() time.Duration
	codec        updateCodec
}

var (
	_ peer.HeartbeatSource = (*heartbeats)(nil)
	_ peer.UsageCounter    = (*heartbeats)(nil)
)

// Heartbeat returns a heartbeat to send to a peer as a request. It asks for what this
// daemon's copy of the store lacks.
func (b *heartbeats) Heartbeat(to lagoonhead.VMID) *peer.Heartbeat {
	h := b.heartbeat(steer.Recipient{VM: to, Hub: true, OwnOnly: !b.members.isHub()})
	if p := b.copy.Position(b.timer.Now()); b.attachment.needsUpdates(p) {
		h.CopyPosition = encodePosition(p)
	}
	return h
}

// Answer processes a heartbeat that a peer sent as a request and returns the response.
func (b *heartbeats) Answer(request *peer.Heartbeat) *peer.Heartbeat {
	b.merge(request)
	h := b.heartbeat(steer.Recipient{VM: lagoonhead.VMID(request.GetVm()), Hub: request.GetHub(), OwnOnly: !b.members.isHub()})
	if p := request.GetCopyPosition(); p != nil {
		h.CopyUpdate = b.codec.encode(b.copy.UpdateFor(b.timer.Now(), decodePosition(p)))
	}
	return h
}

// answered processes the heartbeat with which a peer answered one that this daemon sent at
// the given time since boot.
func (b *heartbeats) answered(h *peer.Heartbeat, sent time.Duration) {
	b.merge(h)
	u := h.GetCopyUpdate()
	if u == nil {
		return
	}
	update, err := decodeUpdate(u)
	if err != nil {
		b.log.Warn("update of a peer cannot be decoded", zap.String("peer", h.GetVm()), zap.Error(err))
		return
	}
	b.copy.Merge(update, sent, maxUpdateAge)
	b.attachment.merged(lagoonhead.VMID(h.GetVm()), update, sent)
}

// heartbeat returns a heartbeat for a peer.
func (b *heartbeats) heartbeat(to steer.Recipient) *peer.Heartbeat {
	h := &peer.Heartbeat{
		Vm: string(b.self), Incarnation: string(b.incarnation), Revision: b.config.version(), Ready: b.ready() == nil,
		Suspects: b.suspects.Notices(), Parts: b.parts.Notices(), Departures: b.endpoints.departures(), Hub: b.members.isHub(),
	}
	for _, s := range b.admit.SlotsInUse() {
		h.Slots = append(h.Slots, int32(s))
	}
	now := b.timer.Now()
	b.dispatcher.WithBoard(func(board *steer.Board) {
		for _, w := range board.Report(now, to) {
			n := &peer.EndpointWork{
				Endpoint: string(w.Endpoint), PrefillTokens: int64(w.PrefillTokens), Running: int32(w.Running), PrefilledTotal: w.PrefillTotal,
				RunTotal: w.RunTotal, Read: w.RecentParts, Good: w.Good, Bad: w.Bad, LimitPerSecond: w.Limit,
				ForecastUs: w.Forecast.Microseconds(), TookUs: w.Took.Microseconds(), AgeMs: w.Age.Milliseconds(), Refused: w.Refused,
			}
			if w.HasLimit {
				n.LimitAgeMs = proto.Int64(w.LimitAge.Milliseconds())
			}
			h.Work = append(h.Work, n)
		}
	})
	for id, until := range b.roleChanges.announced(now, to.Hub) {
		h.Changes = append(h.Changes, &peer.Change{Endpoint: string(id), LeftMs: (until - now).Milliseconds()})
	}
	h.UsageCounts = b.usageCounts(to)
	return h
}

// usageCounts returns the counts for a heartbeat to a peer. In a large fleet only a hub gets
// them, and the holder of the duty fetches them from the hubs.
func (b *heartbeats) usageCounts(to steer.Recipient) []*peer.UsageCount {
	switch {
	case b.members.isFlat():
		return encodeCounts(b.tally.CountsToSend(), b.incarnation)
	case to.Hub:
		return encodeCounts(b.tally.OwnCounts(), b.incarnation)
	default:
		return nil
	}
}

// UsageCounts returns the counts of all processes that this daemon has.
func (b *heartbeats) UsageCounts(r *peer.UsageCountsRequest) *peer.UsageCountsResponse {
	return &peer.UsageCountsResponse{Counts: encodeCounts(b.tally.Counts(r.GetOldestWindow()), "")}
}

// merge updates the state of this daemon with a peer's heartbeat.
func (b *heartbeats) merge(h *peer.Heartbeat) {
	vm := lagoonhead.VMID(h.GetVm())
	b.suspects.Merge(h.GetSuspects())
	b.parts.Merge(h.GetParts())
	b.endpoints.mergeDepartures(vm, h.GetDepartures())
	works := make([]steer.Work, 0, len(h.GetWork()))
	for _, w := range h.GetWork() {
		works = append(works, steer.Work{
			Endpoint: lagoonhead.EndpointID(w.GetEndpoint()), PrefillTokens: int(w.GetPrefillTokens()), Running: int(w.GetRunning()),
			PrefillTotal: w.GetPrefilledTotal(), RunTotal: w.GetRunTotal(), RecentParts: w.GetRead(),
			Good: w.GetGood(), Bad: w.GetBad(), Limit: w.GetLimitPerSecond(), HasLimit: w.LimitAgeMs != nil,
			LimitAge: time.Duration(w.GetLimitAgeMs()) * time.Millisecond,
			Forecast: time.Duration(w.GetForecastUs()) * time.Microsecond, Took: time.Duration(w.GetTookUs()) * time.Microsecond,
			Age: time.Duration(w.GetAgeMs()) * time.Millisecond, Refused: w.GetRefused(),
		})
	}
	now := b.timer.Now()
	b.dispatcher.WithBoard(func(board *steer.Board) {
		board.PeerInterval, board.Spread = b.peerInterval(), !b.members.isFlat()
		board.SetPeerWork(now, vm, h.GetHub(), works)
		for _, c := range h.GetChanges() {
			until := now + time.Duration(c.GetLeftMs())*time.Millisecond
			board.SetChanging(lagoonhead.EndpointID(c.GetEndpoint()), until)
			b.roleChanges.heard(now, lagoonhead.EndpointID(c.GetEndpoint()), until)
		}
	})
	in := lagoonhead.Incarnation(h.GetIncarnation())
	b.tally.MergePeer(in, decodeCounts(h.GetUsageCounts(), in))
}
