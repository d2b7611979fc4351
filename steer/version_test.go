package steer

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"

	"github.com/lagoonhead/lagoonhead"
)

type versionCase struct {
	Name          string
	Engines, Gone map[string]string
	Version       *string
	Avoid         []lagoonhead.EndpointID
	Want          struct {
		Prefill, Run []lagoonhead.EndpointID
		Room         bool
		Only         *string
		LimitWait    bool `yaml:"limitWait"`
	}
}

// scriptedEngines returns engines as a script describes them, and the flags of each.
func scriptedEngines(t *testing.T, script map[string]string) (list []lagoonhead.Endpoint, flags map[lagoonhead.EndpointID]string) {
	t.Helper()
	flags = make(map[lagoonhead.EndpointID]string)
	for id, text := range script {
		words := strings.SplitN(text, " ", 3)
		e := engineAt(id, lagoonhead.Role(words[1])).WithSoftware(words[0])
		if len(words) > 2 {
			flags[e.ID()] = words[2]
		}
		list = append(list, e.WithLeaving(flags[e.ID()] == "leaving"))
	}
	return list, flags
}

// scriptedBoard returns a board with the engines of a case in the state that their flags describe.
func scriptedBoard(t *testing.T, c versionCase) *Board {
	t.Helper()
	gone, _ := scriptedEngines(t, c.Gone)
	list, flags := scriptedEngines(t, c.Engines)
	b := newBoard(gone)
	b.SetEndpoints(list, cacheCapacity)
	for _, e := range list {
		switch flags[e.ID()] {
		case "", "leaving":
		case "full":
			b.AddRunning(e, e.Slots())
		case "crowded":
			b.AddRunning(e, 100*e.Slots())
		case "failing":
			b.RecordResult(now, e, Unreachable)
		case "limited":
			require.True(t, b.SetLimit(now, e, 1))
		case "cached":
			b.AddCached(now, e, long("part0"))
		default:
			t.Fatalf("unknown flag %q", flags[e.ID()])
		}
	}
	return b
}

// Guards against streams that hold events of two software versions, against KV caches that are moved
// between versions, and against prompts that are prefilled where no engine can run them.
func TestVersions(t *testing.T) {
	raw, err := os.ReadFile("testdata/versions.yaml")
	require.NoError(t, err)
	var cases []versionCase
	require.NoError(t, yaml.Unmarshal(raw, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			b := scriptedBoard(t, c)
			var pin lagoonhead.VersionPin
			if c.Version != nil {
				pin = lagoonhead.PinVersion(*c.Version)
			}
			software, ok := b.OnlyVersion(model)
			require.Equal(t, c.Want.Only != nil, ok)
			if ok {
				require.Equal(t, *c.Want.Only, software)
			}
			run := RunRequest{Service: model, Near: "x", Avoid: c.Avoid, Version: pin}
			require.Equal(t, c.Want.Room, b.HasRoom(now, run))
			require.Equal(t, c.Want.LimitWait, b.LimitWait(now, model, pin, lagoonhead.RegionSet{}) > 0)
			for i := range 60 {
				r := prefillRequest(long("part" + strconv.Itoa(i)))
				r.Avoid, r.Version = c.Avoid, pin
				v, ok := b.PickPrefill(now, r)
				require.Equal(t, len(c.Want.Prefill) > 0, ok)
				if ok {
					require.Contains(t, c.Want.Prefill, v.Endpoint.ID())
					b.BeginPrefill(v)
				}
				b.Spread = i%2 == 1
				e, ok := b.PickRun(now, run)
				require.Equal(t, len(c.Want.Run) > 0, ok)
				if ok {
					require.Contains(t, c.Want.Run, e.ID())
				}
				if !ok || c.Want.LimitWait {
					continue
				}
				_, reserved, ok := b.ReserveRun(now, run)
				require.True(t, ok)
				require.False(t, reserved, "an engine without a limit is there")
			}
		})
	}
}

// Guards against a run behind a prefill that is reserved at an engine of another software version,
// which cannot use the KV cache.
func TestARunIsReservedAtTheVersionOfItsPrefill(t *testing.T) {
	b := scriptedBoard(t, versionCase{Engines: map[string]string{"p": "v1 prefill", "a": "v1 decode", "b": "v1.1 decode"}})
	later := now + 10e9
	require.True(t, b.SetLimit(now, b.targets["a"].endpoint, 1))
	require.False(t, b.allows(now, b.targets["a"]))
	r := RunRequest{Service: model, Near: "x", Version: lagoonhead.PinVersion("v1")}
	_, _, ok := b.ReserveRun(now, r)
	require.False(t, ok, "an engine of another version without a limit does not help")
	e, reserved, ok := b.ReserveRun(later, r)
	require.True(t, ok)
	require.True(t, reserved)
	require.Equal(t, lagoonhead.EndpointID("a"), e.ID())
}

// Guards against work of an endpoint that counts for one that has another software version under the
// same identifier.
func TestAnotherVersionIsAnotherProcess(t *testing.T) {
	old := engineAt("a", lagoonhead.RoleDecode).WithSoftware("v1")
	b := newBoard([]lagoonhead.Endpoint{old})
	b.RecordResult(now, old, Unreachable)
	b.SetEndpoints([]lagoonhead.Endpoint{old.WithSoftware("v1.1")}, cacheCapacity)
	require.False(t, b.StartReserved(now, old))
	require.True(t, b.StartReserved(now, old.WithSoftware("v1.1")))
}

// Guards against another writer's entries that make the memory for versions grow without a bound.
func TestVersionsOfFewServicesAreKept(t *testing.T) {
	b := newBoard(nil)
	for i := range 2 * maxVersionServices {
		e := lagoonhead.NewEndpoint("a", lagoonhead.EndpointKindEngine, strconv.Itoa(i), "a:1", "x").WithSoftware("v1")
		b.SetEndpoints([]lagoonhead.Endpoint{e}, cacheCapacity)
	}
	require.LessOrEqual(t, len(b.versions), maxVersionServices)
	_, ok := b.OnlyVersion(strconv.Itoa(2*maxVersionServices - 1))
	require.False(t, ok)
}
