package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/config"
	"github.com/lagoonhead/lagoonhead/explain"
	"github.com/lagoonhead/lagoonhead/fakeplatform"
	"github.com/lagoonhead/lagoonhead/operator"
	"github.com/lagoonhead/lagoonhead/peer"
	"github.com/lagoonhead/lagoonhead/timer"
)

const token = "operator token of the test"

// validInventory has one engine, one workspace and no key.
const validInventory = `failureDomains: [{id: a, region: r}]
models: [{id: m}]
engines: [{id: e1, model: m, address: "http://10.0.0.1:1", failureDomain: a, slots: 1, price: 1/h}]
workspaces: [{id: w, rate: 1tok/s, burst: 1tok}]
`

// silentPeers time out on each request for their state.
type silentPeers struct{ config.Peers }

func (silentPeers) State(context.Context, lagoonhead.VM) (*peer.RevisionStateResponse, error) {
	return nil, context.DeadlineExceeded
}

// fixedStatus always returns the same status of a daemon.
type fixedStatus struct{}

func (fixedStatus) Status() *operator.StatusResponse {
	return &operator.StatusResponse{
		Vm: "vm1", Incarnation: "vm1-1", Ready: true, Revision: 7,
		Peers:     []*operator.PeerStatus{{Vm: "vm2", HeardAgeMs: 1240, Revision: 7}},
		Endpoints: []*operator.EndpointStatus{{Endpoint: "e1", Serves: "m", State: "leaving", InFlight: 3}},
	}
}

// console runs lagoonctl against an operator server in the process of the test.
type console struct {
	t       *testing.T
	runner  *config.Runner
	store   *fakeplatform.KV
	dir     string
	address string
}

func newConsole(t *testing.T) *console {
	tm := &timer.System{}
	c := &console{t: t, store: fakeplatform.NewKV(tm), dir: t.TempDir()}
	c.runner = &config.Runner{Self: "vm1", Incarnation: "vm1-1", Store: c.store, Timer: tm, Peers: silentPeers{}}
	c.setVMs("vm1")
	record := explain.New(16)
	s := &operator.Server{
		Committer: &config.Committer{Store: c.store, Runner: c.runner, Timer: tm, Peers: silentPeers{}},
		Inventory: c.runner, Status: fixedStatus{}, Decisions: record, Recorder: record, Clock: tm,
		Guard: &operator.Guard{Token: token},
	}
	h := httptest.NewServer(s.Handler())
	t.Cleanup(h.Close)
	c.address = h.URL
	c.writeFile("token", token+"\n")
	return c
}

func (c *console) setVMs(ids ...lagoonhead.VMID) {
	var vms []lagoonhead.VM
	for _, id := range ids {
		vms = append(vms, lagoonhead.NewVM(id, "a", "", false))
	}
	c.runner.SetVMs(vms, 0)
}

func (c *console) writeFile(name, text string) string {
	f := filepath.Join(c.dir, name)
	require.NoError(c.t, os.WriteFile(f, []byte(text), 0o600))
	return f
}

// run runs lagoonctl and returns its exit code, standard output and standard error.
func (c *console) run(args ...string) (code int, out, errors string) {
	var o, e bytes.Buffer
	environment := map[string]string{
		environmentAddress: c.address, environmentToken: filepath.Join(c.dir, "token"),
	}
	p := &program{in: strings.NewReader(""), out: &o, errors: &e, environment: func(n string) string { return environment[n] }}
	code = p.run(context.Background(), args)
	return code, o.String(), e.String()
}

// Guards against commands without help, and against wrong exit codes for help and for wrong
// arguments.
func TestHelp(t *testing.T) {
	c := newConsole(t)
	for _, k := range commandList {
		code, out, _ := c.run(append(strings.Fields(k.name), "-h")...)
		require.Equal(t, exitDone, code, k.name)
		require.Contains(t, out, "Usage: lagoonctl "+k.name)
		require.Contains(t, out, "-json")
	}
	for args, want := range map[string]int{
		"": exitUsage, "help": exitDone, "keys": exitUsage, "keys -h": exitDone, "fly": exitUsage,
		"get -fly": exitUsage, "get x": exitUsage, "drain": exitUsage, "explain -limit 0": exitUsage,
		"get -address host:1": exitUsage, "validate absent.yaml": exitUsage, "get -token-file absent": exitUsage,
	} {
		code, out, errors := c.run(strings.Fields(args)...)
		require.Equal(t, want, code, args)
		require.NotEmpty(t, out+errors, args)
	}
}

// Guards against an error in an inventory that is printed without its line and field, and
// against a wrong exit code for it.
func TestValidateAndDiff(t *testing.T) {
	c := newConsole(t)
	good, bad := c.writeFile("good.yaml", validInventory), c.writeFile("bad.yaml", "models: [{id: m}, {id: m}]\nx: 1\n")
	code, out, _ := c.run("validate", good)
	require.Equal(t, exitDone, code)
	require.Equal(t, "valid: 1 models, 1 engines, 0 services, 1 workspaces with 0 keys, 0 rules\n", out)
	code, _, errors := c.run("validate", bad)
	require.Equal(t, exitUsage, code)
	require.Equal(t, bad+`:1:24: models[1].id: duplicate "m"; the first is in line 1; accepted: a value used once
`+bad+":2:1: x: unknown field; accepted: failureDomains, models, engines, services, workspaces, rules, "+
		"endpointStates, planner\n", errors)
	code, out, _ = c.run("validate", "-json", bad)
	require.Equal(t, exitUsage, code)
	var f failure
	require.NoError(t, json.Unmarshal([]byte(out), &f))
	require.Equal(t, "invalid", f.Error.Kind)
	require.Len(t, f.Error.Problems, 2)
	changed := c.writeFile("more.yaml", strings.Replace(validInventory, "slots: 1", "slots: 2", 1))
	code, out, _ = c.run("diff", good, changed)
	require.Equal(t, exitDone, code)
	require.Equal(t, "~ engines e1: slots 1 -> 2\n", out)
	code, out, _ = c.run("diff", good)
	require.Equal(t, exitDone, code)
	require.Contains(t, out, "+ engines e1: id e1, model m")
}

// Guards against an edit that silently overwrites another one, and against wrong exit
// codes of commands that commit a revision.
func TestChanges(t *testing.T) {
	c := newConsole(t)
	first := c.writeFile("first.yaml", validInventory)
	code, out, _ := c.run("apply", "-wait", first)
	require.Equal(t, exitDone, code)
	require.Equal(t, "revision 1 is committed and confirmed by 1 of 1 VMs\n", out)
	code, _, errors := c.run("apply", first)
	require.Equal(t, exitUsage, code)
	require.Contains(t, errors, "revision 1 is in force: give -base")

	code, text, _ := c.run("get")
	require.Equal(t, exitDone, code)
	require.True(t, strings.HasPrefix(text, "# revision: 1\n"), text)
	edited := c.writeFile("edited.yaml", strings.Replace(text, "slots: 1", "slots: 2", 1))
	code, _, _ = c.run("drain", "e1")
	require.Equal(t, exitDone, code)
	require.True(t, c.runner.Directory().Endpoints(lagoonhead.EndpointKindEngine, "m")[0].Leaving())
	code, _, errors = c.run("apply", edited)
	require.Equal(t, exitConflict, code)
	require.Contains(t, errors, "the edit was made on revision 1, but the configuration has revision 2")
	code, out, _ = c.run("apply", "-json", edited)
	require.Equal(t, exitConflict, code)
	require.Contains(t, out, `"currentRevision": 2`)
	code, _, _ = c.run("apply", edited, "-base", "newest")
	require.Equal(t, exitDone, code)
	code, _, _ = c.run("undrain", "e9")
	require.Equal(t, exitUsage, code)

	code, out, _ = c.run("keys", "issue", "w", "-label", "front desk", "-json")
	require.Equal(t, exitDone, code)
	var k struct{ Key, KeyID string }
	require.NoError(t, json.Unmarshal([]byte(out), &k))
	_, err := c.runner.Directory().Authenticate(k.Key)
	require.NoError(t, err)
	code, _, _ = c.run("keys", "withdraw", k.KeyID)
	require.Equal(t, exitDone, code)
	code, out, _ = c.run("explain", "w")
	require.Equal(t, exitDone, code)
	require.Contains(t, out, "issued key "+k.KeyID)
	require.NotContains(t, out, k.Key)
}

// Guards against a revision that is reported as accepted or confirmed when it is
// not, and against exit code 0 for a failed command.
func TestUnconfirmed(t *testing.T) {
	c := newConsole(t)
	code, _, _ := c.run("apply", c.writeFile("first.yaml", validInventory))
	require.Equal(t, exitDone, code)
	c.setVMs("vm1", "vm2")
	code, out, errors := c.run("drain", "e1", "-wait", "-wait-time", "50ms")
	require.Equal(t, exitUnconfirmed, code)
	require.Contains(t, out, "revision 2 is committed and confirmed by 1 of 2 VMs")
	require.Contains(t, errors, "a majority has not confirmed it yet; missing: vm2")
	c.store.Faults.SetOutage(true)
	code, _, _ = c.run("undrain", "e1")
	require.Equal(t, exitFailed, code)
	c.writeFile("token", "another token of the test")
	code, _, errors = c.run("status")
	require.Equal(t, exitFailed, code)
	require.Contains(t, errors, "the operator token is missing or wrong")
}

// Guards against a status output without parts of the daemon's response.
func TestStatus(t *testing.T) {
	c := newConsole(t)
	code, out, _ := c.run("status")
	require.Equal(t, exitDone, code)
	require.Equal(t, `VM vm1 (vm1-1), revision 7, ready

PEER  HEARD  REVISION
vm2   1.2s   7

ENDPOINT  FAILURE DOMAIN  SERVES  ROLE  STATE    IN FLIGHT
e1                        m             leaving  3
`, out)
	code, out, _ = c.run("status", "-json")
	require.Equal(t, exitDone, code)
	require.True(t, json.Valid([]byte(out)))
}

// Guards against "explain -logs" failing without a daemon, and against an unknown request or a
// missing file that is not reported as an error.
func TestExplainLogs(t *testing.T) {
	c := newConsole(t)
	const log = "../../explain/testdata/fleet.log"
	code, out, errs := c.run("explain", "-logs", log, "r-1")
	require.Equal(t, exitDone, code, errs)
	require.Contains(t, out, "cause: crashed, it may have run: stream at e-1 failed: unexpected EOF\n")
	require.Contains(t, out, "attempt r-4: request served")
	require.Contains(t, errs, "1 broken lines were passed over")

	code, _, errs = c.run("explain", "-logs", log, "r-none")
	require.NotEqual(t, exitDone, code)
	require.Contains(t, errs, "no line has request r-none")
	code, _, errs = c.run("explain", "-logs", "missing.log", "r-1")
	require.NotEqual(t, exitDone, code)
	require.Contains(t, errs, "missing.log")
	code, _, _ = c.run("explain", "-logs", "r-1")
	require.Equal(t, exitUsage, code)
}
