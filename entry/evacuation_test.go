package entry

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/catalog"
	"github.com/lagoonhead/lagoonhead/plan"
	"github.com/lagoonhead/lagoonhead/steer"
	"github.com/lagoonhead/lagoonhead/timer"
)

const evacuationOfB = "operator/evacuate/b"

// evacuatedVM is a daemon without a network that knows an endpoint in each of the failure domains a
// and b. It reads the store by its copy.
type evacuatedVM struct {
	*Daemon
	t     *testing.T
	clock *timer.Manual
}

func newEvacuatedVM(t *testing.T) evacuatedVM {
	clock := timer.NewManual(time.Hour, time.Unix(0, 0))
	d := &Daemon{
		Settings: Settings{VM: "vm-1", DutyReturnTime: time.Second, UsageWindow: time.Second, Regions: map[lagoonhead.FailureDomain]string{"b": "north"}},
		Platform: Platform{
			ConfigurationKey: "operator/config", EndpointPrefix: "endpoints/", OperatorPrefix: "operator/", EvacuationPrefix: "operator/evacuate/",
			DecodeConfiguration: func([]byte) (*catalog.Catalog, error) {
				return catalog.New(catalog.Spec{Version: 1, Services: []catalog.Service{{Name: "s", ColdStart: 3 * time.Second, ColdPerSecond: 19}}}), nil
			},
			DecodeRegistration: func(key string, value []byte) (lagoonhead.Endpoint, error) {
				cold, err := time.ParseDuration(string(value))
				id := key[len("endpoints/"):]
				return lagoonhead.NewEndpoint(lagoonhead.EndpointID(id), lagoonhead.EndpointKindService, "s", "a:1", lagoonhead.FailureDomain(id[:1])).
					WithIncarnation(lagoonhead.Incarnation(id)).WithColdFor(cold), err
			},
		},
		Timer: clock, Log: zap.NewNop(),
	}
	d.buildState()
	d.buildWork()
	v := evacuatedVM{d, t, clock}
	v.endpoints.Synced(clock.Now())
	v.list("endpoints/", 1, lagoonhead.Entry{Key: "endpoints/a", Value: []byte("0s")}, lagoonhead.Entry{Key: "endpoints/b", Value: []byte("0s")})
	return v
}

// list gives the VM a list of a prefix. Entries without a revision have that of the list.
func (v evacuatedVM) list(prefix string, revision int64, entries ...lagoonhead.Entry) {
	for i := range entries {
		if entries[i].Revision == 0 {
			entries[i].Revision = revision
		}
	}
	v.copy.Listed(prefix, entries, revision, v.clock.Now())
}

// watch gives the VM an event of a watch.
func (v evacuatedVM) watch(key string, revision int64, deleted bool) {
	e := lagoonhead.Event{Entry: lagoonhead.Entry{Key: key, Revision: revision}, Deleted: deleted}
	v.copy.Watched("operator/", []lagoonhead.Event{e}, revision, v.clock.Now())
}

// used returns the endpoints that get requests.
func (v evacuatedVM) used(r lagoonhead.RegionSet) (a, b bool) {
	v.dispatcher.WithBoard(func(board *steer.Board) {
		for range 10 {
			if e, ok := board.PickRun(v.clock.Now(), steer.RunRequest{Service: "s", Regions: r}); ok {
				a, b = a || e.ID() == "a", b || e.ID() == "b"
			}
		}
	})
	return a, b
}

// requireEvacuated checks whether the failure domains a and b get no requests.
func (v evacuatedVM) requireEvacuated(a, b bool, why string) {
	v.t.Helper()
	usedA, usedB := v.used(lagoonhead.RegionSet{})
	require.Equal(v.t, []bool{!a, !b}, []bool{usedA, usedB}, why)
}

// Guards against requests to an evacuated failure domain: after the acknowledgement, a withdrawal and
// another evacuation, in an outage of the store, after a restore from a copy, and at the last
// endpoint of a service. Guards against a failure domain that stays out of use.
func TestEvacuations(t *testing.T) {
	v := newEvacuatedVM(t)
	v.list("operator/", 1, lagoonhead.Entry{Key: "operator/config"})
	v.requireEvacuated(false, false, "none is asked for")
	v.watch(evacuationOfB, 2, false)
	v.requireEvacuated(false, true, "acknowledged")
	v.watch(evacuationOfB, 3, true)
	v.requireEvacuated(false, false, "withdrawn")
	v.watch(evacuationOfB, 4, false)
	v.watch(evacuationOfB, 4, false)
	v.requireEvacuated(false, true, "once more")
	v.watch("operator/other", 5, false)
	v.watch("operator/evacuate/", 6, false)
	v.watch("operator/evacuate/c", 7, false)
	v.requireEvacuated(false, true, "other keys change nothing")

	v.copy.Failed("operator/", v.clock.Now(), errors.New("outage"))
	v.clock.Advance(time.Hour)
	v.requireEvacuated(false, true, "the store is away")
	v.list("operator/", 9, lagoonhead.Entry{Key: "operator/config", Revision: 1})
	v.requireEvacuated(false, false, "withdrawn during the outage")
	v.list("operator/", 10, lagoonhead.Entry{Key: "operator/config", Revision: 1}, lagoonhead.Entry{Key: evacuationOfB})
	v.requireEvacuated(false, true, "made during the outage")

	v.list("operator/", lagoonhead.NewRevision(1, 8), lagoonhead.Entry{Key: "operator/config", Revision: lagoonhead.NewRevision(1, 1)})
	v.requireEvacuated(false, false, "the copy of the store is from before the evacuation")
	old := lagoonhead.Entry{Key: evacuationOfB, Revision: lagoonhead.NewRevision(2, 4)}
	v.list("operator/", lagoonhead.NewRevision(2, 5), lagoonhead.Entry{Key: "operator/config", Revision: lagoonhead.NewRevision(2, 1)}, old)
	v.requireEvacuated(false, true, "the copy of the store is from before the withdrawal")

	v.watch("operator/evacuate/a", lagoonhead.NewRevision(2, 6), false)
	v.requireEvacuated(true, true, "a service may be left with no endpoint")
	v.list("endpoints/", 2, lagoonhead.Entry{Key: "endpoints/b2", Value: []byte("0s")})
	v.requireEvacuated(true, true, "an endpoint that registers there gets nothing")
	require.Equal(t, int64(4), v.evacuations.ended.Value(), "of b three times and of c once")
}

// Guards against a daemon that starts and sends to an evacuated failure domain before it knows of the
// evacuation, with the store or with a peer in an outage, and against one that is never ready.
func TestADaemonThatStartsKnowsOfEvacuations(t *testing.T) {
	v := newEvacuatedVM(t)
	changed := v.config.changed
	v.config.changed = func() {
		require.True(t, v.evacuations.current()["b"], "the configuration is in force before the evacuation")
		changed()
	}
	require.Error(t, v.ready())
	v.list("operator/", 2, lagoonhead.Entry{Key: "operator/config"}, lagoonhead.Entry{Key: evacuationOfB})
	require.NoError(t, v.ready())
	v.requireEvacuated(false, true, "from the store")

	v.copy.Failed("operator/", v.clock.Now(), errors.New("outage"))
	v.clock.Advance(time.Hour)
	next := newEvacuatedVM(t)
	update := v.copy.UpdateFor(v.clock.Now(), next.copy.Position(next.clock.Now()))
	next.copy.Merge(update, next.clock.Now(), maxUpdateAge)
	require.NoError(t, next.ready())
	next.requireEvacuated(false, true, "from a peer, although its copy is old")
	next.list("operator/", 3, lagoonhead.Entry{Key: "operator/config", Revision: 2})
	next.requireEvacuated(false, false, "the store is back")
}

// Guards against endpoints that count as cold because this VM has just started or the store was
// restored, against one that
// registers anew and does not, against a region that is not taken from the settings, and against
// engines ordered where nothing may run.
func TestEndpointsAreColdAsRegistered(t *testing.T) {
	v := newEvacuatedVM(t)
	v.list("operator/", 1, lagoonhead.Entry{Key: "operator/config"})
	cold := func() (n int) {
		v.dispatcher.WithBoard(func(b *steer.Board) { n = b.ColdCounts(v.clock.Now()).Cold })
		return n
	}
	require.Zero(t, cold())
	_, b := v.used(lagoonhead.LimitRegions([]string{"north"}))
	require.True(t, b)
	a, _ := v.used(lagoonhead.LimitRegions([]string{"north"}))
	require.False(t, a, "its failure domain is in no region")

	v.list("endpoints/", 2, lagoonhead.Entry{Key: "endpoints/a", Value: []byte("0s"), Revision: 1}, lagoonhead.Entry{Key: "endpoints/b", Value: []byte("2s")},
		lagoonhead.Entry{Key: "endpoints/c", Value: []byte("0s")})
	require.Equal(t, 2, cold(), "b is cold again and c is new")
	v.clock.Advance(2 * time.Second)
	require.Equal(t, 1, cold())
	v.clock.Advance(time.Second)
	require.Zero(t, cold())
	restored := func(era int64, value string) {
		r := lagoonhead.NewRevision(era, 1)
		v.list("endpoints/", r, lagoonhead.Entry{Key: "endpoints/a", Value: []byte("0s")}, lagoonhead.Entry{Key: "endpoints/b", Value: []byte(value)},
			lagoonhead.Entry{Key: "endpoints/c", Value: []byte("0s")})
	}
	restored(1, "2s")
	require.Zero(t, cold(), "the entry of the restored copy was written long ago")
	restored(2, "1s")
	require.Equal(t, 1, cold(), "it was written anew")
	v.clock.Advance(time.Second)

	engines := []lagoonhead.Endpoint{
		lagoonhead.NewEndpoint("a1", lagoonhead.EndpointKindEngine, "m", "a:1", "a").WithRole(lagoonhead.RoleDecode),
		lagoonhead.NewEndpoint("b1", lagoonhead.EndpointKindEngine, "m", "b:1", "b").WithRole(lagoonhead.RoleDecode),
	}
	service := &catalog.Service{
		Name: "m", Engine: &catalog.EngineTraits{Slots: 8, RoleChangeTime: time.Second},
		Scaling: &catalog.Scaling{Min: 1, Max: 9, DomainPrices: map[lagoonhead.FailureDomain]float64{"a": 1, "b": 0.5}},
	}
	v.watch(evacuationOfB, 2, false)
	var p plan.ServicePlanner
	demand := plan.PeakDemand{Known: true, Prefill: 2, Decode: 2}
	p.Plan(time.Second, service, engines, fleetView{v.Daemon}.Evacuated(), demand)
	orders := p.Plan(time.Minute, service, engines, fleetView{v.Daemon}.Evacuated(), demand)
	require.NotEmpty(t, orders.Totals)
	for _, o := range orders.Totals {
		require.Equal(t, lagoonhead.FailureDomain("a"), o.FailureDomain)
		require.Equal(t, 6, o.Total, "all that is needed runs in the other failure domain")
	}
	require.Empty(t, orders.Roles)
}
