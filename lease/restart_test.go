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

const orderFlight = 3 * time.Second

var testDuty = Duty{Kind: "some"}

// process is a daemon process that tries to acquire testDuty.
type process struct {
	session *Session
	keeper  *Keeper
}

func start(t *testing.T, clock timer.Timer, kv lagoonhead.Store, vm, incarnation string) *process {
	t.Helper()
	s := &Session{Store: kv, Timer: clock, TTL: 2 * time.Second, RenewInterval: 500 * time.Millisecond, Margin: 300 * time.Millisecond}
	k := &Keeper{
		Store: kv, Session: s, Timer: clock, VM: lagoonhead.VMID(vm), Incarnation: lagoonhead.Incarnation(incarnation),
		Duties: []Duty{testDuty}, MaxOrderFlight: orderFlight, Fenced: true, NoEarlierProcess: true,
	}
	p := &process{s, k}
	p.step()
	return p
}

func (p *process) step() {
	p.session.Step(context.Background())
	p.keeper.Step(context.Background())
}

func (p *process) mayAct() bool {
	t := p.keeper.Tenure(testDuty)
	return t != nil && t.Check() == nil
}

// Guards against a duty that nobody performs until the old lease ends after the VM that
// held it restarted.
func TestARestartedVMGoesOnAtOnce(t *testing.T) {
	clock := timer.NewManual(time.Hour, time.Unix(0, 0))
	kv := fakeplatform.NewKV(clock)
	a := start(t, clock, kv, "a", "a/1")
	require.True(t, a.mayAct())
	first := a.keeper.Tenure(testDuty).Epoch()
	again := start(t, clock, kv, "a", "a/2")
	require.True(t, again.mayAct())
	require.Greater(t, again.keeper.Tenure(testDuty).Epoch(), first)
	other := start(t, clock, kv, "b", "b/1")
	require.False(t, other.mayAct(), "another VM must wait until the lease ends")
}

// Guards against holders that alternate within MaxOrderFlight.
func TestAHolderThatComesBackWaits(t *testing.T) {
	clock := timer.NewManual(time.Hour, time.Unix(0, 0))
	kv := fakeplatform.NewKV(clock)
	a := start(t, clock, kv, "a", "a/1")
	require.True(t, a.mayAct())
	clock.Advance(2 * time.Second)
	b := start(t, clock, kv, "b", "b/1")
	require.True(t, b.mayAct(), "a new holder starts at once: a's epoch is refused")
	b.session.revoke()
	c := start(t, clock, kv, "c", "c/1")
	require.True(t, c.mayAct())
	c.session.revoke()
	a.step()
	require.NotNil(t, a.keeper.Tenure(testDuty))
	require.False(t, a.mayAct(), "a must wait: a, b, c and a held the duty within orderFlight")
	for range 6 {
		clock.Advance(500 * time.Millisecond)
		a.session.Step(context.Background())
	}
	require.True(t, a.mayAct())
}
