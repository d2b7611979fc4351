package daemon

import (
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/operator"
)

// statusSource answers the operators' status query.
type statusSource struct{ b *builder }

// Status returns the state of this daemon, its peers, the endpoints, the duties that it
// holds and the workspaces.
func (s statusSource) Status() *operator.StatusResponse {
	b := s.b
	_, revision := b.config.Inventory()
	out := &operator.StatusResponse{
		Vm: string(b.settings.VM.ID), Incarnation: string(b.incarnation), Ready: true, Revision: revision,
		Peers: s.peers(), Endpoints: s.endpoints(), Duties: s.duties(), Workspaces: s.workspaces(),
	}
	if err := b.config.Fresh(); err != nil {
		out.Ready = false
		out.ReadyReason = err.Error()
	}
	return out
}

func (s statusSource) peers() []*operator.PeerStatus {
	var list []*operator.PeerStatus
	for _, h := range s.b.config.RecentPeers() {
		list = append(list, &operator.PeerStatus{
			Vm: string(h.VM), HeardAgeMs: int64(h.Age / time.Millisecond), Revision: h.Revision,
		})
	}
	return list
}

// The states of endpoints in the status. An avoided endpoint gets no requests for some
// time because of failures.
const (
	stateInService = "inService"
	stateLeaving   = "leaving"
	stateAvoided   = "avoided"
)

func (s statusSource) endpoints() []*operator.EndpointStatus {
	avoided := make(map[lagoonhead.EndpointID]bool)
	now := s.b.timer.Now()
	for _, e := range s.b.placer.States() {
		avoided[e.Endpoint.ID()] = e.Failures > 0 && now < e.RetryAt
	}
	d := s.b.config.CompiledDirectory()
	if d == nil {
		return nil
	}
	all := engines(s.b.config)
	for _, name := range d.Services() {
		all = append(all, d.Endpoints(lagoonhead.EndpointKindService, name)...)
	}
	var list []*operator.EndpointStatus
	for _, e := range all {
		state := stateInService
		switch {
		case e.Leaving():
			state = stateLeaving
		case avoided[e.ID()]:
			state = stateAvoided
		}
		list = append(list, &operator.EndpointStatus{
			Endpoint: string(e.ID()), FailureDomain: string(e.FailureDomain()), Serves: e.Serves(),
			Role: string(e.Role()), State: state, InFlight: int32(s.b.caller.InFlight(e.ID())),
		})
	}
	return list
}

func (s statusSource) duties() []*operator.DutyStatus {
	var list []*operator.DutyStatus
	for _, d := range s.b.keeper.Duties {
		if t := s.b.keeper.Tenure(d); t != nil {
			list = append(list, &operator.DutyStatus{Duty: d.String(), Holder: string(s.b.settings.VM.ID), Epoch: t.Epoch()})
		}
	}
	return list
}

func (s statusSource) workspaces() []*operator.WorkspaceStatus {
	var list []*operator.WorkspaceStatus
	for _, w := range s.b.admit.Statuses() {
		list = append(list, &operator.WorkspaceStatus{
			Workspace: string(w.Workspace), Tokens: w.Tokens, Rate: int64(w.Quota.Rate), Burst: w.Quota.Burst,
			Refused: w.Refused, WronglyRefused: w.WronglyRefused,
		})
	}
	return list
}
