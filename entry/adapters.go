package entry

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/admit"
	"github.com/lagoonhead/lagoonhead/mirror"
	"github.com/lagoonhead/lagoonhead/peer"
	"github.com/lagoonhead/lagoonhead/timer"
)

// observedStore reports to the copy whether the store is reachable, as seen by the renewals
// of a lease. A watch that waits notices an outage late or never.
type observedStore struct {
	lagoonhead.Store
	timer  timer.Timer
	copy   *mirror.Copy
	prefix string // of the endpoints' registrations
	// idle reports that a hub tells whether the store is reachable.
	idle func() bool
}

// RenewLease extends the lease and reports to the copy whether the store responded.
func (s *observedStore) RenewLease(ctx context.Context, id lagoonhead.LeaseID) error {
	sentAt := s.timer.Now()
	err := s.Store.RenewLease(ctx, id)
	switch {
	case s.idle():
	case err == nil || lagoonhead.IsKind(err, lagoonhead.KindNotFound):
		s.copy.Reached(s.prefix, sentAt)
	default:
		s.copy.Failed(s.prefix, s.timer.Now(), err)
	}
	return err
}

// maxCopyAge is the age up to which the copy of the fleet's keys replaces a read of the store.
// A write that is based on an old entry conflicts, so that age costs time only.
const maxCopyAge = 5 * time.Second

// copiedStore reads the fleet's keys from this daemon's copy of the store. After a write that
// failed the key is read from the store, which shows whether the write took effect.
type copiedStore struct {
	lagoonhead.Store
	timer timer.Timer
	copy  *mirror.Copy

	mu sync.Mutex
	// direct holds the keys that must be read from the store.
	direct map[string]bool
}

// Get returns the entry of a key, or KindNotFound.
func (s *copiedStore) Get(ctx context.Context, key string) (lagoonhead.Entry, error) {
	if s.isCopied(key) {
		if e, ok := s.copy.Get(key); ok {
			return e, nil
		}
		return lagoonhead.Entry{}, failf("get", lagoonhead.KindNotFound, "key %s does not exist", key)
	}
	e, err := s.Store.Get(ctx, key)
	if err == nil {
		s.copy.Written(e)
	}
	if err == nil || lagoonhead.IsKind(err, lagoonhead.KindNotFound) {
		s.setDirect(key, false)
	}
	return e, err
}

// isCopied reports whether the copy of a key may be used.
func (s *copiedStore) isCopied(key string) bool {
	if !strings.HasPrefix(key, fleetPrefix) {
		return false
	}
	s.mu.Lock()
	direct := s.direct[key]
	s.mu.Unlock()
	age, ok := s.copy.Age(s.timer.Now(), fleetPrefix)
	return !direct && ok && age <= maxCopyAge
}

// Put writes a key.
func (s *copiedStore) Put(ctx context.Context, r lagoonhead.PutRequest) (int64, error) {
	revision, err := s.Store.Put(ctx, r)
	if err != nil {
		s.setDirect(r.Key, true)
		return revision, err
	}
	s.copy.Written(lagoonhead.Entry{Key: r.Key, Value: r.Value, Revision: revision, Lease: r.Lease})
	return revision, nil
}

func (s *copiedStore) setDirect(key string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.direct == nil {
		s.direct = make(map[string]bool)
	}
	if on {
		s.direct[key] = true
	} else {
		delete(s.direct, key)
	}
}

// presenceInterval is the time between checks whether the presence entry must be written
// again because the lease has changed.
const presenceInterval = 250 * time.Millisecond

// keepPresence writes the entry by which peers find this daemon, and rewrites it under
// each new lease.
func (d *Daemon) keepPresence(ctx context.Context) error {
	value, err := json.Marshal(presence{d.Settings.FailureDomain, d.Settings.Listen.Peers, d.incarnation, d.Settings.Cores})
	if err != nil {
		return &Error{lagoonhead.Fault{Op: "entry.presence", Kind: lagoonhead.KindInternal, Err: err}}
	}
	var written lagoonhead.LeaseID
	timer.Every(ctx, d.Timer, presenceInterval, func(time.Duration) {
		id, valid := d.session.Lease()
		if !valid || id == written {
			return
		}
		_, err := d.store.Put(ctx, lagoonhead.PutRequest{
			Key: memberPrefix + string(d.Settings.VM), Value: value, IfRevision: lagoonhead.AnyRevision, Lease: id,
		})
		if err != nil {
			d.Log.Warn("cannot write the presence entry", zap.Error(err))
			return
		}
		written = id
	})
	return nil
}

// quotaSource is the source of the directory that admission reads. Its directory has only
// the revision and the quotas of the catalogue.
type quotaSource struct{ config *configuration }

// Directory returns the quotas in force, or nil before the first configuration.
func (q quotaSource) Directory() lagoonhead.Directory {
	c := q.config.Catalog()
	if c == nil {
		return nil
	}
	return quotaDirectory{quota: c.Quota, revision: c.Version()}
}

// quotaDirectory implements Revision and Quota; the other methods of the embedded nil
// Directory must not be called.
type quotaDirectory struct {
	lagoonhead.Directory
	quota    func(lagoonhead.WorkspaceID) (lagoonhead.Quota, bool)
	revision int64
}

// Revision returns the version of the configuration.
func (q quotaDirectory) Revision() int64 { return q.revision }

// Quota returns the rate and burst of a workspace.
func (q quotaDirectory) Quota(w lagoonhead.WorkspaceID) (lagoonhead.Quota, bool) { return q.quota(w) }

// gate admits requests once a configuration is known. The store acknowledges a
// configuration before any daemon has it, so no daemon has to wait until the others have
// it too.
type gate struct{ config *configuration }

// Fresh returns an error of KindUnavailable before the first configuration.
func (g gate) Fresh() error {
	if g.config.Catalog() == nil {
		return failf("fresh", lagoonhead.KindUnavailable, "there is no configuration yet")
	}
	return nil
}

// slotVMs gives admission the VMs that may hold slots of the limits: the hubs, which hear of
// each other first. It never returns the seeds, on which the limits must not rely.
type slotVMs struct{ members *members }

// VMs returns the list, or an error of KindUnavailable before the VMs are known.
func (l slotVMs) VMs(context.Context) ([]lagoonhead.VM, error) {
	if l.members.layout() == nil {
		return nil, failf("vms", lagoonhead.KindUnavailable, "the VMs are not known yet")
	}
	return l.members.Hubs(), nil
}

// lenders lists the peers that may lend tokens of a workspace's quota.
type lenders struct {
	members *members
	pool    *peer.Pool
	self    lagoonhead.VMID
}

// Lenders returns the daemons that may hold slots.
func (l lenders) Lenders() []admit.Lender {
	var list []admit.Lender
	for _, v := range l.members.Hubs() {
		if v.ID() != l.self {
			list = append(list, admit.Lender{VM: v.ID(), Commands: l.pool.Commands(v.PeerAddress())})
		}
	}
	return list
}

// noUsageCopies discards copies of the usage totals of peers, which this daemon does not
// keep.
type noUsageCopies struct{}

// HandUsage does nothing.
func (noUsageCopies) HandUsage(context.Context, *peer.HandUsageRequest) (*peer.HandUsageResponse, error) {
	return &peer.HandUsageResponse{}, nil
}

// noConfiguration answers calls for the configuration, which peers get with the copy of the
// store instead.
type noConfiguration struct{}

// PullConfig returns nothing.
func (noConfiguration) PullConfig(*peer.PullConfigRequest) *peer.PullConfigResponse {
	return &peer.PullConfigResponse{}
}

// RevisionState returns no revision.
func (noConfiguration) RevisionState() *peer.RevisionStateResponse {
	return &peer.RevisionStateResponse{}
}
