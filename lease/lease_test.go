package lease

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/fakeplatform"
	"github.com/lagoonhead/lagoonhead/timer"
)

// slowStore advances the clock by delay before it returns, like a store under load.
type slowStore struct {
	lagoonhead.Store
	clock *timer.Manual
	delay time.Duration
}

func (s *slowStore) GrantLease(ctx context.Context, ttl time.Duration) (lagoonhead.LeaseID, error) {
	id, err := s.Store.GrantLease(ctx, ttl)
	s.clock.Advance(s.delay)
	return id, err
}

func (s *slowStore) RenewLease(ctx context.Context, id lagoonhead.LeaseID) error {
	err := s.Store.RenewLease(ctx, id)
	s.clock.Advance(s.delay)
	return err
}

func newSession(clock *timer.Manual, s lagoonhead.StoreWriter) *Session {
	return &Session{Store: s, Timer: clock}
}

// Guards against a holder that measures its lease from the response, so that it considers
// the lease valid for longer than the store does.
func TestLeaseCountsFromBeforeTheRequest(t *testing.T) {
	clock := timer.NewManual(time.Hour, time.Unix(0, 0))
	s := newSession(clock, &slowStore{Store: fakeplatform.NewKV(clock), clock: clock, delay: 4 * time.Second})
	s.Step(context.Background())
	clock.Advance(DefaultTTL - DefaultMargin - 4*time.Second - time.Millisecond)
	_, valid := s.Lease()
	require.True(t, valid)
	clock.Advance(time.Millisecond)
	_, valid = s.Lease()
	require.False(t, valid)
}

// Guards against a renewed lease that is measured from the response to the renewal.
func TestRenewalCountsFromBeforeTheRequest(t *testing.T) {
	clock := timer.NewManual(time.Hour, time.Unix(0, 0))
	s := newSession(clock, &slowStore{Store: fakeplatform.NewKV(clock), clock: clock, delay: 4 * time.Second})
	s.Step(context.Background())
	clock.Advance(DefaultRenewInterval)
	s.Step(context.Background())
	require.EqualValues(t, "1", s.Vars().Get("renewed").String())
	clock.Advance(DefaultTTL - DefaultMargin - 4*time.Second - time.Millisecond)
	_, valid := s.Lease()
	require.True(t, valid)
	clock.Advance(time.Millisecond)
	_, valid = s.Lease()
	require.False(t, valid)
}

// Guards against a duty that two daemons hold, a tenure that continues after its lease has
// lapsed, and an epoch that does not grow.
func TestDutyPassesToTheNextHolder(t *testing.T) {
	ctx := context.Background()
	clock := timer.NewManual(time.Hour, time.Unix(0, 0))
	kv := fakeplatform.NewKV(clock)
	d := Duty{Kind: "usage"}
	keeper := func(vm lagoonhead.VMID) *Keeper {
		s := newSession(clock, kv)
		s.Step(ctx)
		return &Keeper{Store: kv, Session: s, Timer: clock, VM: vm, Incarnation: lagoonhead.Incarnation(vm), Duties: []Duty{d}}
	}
	a, b := keeper("a"), keeper("b")
	a.Step(ctx)
	b.Step(ctx)
	require.NotNil(t, a.Tenure(d))
	require.Nil(t, b.Tenure(d))
	former := a.Tenure(d)
	require.True(t, lagoonhead.IsKind(former.Check(), lagoonhead.KindUnavailable), "orders of a former holder may be in flight")
	clock.Advance(DefaultMaxOrderFlight)
	require.NoError(t, former.Check())

	clock.Advance(DefaultTTL)
	b.Session.Step(ctx)
	b.Step(ctx)
	require.True(t, former.Lapsed())
	require.Nil(t, a.Tenure(d))
	require.NotNil(t, b.Tenure(d))
	require.Greater(t, b.Tenure(d).Epoch(), former.Epoch())
}

// Guards against a duty that stays blocked after the response to its acquisition was lost.
func TestLostAnswerIsRecognised(t *testing.T) {
	ctx := context.Background()
	clock := timer.NewManual(time.Hour, time.Unix(0, 0))
	kv := fakeplatform.NewKV(clock)
	s := newSession(clock, kv)
	s.Step(ctx)
	d := Duty{Kind: "usage"}
	k := &Keeper{Store: kv, Session: s, Timer: clock, VM: "a", Incarnation: "a1", Duties: []Duty{d}}
	kv.Faults.LoseAnswers(1)
	k.Step(ctx)
	require.Nil(t, k.Tenure(d))
	k.Step(ctx)
	require.NotNil(t, k.Tenure(d))
}

// Guards against daemons that disagree on the candidates, and against a change of
// one VM that reorders the others.
func TestCandidatesAreStable(t *testing.T) {
	vm := func(id lagoonhead.VMID, leaving bool) lagoonhead.VM {
		return lagoonhead.NewVM(id, "a", "", leaving)
	}
	ids := func(list []lagoonhead.VM) (out []lagoonhead.VMID) {
		for _, v := range list {
			out = append(out, v.ID())
		}
		return out
	}
	all := []lagoonhead.VM{vm("a", false), vm("b", false), vm("c", false), vm("d", false)}
	first := ids(Candidates(all, "x", 4))
	reversed := []lagoonhead.VM{all[3], all[2], all[1], all[0]}
	require.Equal(t, first, ids(Candidates(reversed, "x", 4)))
	var without []lagoonhead.VM
	for _, v := range all {
		if v.ID() != first[0] {
			without = append(without, v)
		}
	}
	require.Equal(t, first[1:], ids(Candidates(without, "x", 4)))
	for i, v := range all {
		all[i] = vm(v.ID(), v.ID() == first[0])
	}
	require.Equal(t, first[0], ids(Candidates(all, "x", 4))[3])
	require.Empty(t, Candidates(nil, "x", 3))
}

// Guards against a disagreement of IsCandidate and Candidates, which would let two daemons
// perform the same task.
func TestIsCandidateAgreesWithCandidates(t *testing.T) {
	var vms []lagoonhead.VM
	for i := range 20 {
		vms = append(vms, lagoonhead.NewVM(lagoonhead.VMID(fmt.Sprintf("vm%d", i)), "a", "", i%7 == 0))
	}
	for i := range 200 {
		name := fmt.Sprintf("engine %d", i)
		best := Candidates(vms, name, 1+i%5)
		for _, v := range vms {
			require.Equal(t, slices.Contains(best, v), IsCandidate(vms, v.ID(), name, 1+i%5), "%s for %s", v.ID(), name)
		}
	}
	require.False(t, IsCandidate(vms, "absent", "x", 100))
}

// countingStore counts the calls for leases.
type countingStore struct {
	lagoonhead.StoreWriter
	grants, renewals int
}

func (s *countingStore) GrantLease(ctx context.Context, ttl time.Duration) (lagoonhead.LeaseID, error) {
	s.grants++
	return s.StoreWriter.GrantLease(ctx, ttl)
}

func (s *countingStore) RenewLease(ctx context.Context, id lagoonhead.LeaseID) error {
	s.renewals++
	return s.StoreWriter.RenewLease(ctx, id)
}

// Guards against calls for a lease that nobody needs, against renewals that are more frequent
// than a relaxed lease needs, and against a relaxed lease that lapses.
func TestLeaseCallsFollowTheNeed(t *testing.T) {
	clock := timer.NewManual(time.Hour, time.Unix(0, 0))
	store := &countingStore{StoreWriter: fakeplatform.NewKV(clock)}
	wanted, relaxed := false, true
	s := newSession(clock, store)
	s.TTL, s.Margin = 10*time.Second, time.Second
	s.Wanted, s.Relaxed = func() bool { return wanted }, func() bool { return relaxed }
	steps := func(n int) {
		for range n {
			s.Step(t.Context())
			clock.Advance(500 * time.Millisecond)
			_, valid := s.Lease()
			require.Equal(t, wanted, valid)
		}
	}
	steps(10)
	require.Zero(t, store.grants)
	wanted = true
	steps(60)
	require.Equal(t, 1, store.grants)
	require.LessOrEqual(t, store.renewals, 10)
	relaxed, store.renewals = false, 0
	steps(10)
	require.Equal(t, 10, store.renewals)
}
