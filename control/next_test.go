package control

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"

	"github.com/lagoonhead/lagoonhead"
)

// Guards against a role order to an engine that still runs requests or may still receive
// some, and against a second order to an incarnation of an engine without fencing.
func TestNext(t *testing.T) {
	raw, err := os.ReadFile("testdata/next.yaml")
	require.NoError(t, err)
	var cases []struct {
		Name      string
		Reported  *bool
		Role      lagoonhead.Role
		Changing  bool
		Confirmed bool
		InFlight  int `yaml:"inFlight"`
		Running   int
		Others    int
		Unfenced  bool
		Spent     bool
		Want      Verb
	}
	require.NoError(t, yaml.Unmarshal(raw, &cases))
	for _, c := range cases {
		e := lagoonhead.NewEndpoint("e", lagoonhead.EndpointKindEngine, "m", "http://127.0.0.1:1", "a")
		v := EngineView{
			Endpoint: e.WithFenced(!c.Unfenced), Wanted: lagoonhead.RoleDecode,
			Changing: c.Changing, Confirmed: c.Confirmed, InFlight: c.InFlight,
			OthersChanging: c.Others, OrderUsed: c.Spent, Reported: c.Reported == nil || *c.Reported,
			Report: lagoonhead.LoadReport{Role: lagoonhead.RolePrefill, Running: c.Running},
		}
		if c.Role != "" {
			v.Report.Role = c.Role
		}
		require.Equal(t, c.Want, Next(v).Verb, c.Name)
	}
}
