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
	// frontDeskKey and branchKey are the callers' keys of two workspaces.
	frontDeskKey = "lh-front-desk-0000000000000000"
	branchKey    = "lh-branch-00000000000000000000"
)

// idleLimit is the idle timeout of streams in the tests; the stand-in engines send a
// keep-alive every second.
const idleLimit = 3 * time.Second

// fleet is a platform, engines and daemons, each a process of its own.
type fleet struct {
	platform *process
	service  *process
	engines  []*process
	daemons  []*process
	network  *network
	// listeners are the addresses of the peer and then of the operator listeners.
	listeners []string
	// extra is added to the settings of daemons.
	extra string
	// resumeKey is the file of the key that all daemons share.
	resumeKey string
}

// newFleet starts a fleet and waits until every daemon is ready.
func newFleet(t *testing.T, engines, daemons int) *fleet {
	t.Helper()
	f := newPlatform(t, engines, daemons)
	for i := range daemons {
		f.daemons = append(f.daemons, f.startDaemon(t, i))
	}
	f.awaitReady(t)
	return f
}

// newPlatform starts everything but the daemons and applies the inventory.
func newPlatform(t *testing.T, engines, daemons int) *fleet {
	t.Helper()
	f := &fleet{
		platform: start(t, "platform", "platform"), service: start(t, "service", "bookings"),
		resumeKey: writeFile(t, "resume.key", strings.Repeat("ab", 32)),
		listeners: freePorts(t, 2*daemons),
	}
	for i := range engines {
		id := fmt.Sprintf("e%d", i+1)
		f.engines = append(f.engines, start(t, "engine", id, id))
	}
	f.apply(t, f.inventory(defaultQuota))
	f.network = newNetwork(t, f.platform, f.listeners[:daemons])
	return f
}

func (f *fleet) awaitReady(t *testing.T) {
	t.Helper()
	for _, d := range f.daemons {
		eventually(t, d.name+" ready", func() bool { return status(t, d.url()+"/readyz") == http.StatusOK })
	}
}

func vmName(i int) string { return fmt.Sprintf("vm%d", i+1) }

func domain(i int) string { return string(rune('a' + i%3)) }

func (f *fleet) startDaemon(t *testing.T, i int) *process {
	t.Helper()
	n := len(f.network.platform)
	file := writeFile(t, "settings.yaml", fmt.Sprintf(`
vm: {id: %s, failureDomain: %s, region: r}
listen: {caller: "127.0.0.1:0", peer: %q, operator: %q}
platform: {store: %[5]q, ordering: %[5]q, usage: %[5]q, vms: %[6]q}
resume: {keyFile: %[7]q}
drain: {lag: 200ms, max: 1m}
limits: {idleTimeout: %[8]s}
usage: {window: 2s}
%[9]s
`, vmName(i), domain(i), f.listeners[i], f.listeners[n+i], "http://"+f.network.platform[i].address(),
		f.network.lists[i].URL, f.resumeKey, idleLimit, f.extra))
	return start(t, "daemon", vmName(i), "-settings", file)
}

// operatorURL returns the base URL of a daemon's operator listener.
func (f *fleet) operatorURL(i int) string {
	return "http://" + f.listeners[len(f.network.platform)+i]
}

// defaultQuota is more than the tests use.
const defaultQuota = "rate: 100ktok/s, burst: 1000ktok"

// inventory returns an inventory of the fleet in YAML.
func (f *fleet) inventory(quota string) string {
	var b strings.Builder
	b.WriteString("failureDomains:\n")
	for i := range 3 {
		fmt.Fprintf(&b, "  - {id: %s, region: r}\n", domain(i))
	}
	b.WriteString("models:\n  - {id: reader}\nengines:\n")
	for i, e := range f.engines {
		fmt.Fprintf(&b, "  - {id: %s, model: reader, address: %q, failureDomain: %s, slots: 64, price: 1/h, fenced: %v}\n",
			e.name, e.url(), domain(i), e.name != "e3")
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

// apply makes the text the newest revision.
func (f *fleet) apply(t *testing.T, text string) {
	t.Helper()
	inv, err := inventory.Parse("inventory.yaml", []byte(text))
	require.NoError(t, err)
	f.commit(t, func(*inventory.Inventory) *inventory.Inventory { return inv })
}

// commit writes a revision to the store as a daemon does. It fails the test when
// another writer comes first.
func (f *fleet) commit(t *testing.T, edit func(*inventory.Inventory) *inventory.Inventory) {
	t.Helper()
	require.NoError(t, f.tryCommit(t, edit))
}

// commitRetry is commit next to daemons that write revisions of their own.
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
	var before *inventory.Manifest
	now := &inventory.Inventory{}
	e, err := kv.Get(t.Context(), config.ManifestKey)
	if err == nil {
		before, err = inventory.DecodeManifest(e.Value)
		require.NoError(t, err)
		now, err = inventory.Join(before, func(hash string) ([]byte, bool) {
			p, err := kv.Get(t.Context(), config.PartPrefix+hash)
			return p.Value, err == nil
		})
		require.NoError(t, err)
	}
	m, parts, err := inventory.Split(edit(now), before, "test", uuid.NewString())
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

// client is the published client of the API that callers use.
func client(p *process, key string) openai.Client {
	return openai.NewClient(option.WithBaseURL(p.url()+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
}

func question(text string, most int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     "reader",
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
		MaxTokens: openai.Int(most),
	}
}

func status(t *testing.T, url string) int {
	t.Helper()
	resp, err := http.Get(url) //nolint:noctx // The address is a child process on loopback.
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// outage begins or ends an outage of one interface of the platform.
func (f *fleet) outage(t *testing.T, name string, on bool) {
	t.Helper()
	post(t, f.platform.url()+fakeplatform.PathFaults, fakeplatform.FaultRequest{Interface: name, Outage: on}, nil)
}

// oldReads makes the store answer with the state before the newest write of each key,
// or ends that.
func (f *fleet) oldReads(t *testing.T, on bool) {
	t.Helper()
	post(t, f.platform.url()+fakeplatform.PathFaults, fakeplatform.FaultRequest{Interface: "kv", OldReads: on}, nil)
}
