package lease

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/fakeplatform"
	"github.com/lagoonhead/lagoonhead/timer"
)

const turn = 3 * time.Second

var someDuty = Duty{Kind: "some"}

// process is a daemon that tries for a duty.
type process struct {
	session *Session
	keeper  *Keeper
}

func start(t *testing.T, clock timer.Timer, kv lagoonhead.Store, vm, incarnation string) *process {
	t.Helper()
	s := &Session{Store: kv, Timer: clock, TTL: 2 * time.Second, Renew: 500 * time.Millisecond, Margin: 300 * time.Millisecond}
	k := &Keeper{
		Store: kv, Session: s, Timer: clock, VM: lagoonhead.VMID(vm), Incarnation: lagoonhead.Incarnation(incarnation),
		Duties: []Duty{someDuty}, OrderFlight: turn, Fenced: true, OneProcess: true,
	}
	p := &process{s, k}
	p.step()
	return p
}

func (p *process) step() {
	p.session.Step(context.Background())
	p.keeper.Step(context.Background())
}

func (p *process) may() bool {
	t := p.keeper.Tenure(someDuty)
	return t != nil && t.Check() == nil
}

// Guards against a duty that rests for the life of a lease after the VM that had it
// restarted.
func TestARestartedVMGoesOnAtOnce(t *testing.T) {
	clock := timer.NewManual(time.Hour, time.Unix(0, 0))
	kv := fakeplatform.NewKV(clock)
	a := start(t, clock, kv, "a", "a/1")
	require.True(t, a.may())
	first := a.keeper.Tenure(someDuty).Epoch()
	again := start(t, clock, kv, "a", "a/2")
	require.True(t, again.may())
	require.Greater(t, again.keeper.Tenure(someDuty).Epoch(), first)
	other := start(t, clock, kv, "b", "b/1")
	require.False(t, other.may(), "another VM waits for the lease")
}

// Guards against two holders that act in turns within the turn time.
func TestAHolderThatComesBackWaits(t *testing.T) {
	clock := timer.NewManual(time.Hour, time.Unix(0, 0))
	kv := fakeplatform.NewKV(clock)
	a := start(t, clock, kv, "a", "a/1")
	require.True(t, a.may())
	clock.Advance(2 * time.Second)
	b := start(t, clock, kv, "b", "b/1")
	require.True(t, b.may(), "a new holder begins at once: a's epoch is refused")
	b.session.release()
	c := start(t, clock, kv, "c", "c/1")
	require.True(t, c.may())
	c.session.release()
	a.step()
	require.NotNil(t, a.keeper.Tenure(someDuty))
	require.False(t, a.may(), "a, b, c, a within the turn time")
	for range 6 {
		clock.Advance(500 * time.Millisecond)
		a.session.Step(context.Background())
	}
	require.True(t, a.may())
}
