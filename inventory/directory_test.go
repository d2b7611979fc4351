package inventory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
)

// Guards against a Directory that differs from its inventory.
func TestCompile(t *testing.T) {
	d := Compile(sample(t), 7)
	require.EqualValues(t, 7, d.Revision())
	require.Equal(t, []string{"floorReader", "tagger"}, d.Models())
	engines := d.Endpoints(lagoonhead.EndpointKindEngine, "floorReader")
	require.Len(t, engines, 2)
	require.Equal(t, lagoonhead.RolePrefill, engines[0].Role())
	require.True(t, engines[0].Fenced())
	require.True(t, engines[1].Leaving())
	require.Equal(t, lagoonhead.RoleDecode, engines[1].Role())
	require.Equal(t, lagoonhead.SupplyReclaimable, engines[1].Supply())
	require.Len(t, d.Endpoints(lagoonhead.EndpointKindService, "booking"), 1)
	require.Empty(t, d.Endpoints(lagoonhead.EndpointKindService, "floorReader"))
	q, ok := d.Quota("sadam")
	require.True(t, ok)
	require.Equal(t, lagoonhead.Quota{Rate: 2000, Burst: 60000}, q)
	require.Equal(t, 3, d.Weight("sadam"))
	require.InDelta(t, 2.4, engines[0].Price(), 0)
	inv := sample(t)
	require.NoError(t, inv.SetChanging("e1", true))
	d = Compile(inv, 8)
	require.True(t, d.Changing("e1") && !d.Changing("e2"))
	require.True(t, d.Endpoints(lagoonhead.EndpointKindEngine, "floorReader")[0].Leaving())
	require.Equal(t, "night tagging", d.Rule("sadam", "tagger").Name)
	require.Equal(t, DefaultRule, d.Rule("kesklinn", "tagger").Name)
	require.Equal(t, 1500*time.Millisecond, d.Rule("", "floorReader").Deadline)
}

// Guards against a key that is accepted in place of a similar one, and against
// allocation on every request.
func TestAuthenticate(t *testing.T) {
	d := Compile(sample(t), 1)
	w, err := d.Authenticate("password")
	require.NoError(t, err)
	require.EqualValues(t, "sadam", w)
	for _, key := range []string{"", "Password", "password\x00", string(make([]byte, maxKeyBytes+1))} {
		_, err := d.Authenticate(key)
		require.True(t, lagoonhead.IsKind(err, lagoonhead.KindUnauthenticated))
	}
	require.Zero(t, testing.AllocsPerRun(100, func() {
		_, _ = d.Authenticate("password")
		_, _ = d.Authenticate("unknown")
	}))
}

// Guards against a path that reaches an endpoint under another route, whose access
// rules differ.
func TestServiceRoute(t *testing.T) {
	d := Compile(sample(t), 1)
	for _, c := range []struct {
		method, path string
		ok, open     bool
	}{
		{"POST", "/reservations", true, false},
		{"POST", "/reservations/", false, false},
		{"GET", "/reservations", false, false},
		{"GET", "/availability/crate7", true, true},
		{"GET", "/availability/today", true, false},
		{"GET", "/availability/..", false, false},
		{"GET", "/availability//", false, false},
		{"GET", "/availability", false, false},
		{"GET", "/availability/a/b", false, false},
		{"GET", "/files/a/b", true, false},
		{"GET", "/files/a/../b", false, false},
		{"GET", "/files/a/", false, false},
		{"GET", "/files/", false, false},
		{"GET", "files/a", false, false},
	} {
		r, ok := d.ServiceRoute("booking", c.method, c.path)
		require.Equal(t, c.ok, ok, "%s %s", c.method, c.path)
		require.Equal(t, c.open, r.NoAPIKey, "%s %s", c.method, c.path)
	}
	_, ok := d.ServiceRoute("loans", "GET", "/")
	require.False(t, ok)
}
