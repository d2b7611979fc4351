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

// observedStore tells the roster when the store answers and when it does not. A watch
// that waits notices an outage late or never; the renewals of the lease notice it.
type observedStore struct {
	lagoonhead.Store
	timer  timer.Timer
	roster *roster.Roster
}

// RenewLease extends the lease.
func (s *observedStore) RenewLease(ctx context.Context, id lagoonhead.LeaseID) error {
	asked := s.timer.Now()
	err := s.Store.RenewLease(ctx, id)
	if err == nil || lagoonhead.IsKind(err, lagoonhead.KindNotFound) {
		s.roster.Contact(asked)
	} else {
		s.roster.Lost()
	}
	return err
}

// presenceInterval is how often the daemon looks whether its presence must be written.
const presenceInterval = 250 * time.Millisecond

// keepPresence writes the entry by which peers find this daemon, under each lease anew.
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
			d.Log.Warn("presence not written", zap.Error(err))
			return
		}
		written = id
	})
	return nil
}

// quotas shows the limits of the catalogue to the admission. It has nothing else of a
// directory.
type quotas struct{ config *configuration }

// Directory returns the limits in force, or nil before the first configuration.
func (q quotas) Directory() lagoonhead.Directory {
	c := q.config.Catalog()
	if c == nil {
		return nil
	}
	return quotaDirectory{quota: c.Quota, revision: c.Version()}
}

type quotaDirectory struct {
	lagoonhead.Directory
	quota    func(lagoonhead.WorkspaceID) (lagoonhead.Quota, bool)
	revision int64
}

// Revision returns the version of the configuration.
func (q quotaDirectory) Revision() int64 { return q.revision }

// Quota returns the limits of a workspace.
func (q quotaDirectory) Quota(w lagoonhead.WorkspaceID) (lagoonhead.Quota, bool) { return q.quota(w) }

// gate lets work begin once a configuration is known. The store acknowledges a
// configuration before any daemon has it, so no daemon has to wait for the others.
type gate struct{ config *configuration }

// Fresh returns an error of KindUnavailable before the first configuration.
func (g gate) Fresh() error {
	if g.config.Catalog() == nil {
		return failf("fresh", lagoonhead.KindUnavailable, "there is no configuration yet")
	}
	return nil
}

// listed gives the list of VMs to the limits, which must not rely on the seeds.
type listed struct{ members *members }

// VMs returns the list, or KindUnavailable before the store has told it.
func (l listed) VMs(context.Context) ([]lagoonhead.VM, error) {
	if l.members.list.Load() == nil {
		return nil, failf("vms", lagoonhead.KindUnavailable, "the VMs are not known yet")
	}
	return l.members.VMs(), nil
}

// lenders are the peers that may lend tokens.
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

// noCopies refuses copies of usage totals, which this daemon does not keep.
type noCopies struct{}

// HandUsage does nothing.
func (noCopies) HandUsage(context.Context, *peer.HandUsageRequest) (*peer.HandUsageResponse, error) {
	return &peer.HandUsageResponse{}, nil
}
