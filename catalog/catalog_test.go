package catalog

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"

	"github.com/lagoonhead/lagoonhead"
)

// Guards against a request that is matched to a route of another prefix or host.
func TestRoute(t *testing.T) {
	raw, err := os.ReadFile("testdata/routes.yaml")
	require.NoError(t, err)
	var cases []struct{ Name, Host, Path, Want string }
	require.NoError(t, yaml.Unmarshal(raw, &cases))
	c := New(Spec{Version: 1, Routes: []Route{
		{Name: "shallow", Host: "a.example", Prefix: "/x/"},
		{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}})
	for _, v := range cases {
		t.Run(v.Name, func(t *testing.T) {
			got := ""
			if r := c.Route(v.Host, v.Path); r != nil {
				got = r.Name
			}
			require.Equal(t, v.Want, got)
		})
	}
}

// Guards against a key that is attributed to another workspace, and against a quota for
// a workspace that has none.
func TestWorkspaces(t *testing.T) {
	c := New(Spec{Workspaces: []Workspace{
		{ID: "a", Keys: []string{"k1", "k2"}, Quota: lagoonhead.Quota{Rate: 5, Burst: 7}},
		{ID: "b", Keys: []string{"k3"}},
	}})
	require.Equal(t, lagoonhead.WorkspaceID("a"), c.WorkspaceByKey("k2").ID)
	require.Equal(t, lagoonhead.WorkspaceID("b"), c.WorkspaceByKey("k3").ID)
	require.Nil(t, c.WorkspaceByKey(""))
	q, ok := c.Quota("a")
	require.True(t, ok)
	require.Equal(t, int64(7), q.Burst)
	_, ok = c.Quota("b")
	require.False(t, ok)
}
