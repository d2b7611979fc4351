package entry

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/admit"
	"github.com/lagoonhead/lagoonhead/peer"
	"github.com/lagoonhead/lagoonhead/roster"
	"github.com/lagoonhead/lagoonhead/timer"
)

// observedStore reports to the roster whether the store is reachable, as seen by the
// renewals of the lease. A watch that waits notices an outage late or never.
type observedStore struct {
	lagoonhead.Store
	timer  timer.Timer
	roster *roster.Roster
}

// RenewLease extends the lease and reports to the roster whether the store responded.
func (s *observedStore) RenewLease(ctx context.Context, id lagoonhead.LeaseID) error {
	sentAt := s.timer.Now()
	err := s.Store.RenewLease(ctx, id)
	if err == nil || lagoonhead.IsKind(err, lagoonhead.KindNotFound) {
		s.roster.Synced(sentAt)
	} else {
		s.roster.StoreLost()
	}
	return err
}

// presenceInterval is the time between checks whether the presence entry must be written
// again because the lease has changed.
const presenceInterval = 250 * time.Millisecond

// keepPresence writes the entry by which peers find this daemon, and rewrites it under
// each new lease.
func (d *Daemon) keepPresence(ctx context.Context) error {
	value, err := json.Marshal(presence{d.Settings.FailureDomain, d.Settings.Listen.Peers, d.incarnation})
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

// listedVMs gives admission the list of VMs from the store. It never returns the seeds,
// on which the limits must not rely.
type listedVMs struct{ members *members }

// VMs returns the list, or an error of KindUnavailable before the store has been read.
func (l listedVMs) VMs(context.Context) ([]lagoonhead.VM, error) {
	if l.members.list.Load() == nil {
		return nil, failf("vms", lagoonhead.KindUnavailable, "the VMs are not known yet")
	}
	return l.members.VMs(), nil
}

// lenders lists the peers that may lend tokens of a workspace's quota.
type lenders struct {
	members *members
	pool    *peer.Pool
	self    lagoonhead.VMID
}

// Lenders returns all other daemons.
func (l lenders) Lenders() []admit.Lender {
	var list []admit.Lender
	for _, v := range l.members.VMs() {
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
