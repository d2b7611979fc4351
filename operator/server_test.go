package operator

import (
	"context"
	"crypto/tls"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/config"
	"github.com/lagoonhead/lagoonhead/explain"
	"github.com/lagoonhead/lagoonhead/fakeplatform"
	"github.com/lagoonhead/lagoonhead/timer"
)

const testToken = "operator token of the test"

const fleet = `
failureDomains: [{id: a, region: r}]
models: [{id: m}]
engines: [{id: e1, model: m, address: "http://10.0.0.1:1", failureDomain: a, slots: 1, price: 1/h}]
workspaces: [{id: w, rate: 1tok/s, burst: 1tok}]
`

// runnerStatus is a StatusSource with the revision of a config.Runner.
type runnerStatus struct{ source *config.Runner }

func (s runnerStatus) Status() *StatusResponse {
	_, r := s.source.Inventory()
	return &StatusResponse{Vm: "vm1", Revision: r}
}

// daemon is a Server over a config.Runner for a fleet of one VM, with a fake store.
type daemon struct {
	store  *fakeplatform.KV
	runner *config.Runner
	server *Server
	http   *httptest.Server
}

func newDaemon(t *testing.T) *daemon {
	tm := &timer.System{}
	d := &daemon{store: fakeplatform.NewKV(tm)}
	d.runner = &config.Runner{Self: "vm1", Incarnation: "vm1-1", Store: d.store, Timer: tm}
	d.runner.SetVMs([]lagoonhead.VM{lagoonhead.NewVM("vm1", "a", "", false)}, 0)
	record := explain.New(16)
	d.server = &Server{
		Committer: &config.Committer{Store: d.store, Runner: d.runner, Timer: tm},
		Inventory: d.runner, Status: runnerStatus{d.runner}, Decisions: record, Recorder: record,
		Clock: tm, Guard: &Guard{Token: testToken},
	}
	d.http = httptest.NewServer(d.server.Handler())
	t.Cleanup(d.http.Close)
	return d
}

func (d *daemon) client(token string) *Client { return NewClient(d.http.URL, token, nil) }

// Guards against commands that do not change the configuration, keys that do not
// work or can be read again, and withdrawn keys that still work.
func TestCommands(t *testing.T) {
	ctx := context.Background()
	d := newDaemon(t)
	c := d.client(testToken)
	r, err := c.Apply(ctx, &ApplyRequest{Yaml: fleet, WaitMs: 60_000})
	require.NoError(t, err)
	require.True(t, r.GetAccepted())
	require.Equal(t, []string{"vm1"}, r.GetConfirmed())

	k, err := c.IssueKey(ctx, &IssueKeyRequest{Workspace: "w", Label: "front desk"})
	require.NoError(t, err)
	w, err := d.runner.Directory().Authenticate(k.GetKey())
	require.NoError(t, err)
	require.EqualValues(t, "w", w)
	inv, err := c.GetInventory(ctx)
	require.NoError(t, err)
	require.Contains(t, inv.GetYaml(), k.GetKeyId())
	require.NotContains(t, inv.GetYaml(), k.GetKey())
	_, err = c.WithdrawKey(ctx, &WithdrawKeyRequest{KeyId: k.GetKeyId(), BaseRevision: 2})
	require.NoError(t, err)
	_, err = d.runner.Directory().Authenticate(k.GetKey())
	require.Error(t, err)

	_, err = c.SetLeaving(ctx, &SetLeavingRequest{Endpoint: "e1", Leaving: true})
	require.NoError(t, err)
	require.True(t, d.runner.Directory().Endpoints(lagoonhead.EndpointKindEngine, "m")[0].Leaving())
	s, err := c.Status(ctx)
	require.NoError(t, err)
	require.EqualValues(t, 4, s.GetRevision())
	e, err := c.Explain(ctx, &ExplainRequest{Subject: "e1"})
	require.NoError(t, err)
	require.Equal(t, "leaving", e.GetDecisions()[0].GetResult())
}

// Guards against errors that reach the operator without their kind, the revisions of a
// conflict or the list of problems.
func TestErrors(t *testing.T) {
	ctx := context.Background()
	d := newDaemon(t)
	c := d.client(testToken)
	_, err := c.Apply(ctx, &ApplyRequest{Yaml: fleet})
	require.NoError(t, err)
	_, err = c.SetLeaving(ctx, &SetLeavingRequest{Endpoint: "e1", Leaving: true, BaseRevision: 7})
	var conflict *config.Conflict
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, config.Conflict{Base: 7, Current: 1}, *conflict)
	require.True(t, lagoonhead.IsKind(err, lagoonhead.KindConflict))
	_, err = c.Apply(ctx, &ApplyRequest{Yaml: "models: [{id: 1}]\nx: 1"})
	require.True(t, lagoonhead.IsKind(err, lagoonhead.KindInvalid))
	require.Contains(t, err.Error(), "\ninventory:2:1: x: unknown field")
	_, err = c.IssueKey(ctx, &IssueKeyRequest{Workspace: "x"})
	require.True(t, lagoonhead.IsKind(err, lagoonhead.KindNotFound))
	_, err = c.IssueKey(ctx, &IssueKeyRequest{Workspace: "w", Label: "two\nlines"})
	require.True(t, lagoonhead.IsKind(err, lagoonhead.KindInvalid))
	d.store.Faults.SetOutage(true)
	_, err = c.WithdrawKey(ctx, &WithdrawKeyRequest{KeyId: "k"})
	require.True(t, lagoonhead.IsKind(err, lagoonhead.KindUnavailable))
	d.http.Close()
	_, err = c.Status(ctx)
	require.True(t, lagoonhead.IsKind(err, lagoonhead.KindUnavailable))
	_, err = c.Apply(ctx, &ApplyRequest{Yaml: fleet})
	require.True(t, lagoonhead.IsKind(err, lagoonhead.KindUnavailable), "nothing was sent: %v", err)
}

// Guards against a command that is reported as not carried out because its response was
// lost.
func TestLostAnswerIsUnknown(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer s.Close()
	c := NewClient(s.URL, "", nil)
	_, err := c.WithdrawKey(context.Background(), &WithdrawKeyRequest{KeyId: "k"})
	require.True(t, lagoonhead.IsKind(err, lagoonhead.KindUnknown), "%v", err)
}

// Guards against requests that are accepted without the required token or certificate.
func TestGuard(t *testing.T) {
	d := newDaemon(t)
	for _, token := range []string{"", "x", testToken + "x", testToken[1:]} {
		_, err := d.client(token).Status(context.Background())
		require.True(t, lagoonhead.IsKind(err, lagoonhead.KindUnauthenticated), token)
	}
	require.EqualValues(t, 4, d.server.Guard.Refused())

	ok := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	for _, c := range []struct {
		tls    bool
		secret string
		chains int
		token  string
		want   int
	}{
		{false, "", 0, "", http.StatusOK},
		{true, "", 0, "", http.StatusUnauthorized},
		{true, "", 1, "", http.StatusOK},
		{true, testToken, 1, "", http.StatusUnauthorized},
		{true, testToken, 0, testToken, http.StatusUnauthorized},
		{true, testToken, 1, testToken, http.StatusOK},
	} {
		r := httptest.NewRequest(http.MethodPost, "/", nil)
		r.TLS = &tls.ConnectionState{}
		for range c.chains {
			r.TLS.VerifiedChains = append(r.TLS.VerifiedChains, nil)
		}
		r.Header.Set("Authorization", "Bearer "+c.token)
		w := httptest.NewRecorder()
		(&Guard{MutualTLS: c.tls, Token: c.secret}).Wrap(ok).ServeHTTP(w, r)
		require.Equal(t, c.want, w.Code, "%+v", c)
	}
}

// Guards against keys that are too short, not unique or stored in plain text.
func TestNewKey(t *testing.T) {
	seen := map[string]bool{}
	for range 100 {
		key, stored := NewKey("l")
		require.True(t, strings.HasPrefix(key, keyPrefix))
		require.Len(t, key, len(keyPrefix)+43)
		require.False(t, seen[key] || seen[stored.ID])
		seen[key], seen[stored.ID] = true, true
		text, _ := stored.SHA256.MarshalText()
		require.NotContains(t, key, string(text))
	}
}
