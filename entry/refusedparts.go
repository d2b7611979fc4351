package entry

import (
	"context"
	"maps"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/lease"
	"github.com/lagoonhead/lagoonhead/peer"
	"github.com/lagoonhead/lagoonhead/suspect"
	"github.com/lagoonhead/lagoonhead/timer"
)

const (
	// refusedPartsKey holds the prompt parts that are refused. Daemons tell each other of
	// them; the key is for those that start when no other is left.
	refusedPartsKey = fleetPrefix + "refusedParts"
	// refusedPartsInterval is the time between checks whether the key is up to date.
	refusedPartsInterval = 500 * time.Millisecond
	// refusedPartsWriters is the number of daemons that write the key. A second one stands
	// in for the first.
	refusedPartsWriters = 2
)

// refusedParts keeps the refused prompt parts in the store.
type refusedParts struct {
	parts *suspect.Parts
	store lagoonhead.Store
	timer timer.Timer
	log   *zap.Logger
	// writes reports whether this daemon writes the key.
	writes func() bool

	mu sync.Mutex
	// stored holds the parts under the key, as it was read or written last.
	stored map[uint64]bool
}

func (r *refusedParts) run(ctx context.Context) error {
	timer.Every(ctx, r.timer, refusedPartsInterval, func(time.Duration) {
		if err := r.write(ctx); err != nil {
			r.log.Warn("cannot store the refused prompt parts", zap.Error(err))
		}
	})
	return nil
}

// write writes the key if other parts are refused than it holds.
func (r *refusedParts) write(ctx context.Context) error {
	list := &peer.RefusedParts{WrittenMs: r.timer.Wall().UnixMilli(), Parts: r.parts.Refused()}
	if !r.writes() || r.isStored(list) {
		return nil
	}
	value, err := protojson.Marshal(list)
	if err != nil {
		return &Error{lagoonhead.Fault{Op: "entry.refusedParts", Kind: lagoonhead.KindInternal, Err: err}}
	}
	old, err := r.store.Get(ctx, refusedPartsKey)
	if err != nil && !lagoonhead.IsKind(err, lagoonhead.KindNotFound) {
		return err
	}
	_, err = r.store.Put(ctx, lagoonhead.PutRequest{Key: refusedPartsKey, Value: value, IfRevision: old.Revision})
	return err
}

func (r *refusedParts) isStored(list *peer.RefusedParts) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Equal(r.stored, partSet(list))
}

// read merges the value of the key.
func (r *refusedParts) read(value []byte) {
	var list peer.RefusedParts
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(value, &list); err != nil {
		r.log.Error("cannot decode the refused prompt parts", zap.Error(err))
		return
	}
	age := max(0, r.timer.Wall().UnixMilli()-list.GetWrittenMs())
	for _, n := range list.GetParts() {
		for _, c := range n.GetCrashes() {
			c.AgeMs += age
		}
		if n.GetFinishedAgeMs() >= 0 {
			n.FinishedAgeMs += age
		}
	}
	r.mu.Lock()
	r.stored = partSet(&list)
	r.mu.Unlock()
	r.parts.Merge(list.GetParts())
}

// lost records that the key is gone: the store came back from a copy that does not have it.
func (r *refusedParts) lost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stored = nil
}

func partSet(list *peer.RefusedParts) map[uint64]bool {
	set := make(map[uint64]bool)
	for _, n := range list.GetParts() {
		set[n.GetPart()] = true
	}
	return set
}

// storesRefusedParts reports whether this daemon writes the refused parts to the store.
func (d *Daemon) storesRefusedParts() bool {
	return !d.leaving.Load() && lease.IsCandidate(d.members.Hubs(), d.Settings.VM, refusedPartsKey, refusedPartsWriters)
}

// probesPart reports whether this daemon is the one that tries a refused part early.
func (d *Daemon) probesPart(part uint64) bool {
	return lease.IsCandidate(d.members.Hubs(), d.Settings.VM, "probe/"+strconv.FormatUint(part, 16), 1)
}
