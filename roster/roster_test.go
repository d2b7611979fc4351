package roster

import (
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"

	"github.com/lagoonhead/lagoonhead"
)

// outageTime is the time without a successful call from which failed calls are an outage.
const outageTime = time.Second

// Guards against live endpoints that are removed because the store was unreachable, and
// against endpoints that have left and are kept.
func TestScripts(t *testing.T) {
	raw, err := os.ReadFile("testdata/scripts.yaml")
	require.NoError(t, err)
	var cases []struct {
		Name  string
		Steps []struct {
			Op, Key string
			// Incarnation and Leaving are those of an endpoint that is put, or says that it leaves. Hold is the time in ms
			// for which departures hold after a restore.
			Incarnation string
			Leaving     bool
			Hold        int
			Ms          int
			// Want lists the endpoints, those that leave in brackets.
			Want *string
		}
	}
	require.NoError(t, yaml.Unmarshal(raw, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			r := New(outageTime)
			for i, s := range c.Steps {
				now := time.Duration(s.Ms) * time.Millisecond
				e := lagoonhead.NewEndpoint(lagoonhead.EndpointID(s.Key), lagoonhead.EndpointKindEngine, "m", "a:1", "d").
					WithIncarnation(lagoonhead.Incarnation(s.Incarnation)).WithLeaving(s.Leaving)
				switch s.Op {
				case "put":
					r.Put(s.Key, e)
				case "seed":
					r.Seed(s.Key, e)
				case "removed":
					r.Removed(now, s.Key)
				case "leaving":
					r.RecordLeaving(s.Key, e.Incarnation())
				case "unreadable":
					r.Unreadable(s.Key)
				case "restored":
					r.Restored(now, time.Duration(s.Hold)*time.Millisecond)
				case "lost":
					r.StoreLost()
				case "contact":
					r.Synced(now)
				case "settle":
					r.RemoveMissing(now)
				default:
					t.Fatalf("unknown operation %q", s.Op)
				}
				if s.Want != nil {
					list, _ := r.Endpoints()
					var ids []string
					for _, v := range list {
						id := string(v.ID())
						if v.Leaving() {
							id = "(" + id + ")"
						}
						ids = append(ids, id)
					}
					slices.Sort(ids)
					require.Equal(t, *s.Want, strings.Join(ids, " "), "step %d", i)
				}
			}
		})
	}
}

// Guards against an endpoint that loses its software version when its entry lapses, its process says
// that it leaves, or the store comes back from a copy.
func TestEndpointsKeepTheirSoftwareVersion(t *testing.T) {
	r := New(outageTime)
	e := lagoonhead.NewEndpoint("a", lagoonhead.EndpointKindEngine, "m", "a:1", "d").WithSoftware("v1")
	check := func() {
		t.Helper()
		list, _ := r.Endpoints()
		require.Len(t, list, 1)
		require.Equal(t, "v1", list[0].Software())
	}
	r.Seed("a", e)
	check()
	r.Put("a", e.WithLeaving(true))
	r.Restored(time.Second, time.Minute)
	r.Put("a", e)
	check()
	r.Synced(2 * time.Second)
	r.RemoveMissing(2 * time.Minute)
	check()
	require.True(t, r.RecordLeaving("a", e.Incarnation()))
	check()
	list, _ := r.Endpoints()
	require.True(t, list[0].Leaving())
}
