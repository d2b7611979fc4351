package main

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/config"
	"github.com/lagoonhead/lagoonhead/fakeplatform"
	"github.com/lagoonhead/lagoonhead/inventory"
	"github.com/lagoonhead/lagoonhead/jsoncall"
	"github.com/lagoonhead/lagoonhead/store"
)

const (
	// frontDeskKey is the key of the workspace crates, branchKey that of toys.
	frontDeskKey = "lh-front-desk-0000000000000000"
	branchKey    = "lh-branch-00000000000000000000"
)

// idleTimeout is the idle timeout of streams in the tests. The fake engines send a
// keep-alive every second.
const idleTimeout = 3 * time.Second

// fleet is a fake platform, a fake service, fake engines and daemons, each in a process of
// its own.
type fleet struct {
	platform *process
	service  *process
	engines  []*process
	daemons  []*process
	network  *network
	// listeners holds the addresses of the peer listeners of all daemons, followed by those
	// of the operator listeners.
	listeners []string
	// extra is YAML that is appended to the settings of daemons, and limits to their limits.
	extra, limits string
	// program is the program of the daemons; empty means the test binary.
	program string
	// resumeKey is the path of the key file for resuming streams, which all daemons share.
	resumeKey string
}

// newFleet starts a fleet and waits until every daemon is ready.
func newFleet(t *testing.T, engines, daemons int) *fleet {
	t.Helper()
	f := newFleetWithoutDaemons(t, engines, daemons)
	for i := range daemons {
		f.daemons = append(f.daemons, f.startDaemon(t, i))
	}
	f.awaitReady(t)
	return f
}

// newFleetWithoutDaemons starts a fleet without its daemons and commits the inventory. The
// addresses and links are for the given number of daemons.
func newFleetWithoutDaemons(t *testing.T, engines, daemons int) *fleet {
	t.Helper()
	f := &fleet{
		platform: startProcess(t, "platform", "platform"), service: startProcess(t, "service", "bookings"),
		resumeKey: writeFile(t, "resume.key", strings.Repeat("ab", 32)),
		listeners: freePorts(t, 2*daemons),
	}
	for i := range engines {
		id := fmt.Sprintf("e%d", i+1)
		f.engines = append(f.engines, startProcess(t, "engine", id, id))
	}
	f.apply(t, f.inventory(defaultQuota))
	f.network = newNetwork(t, f.platform, f.listeners[:daemons])
	return f
}

func (f *fleet) awaitReady(t *testing.T) {
	t.Helper()
	for _, d := range f.daemons {
		eventually(t, d.name+" ready", func() bool { return getStatus(t, d.url()+"/readyz") == http.StatusOK })
	}
}

// vmName returns the name of the VM of daemon i.
func vmName(i int) string { return fmt.Sprintf("vm%d", i+1) }

// failureDomain returns the failure domain of daemon or engine i.
func failureDomain(i int) string { return string(rune('a' + i%3)) }

func (f *fleet) startDaemon(t *testing.T, i int) *process {
	t.Helper()
	n := len(f.network.platform)
	file := writeFile(t, "settings.yaml", fmt.Sprintf(`
vm: {id: %s, failureDomain: %s, region: r}
listen: {caller: "127.0.0.1:0", peer: %q, operator: %q}
platform: {store: %[5]q, ordering: %[5]q, usage: %[5]q, vms: %[6]q}
resume: {keyFile: %[7]q}
drain: {lag: 200ms, max: 1m}
limits: {idleTimeout: %[8]s%[9]s}
usage: {window: 2s}
%[10]s
`, vmName(i), failureDomain(i), f.listeners[i], f.listeners[n+i], "http://"+f.network.platform[i].address(),
		f.network.vmLists[i].URL, f.resumeKey, idleTimeout, f.limits, f.extra))
	p := newProcess("daemon", vmName(i), "-settings", file)
	if f.program != "" {
		p.cmd.Path = f.program
	}
	p.startListening(t)
	return p
}

// operatorURL returns the base URL of a daemon's operator listener.
func (f *fleet) operatorURL(i int) string {
	return "http://" + f.listeners[len(f.network.platform)+i]
}

// defaultQuota is a rate and burst that the tests do not reach.
const defaultQuota = "rate: 100ktok/s, burst: 1000ktok"

// inventory returns an inventory of the fleet in YAML, with the same quota for both
// workspaces.
func (f *fleet) inventory(quota string) string {
	var b strings.Builder
	b.WriteString("failureDomains:\n")
	for i := range 3 {
		fmt.Fprintf(&b, "  - {id: %s, region: r}\n", failureDomain(i))
	}
	b.WriteString("models:\n  - {id: reader}\nengines:\n")
	for i, e := range f.engines {
		fmt.Fprintf(&b, "  - {id: %s, model: reader, address: %q, failureDomain: %s, slots: 64, price: 1/h, fenced: %v}\n",
			e.name, e.url(), failureDomain(i), e.name != "e3")
	}
	fmt.Fprintf(&b, `services:
  - id: crates
    routes:
      - {method: POST, path: /bookings, idempotent: false, keyRequired: true}
      - {method: GET, path: /availability, idempotent: true}
      - {method: GET, path: /catalogue, idempotent: true, open: true}
    endpoints: [{id: b1, address: %q, failureDomain: a, slots: 64, price: 1/h}]
`, f.service.url())
	b.WriteString("workspaces:\n")
	for _, w := range []struct{ id, key string }{{"crates", frontDeskKey}, {"toys", branchKey}} {
		fmt.Fprintf(&b, "  - {id: %s, %s, keys: [{id: %s-key, sha256: %x}]}\n",
			w.id, quota, w.id, sha256.Sum256([]byte(w.key)))
	}
	return b.String()
}

// apply commits an inventory in YAML as the newest revision.
func (f *fleet) apply(t *testing.T, text string) {
	t.Helper()
	inv, err := inventory.Parse("inventory.yaml", []byte(text))
	require.NoError(t, err)
	f.commit(t, func(*inventory.Inventory) *inventory.Inventory { return inv })
}

// commit writes a revision to the store as a daemon does. It fails the test if a
// concurrent commit causes a conflict.
func (f *fleet) commit(t *testing.T, edit func(*inventory.Inventory) *inventory.Inventory) {
	t.Helper()
	require.NoError(t, f.tryCommit(t, edit))
}

// commitRetry is commit with retries after conflicts, for fleets whose daemons commit
// revisions too.
func (f *fleet) commitRetry(t *testing.T, edit func(*inventory.Inventory) *inventory.Inventory) {
	t.Helper()
	eventually(t, "committed", func() bool {
		err := f.tryCommit(t, edit)
		require.True(t, err == nil || lagoonhead.IsKind(err, lagoonhead.KindConflict), "%v", err)
		return err == nil
	})
}

func (f *fleet) tryCommit(t *testing.T, edit func(*inventory.Inventory) *inventory.Inventory) error {
	t.Helper()
	kv := &store.Client{Platform: jsoncall.Client{BaseURL: f.platform.url()}}
	var previous *inventory.Manifest
	current := &inventory.Inventory{}
	e, err := kv.Get(t.Context(), config.ManifestKey)
	if err == nil {
		previous, err = inventory.DecodeManifest(e.Value)
		require.NoError(t, err)
		current, err = inventory.Join(previous, func(hash string) ([]byte, bool) {
			p, err := kv.Get(t.Context(), config.PartPrefix+hash)
			return p.Value, err == nil
		})
		require.NoError(t, err)
	}
	m, parts, err := inventory.Split(edit(current), previous, "test", uuid.NewString())
	require.NoError(t, err)
	for _, p := range parts {
		_, err := kv.Put(t.Context(), lagoonhead.PutRequest{Key: config.PartPrefix + p.Hash, Value: p.Body})
		require.NoError(t, err)
	}
	raw, err := m.Encode()
	require.NoError(t, err)
	_, err = kv.Put(t.Context(), lagoonhead.PutRequest{Key: config.ManifestKey, Value: raw, IfRevision: e.Revision})
	return err
}

// client returns the OpenAI client library, set up to send requests to a daemon without
// retries.
func client(p *process, key string) openai.Client {
	return openai.NewClient(option.WithBaseURL(p.url()+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
}

// completionParams returns a request for a completion of up to maxTokens tokens.
func completionParams(text string, maxTokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     "reader",
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
		MaxTokens: openai.Int(maxTokens),
	}
}

// getStatus returns the HTTP status of a GET request, or 0 if there is no response.
func getStatus(t *testing.T, url string) int {
	t.Helper()
	resp, err := http.Get(url) //nolint:noctx // The address is a child process on loopback.
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// setOutage starts or ends an outage of one interface of the platform.
func (f *fleet) setOutage(t *testing.T, name string, on bool) {
	t.Helper()
	postJSON(t, f.platform.url()+fakeplatform.PathFaults, fakeplatform.FaultRequest{Interface: name, Outage: on}, nil)
}

// setStaleReads makes the store answer reads with the state before the newest write of each
// key, or ends that.
func (f *fleet) setStaleReads(t *testing.T, on bool) {
	t.Helper()
	postJSON(t, f.platform.url()+fakeplatform.PathFaults, fakeplatform.FaultRequest{Interface: "kv", StaleReads: on}, nil)
}
