package inventory

import (
	"crypto/sha256"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
)

// generate returns an inventory of 15 failure domains and 18 models with the given
// numbers of workspaces, of three keys each, and engines.
func generate(workspaces, engines int) *Inventory {
	inv := &Inventory{Planner: Planner{Interval: defaultInterval}}
	for i := range 15 {
		d := FailureDomain{ID: lagoonhead.FailureDomain(fmt.Sprintf("fd-%02d", i)), Region: "r"}
		inv.FailureDomains = append(inv.FailureDomains, d)
	}
	for i := range 18 {
		inv.Models = append(inv.Models, Model{ID: fmt.Sprintf("model-%02d", i)})
	}
	for i := range engines {
		inv.Engines = append(inv.Engines, Engine{
			ID: lagoonhead.EndpointID(fmt.Sprintf("engine-%05d", i)), Model: inv.Models[i%18].ID,
			Address:       fmt.Sprintf("http://10.0.%d.%d:9000", i/250, i%250),
			FailureDomain: inv.FailureDomains[i%15].ID, Role: lagoonhead.RoleMixed,
			Supply: lagoonhead.SupplyFirm, Slots: 32, Price: 2.5, PrefillRate: 9000, DecodeRate: 1400,
		})
	}
	for i := range workspaces {
		w := Workspace{ID: lagoonhead.WorkspaceID(fmt.Sprintf("workspace-%05d", i)), Rate: 2000, Burst: 60000, Weight: 1}
		for j := range 3 {
			k := Key{ID: fmt.Sprintf("key-%05d-%d", i, j), Label: "front desk", SHA256: sha256.Sum256([]byte(keyText(i, j)))}
			w.Keys = append(w.Keys, k)
		}
		inv.Workspaces = append(inv.Workspaces, w)
	}
	return inv
}

func keyText(i, j int) string { return fmt.Sprintf("key %d %d", i, j) }

// bodyLookup adds the parts to known and returns a lookup of bodies in known by hash.
func bodyLookup(known map[string][]byte, parts []Part) func(string) ([]byte, bool) {
	for _, p := range parts {
		known[p.Hash] = p.Body
	}
	return func(h string) ([]byte, bool) { b, ok := known[h]; return b, ok }
}

// Guards against parts that are too large, unchanged parts that are written again,
// and a joined inventory that differs from the one that was split.
func TestSplitAndJoin(t *testing.T) {
	inv := generate(6400, 2500)
	m, parts, err := Split(inv, nil, "vm1", "n1")
	require.NoError(t, err)
	require.Len(t, parts, len(m.Parts))
	for _, p := range parts {
		require.Less(t, len(p.Body), lagoonhead.MaxValueBytes)
	}
	encoded, err := m.Encode()
	require.NoError(t, err)
	require.Less(t, len(encoded), lagoonhead.MaxValueBytes)
	known := make(map[string][]byte)
	joined, err := Join(m, bodyLookup(known, parts))
	require.NoError(t, err)
	require.Equal(t, inv.Normalize(), joined)

	_, err = joined.WithdrawKey("key-00007-1")
	require.NoError(t, err)
	next, changed, err := Split(joined, m, "vm1", "n2")
	require.NoError(t, err)
	require.Len(t, changed, 1)
	require.EqualValues(t, 2, next.Revision)
	require.Len(t, next.Retired, 1)
	again, err := Join(next, bodyLookup(known, changed))
	require.NoError(t, err)
	require.Equal(t, joined, again)
	t.Logf("%d parts, manifest %d bytes, changed part %d bytes", len(m.Parts), len(encoded), len(changed[0].Body))
}

// Guards against missing, damaged and oversized parts and unknown manifest formats
// that are accepted.
func TestJoinFaults(t *testing.T) {
	m, parts, err := Split(sample(t), nil, "vm1", "n1")
	require.NoError(t, err)
	_, err = Join(m, func(string) ([]byte, bool) { return nil, false })
	require.True(t, lagoonhead.IsKind(err, lagoonhead.KindNotFound))
	parts[0].Body = append(parts[0].Body, ' ')
	_, err = Join(m, bodyLookup(map[string][]byte{}, parts))
	require.True(t, lagoonhead.IsKind(err, lagoonhead.KindInvalid))
	_, err = DecodeManifest([]byte(`{"format":2,"revision":1}`))
	require.True(t, lagoonhead.IsKind(err, lagoonhead.KindInvalid))
	inv := sample(t)
	inv.Workspaces[0].Keys = make([]Key, 13000)
	_, _, err = Split(inv, nil, "vm1", "n1")
	require.True(t, lagoonhead.IsKind(err, lagoonhead.KindExhausted))
}

// Guards against a writer that got no reply and wrongly concludes that its commit
// failed, and against deleting a part that the current manifest lists.
func TestHistoryAndRetiredParts(t *testing.T) {
	inv := sample(t)
	var m *Manifest
	written := make(map[string]bool)
	for i := range 200 {
		require.NoError(t, inv.SetLeaving("e1", i%2 == 0))
		next, parts, err := Split(inv, m, "vm1", fmt.Sprint("nonce", i))
		require.NoError(t, err)
		for _, p := range parts {
			written[p.Hash] = true
		}
		m = next
		for _, h := range m.Deletable() {
			delete(written, h)
		}
		for _, p := range m.Parts {
			require.True(t, written[p.Hash], "revision %d lists a deleted part", m.Revision)
		}
	}
	require.Less(t, len(written), 100)
	done, known := m.Committed("nonce180", 180)
	require.True(t, done && known)
	done, known = m.Committed("other", 190)
	require.True(t, !done && known)
	_, known = m.Committed("other", 3)
	require.False(t, known)
}

// Guards against differences that are missing or misrepresented, and against edits
// of unknown endpoints, workspaces and keys that report no error.
func TestDiff(t *testing.T) {
	a, b := sample(t), sample(t)
	require.Empty(t, Diff(a, b))
	require.NoError(t, b.SetLeaving("b1", true))
	require.NoError(t, b.SetLeaving("e2", false))
	require.NoError(t, b.SetDesiredRole("e2", ""))
	require.NoError(t, b.AddKey("kesklinn", Key{ID: "k2"}))
	_, err := b.WithdrawKey("k1")
	require.NoError(t, err)
	b.Workspaces[1].Rate = 750
	b.Rules[0], b.Rules[1] = b.Rules[1], b.Rules[0]
	b.Planner.Bounds[0].Max = 9
	b.Services[0].Routes[0].IdempotencyKeyRequired = false
	require.Equal(t, []string{
		"~ services booking routes POST /reservations: keyRequired true -> false",
		"- workspaces sadam keys k1",
		"~ workspaces kesklinn: rate 500tok/s -> 750tok/s",
		"+ workspaces kesklinn keys k2: id k2",
		"~ rules: order is now reading, night tagging",
		"- endpointStates e2",
		"+ endpointStates b1: endpoint b1, leaving true",
		"~ planner bounds tll-b/floorReader/reclaimable: max 6 -> 9",
	}, Diff(a, b))
	require.Contains(t, strings.Join(Diff(&Inventory{}, a), "\n"), "+ workspaces sadam keys k1: id k1, label front desk")
	require.True(t, lagoonhead.IsKind(b.SetLeaving("x", true), lagoonhead.KindNotFound))
	require.True(t, lagoonhead.IsKind(b.SetDesiredRole("b1", "decode"), lagoonhead.KindNotFound))
	require.True(t, lagoonhead.IsKind(b.AddKey("x", Key{}), lagoonhead.KindNotFound))
	_, err = b.WithdrawKey("k1")
	require.True(t, lagoonhead.IsKind(err, lagoonhead.KindNotFound))
}

var sizes = []struct{ workspaces, engines int }{{100, 50}, {1600, 625}, {6400, 2500}}

// retainedBytes returns the heap memory in bytes that the result of build retains.
func retainedBytes(build func() any) float64 {
	used := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	before := used()
	v := build()
	after := used()
	runtime.KeepAlive(v)
	return after - before
}

// compiledBytes returns the heap memory in bytes that a Directory retains, including the
// strings that it shares with its inventory. Each workspace has the given number of
// keys, at most three.
func compiledBytes(workspaces, engines, keys int) float64 {
	return retainedBytes(func() any {
		inv := generate(workspaces, engines)
		for i := range inv.Workspaces {
			inv.Workspaces[i].Keys = inv.Workspaces[i].Keys[:keys]
		}
		return Compile(inv, 1)
	})
}

// BenchmarkCompile measures the time of Compile and the memory of its result. The
// memory per element is the difference between results with and without the elements,
// divided by their number.
func BenchmarkCompile(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("workspaces=%d/engines=%d", s.workspaces, s.engines), func(b *testing.B) {
			inv := generate(s.workspaces, s.engines)
			for b.Loop() {
				_ = Compile(inv, 1)
			}
			empty, without := compiledBytes(0, 0, 0), compiledBytes(s.workspaces, 0, 0)
			b.ReportMetric((compiledBytes(0, s.engines, 0)-empty)/float64(s.engines), "B/engine")
			b.ReportMetric((without-empty)/float64(s.workspaces), "B/workspace")
			b.ReportMetric((compiledBytes(s.workspaces, 0, 3)-without)/float64(3*s.workspaces), "B/key")
			b.ReportMetric(compiledBytes(s.workspaces, s.engines, 3)/1024, "KiB-total")
		})
	}
}

// BenchmarkJoin measures Join and Compile of the first revision (cold) and of a later
// revision that changes one part (edit).
func BenchmarkJoin(b *testing.B) {
	for _, s := range sizes {
		first, parts, err := Split(generate(s.workspaces, s.engines), nil, "vm1", "n")
		require.NoError(b, err)
		body := bodyLookup(make(map[string][]byte), parts)
		b.Run(fmt.Sprintf("cold/workspaces=%d/engines=%d", s.workspaces, s.engines), func(b *testing.B) {
			for b.Loop() {
				inv, err := Join(first, body)
				require.NoError(b, err)
				_ = Compile(inv, first.Revision)
			}
			b.ReportMetric(retainedBytes(func() any {
				var j Joiner
				inv, _ := j.Join(first, body)
				return []any{&j, inv}
			})/1024, "KiB-decoded")
		})
		b.Run(fmt.Sprintf("edit/workspaces=%d/engines=%d", s.workspaces, s.engines), func(b *testing.B) {
			var j Joiner
			_, err := j.Join(first, body)
			require.NoError(b, err)
			changed := ""
			for _, ref := range first.Parts {
				if ref.Kind == PartWorkspaces {
					changed = ref.Hash
				}
			}
			for b.Loop() {
				delete(j.decoded, changed)
				inv, err := j.Join(first, body)
				require.NoError(b, err)
				_ = Compile(inv, first.Revision)
			}
		})
	}
}

// BenchmarkParse measures Parse, which the daemon that commits an edit runs to
// validate it.
func BenchmarkParse(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("workspaces=%d/engines=%d", s.workspaces, s.engines), func(b *testing.B) {
			text, err := Format(generate(s.workspaces, s.engines))
			require.NoError(b, err)
			b.SetBytes(int64(len(text)))
			for b.Loop() {
				_, err := Parse("bench", text)
				require.NoError(b, err)
			}
		})
	}
}

// BenchmarkAuthenticate measures the lookup of a key among 19,200.
func BenchmarkAuthenticate(b *testing.B) {
	d := Compile(generate(6400, 0), 1)
	key := keyText(4711, 1)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = d.Authenticate(key)
	}
}
