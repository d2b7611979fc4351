package main

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/fakeplatform"
	"github.com/lagoonhead/lagoonhead/inventory"
	"github.com/lagoonhead/lagoonhead/platform"
	"github.com/lagoonhead/lagoonhead/store"
	"github.com/lagoonhead/lagoonhead/vmlist"
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
	// resumeKey is the file of the key that all daemons share.
	resumeKey string
}

// newFleet starts a fleet and waits until every daemon is ready.
func newFleet(t *testing.T, engines, daemons int) *fleet {
	t.Helper()
	f := &fleet{
		platform: start(t, "platform", "platform"), service: start(t, "service", "bookings"),
		resumeKey: writeFile(t, "resume.key", strings.Repeat("ab", 32)),
	}
	for i := range engines {
		id := fmt.Sprintf("e%d", i+1)
		f.engines = append(f.engines, start(t, "engine", id, id))
	}
	f.apply(t, f.inventory())
	peers := freePorts(t, 2*daemons)
	for i := range daemons {
		f.list(t, i, peers[i])
	}
	for i := range daemons {
		f.daemons = append(f.daemons, f.startDaemon(t, i, peers[i], peers[daemons+i]))
	}
	for _, d := range f.daemons {
		eventually(t, d.name+" ready", func() bool { return status(t, d.url()+"/readyz") == http.StatusOK })
	}
	return f
}

func vmName(i int) string { return fmt.Sprintf("vm%d", i+1) }

func domain(i int) string { return string(rune('a' + i%3)) }

func (f *fleet) list(t *testing.T, i int, peer string) {
	t.Helper()
	post(t, f.platform.url()+"/vms/set", vmlist.VMMessage{
		ID: lagoonhead.VMID(vmName(i)), FailureDomain: lagoonhead.FailureDomain(domain(i)), PeerAddress: peer,
	}, nil)
}

func (f *fleet) startDaemon(t *testing.T, i int, peer, operator string) *process {
	t.Helper()
	file := writeFile(t, "settings.yaml", fmt.Sprintf(`
vm: {id: %s, failureDomain: %s, region: r}
listen: {caller: "127.0.0.1:0", peer: %q, operator: %q}
platform: {store: %[5]q, ordering: %[5]q, usage: %[5]q, vms: %[5]q}
resume: {keyFile: %q}
drain: {lag: 200ms, max: 1m}
limits: {idleTimeout: %s}
`, vmName(i), domain(i), peer, operator, f.platform.url(), f.resumeKey, idleLimit))
	return start(t, "daemon", vmName(i), "-settings", file)
}

// inventory returns an inventory of the fleet in YAML.
func (f *fleet) inventory() string {
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
		fmt.Fprintf(&b, "  - {id: %s, rate: 100ktok/s, burst: 1000ktok, keys: [{id: %s-key, sha256: %x}]}\n",
			w.id, w.id, sha256.Sum256([]byte(w.key)))
	}
	return b.String()
}

func (f *fleet) apply(t *testing.T, text string) {
	t.Helper()
	inv, err := inventory.Parse("inventory.yaml", []byte(text))
	require.NoError(t, err)
	m, parts, err := inventory.Split(inv, nil, "test", "n1")
	require.NoError(t, err)
	kv := &store.Client{Platform: platform.Client{BaseURL: f.platform.url()}}
	for _, p := range parts {
		_, err := kv.Put(t.Context(), lagoonhead.PutRequest{Key: "config/part/" + p.Hash, Value: p.Body})
		require.NoError(t, err)
	}
	raw, err := m.Encode()
	require.NoError(t, err)
	_, err = kv.Put(t.Context(), lagoonhead.PutRequest{Key: "config/manifest", Value: raw})
	require.NoError(t, err)
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
