package control

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/inventory"
)

const syncInventory = `
failureDomains: [{id: a, region: r}, {id: b, region: r}]
models: [{id: m}]
engines:
  - {id: declared, model: m, address: "http://127.0.0.1:1", failureDomain: a, slots: 8, price: 2/h}
  - {id: cheap, model: m, address: "http://127.0.0.1:2", failureDomain: a, slots: 4, price: 1/h, supply: reclaimable, ordered: true}
  - {id: drained, model: m, address: "http://127.0.0.1:3", failureDomain: b, slots: 4, price: 1/h, supply: reclaimable, ordered: true}
endpointStates: [{endpoint: drained, leaving: true}]
`

// Guards against an engine that gets requests although the platform reclaims it, an
// ordered engine that is never added, and a declared engine that is removed.
func TestSync(t *testing.T) {
	raw, err := os.ReadFile("testdata/sync.yaml")
	require.NoError(t, err)
	var cases []struct {
		Name   string
		Listed []struct {
			ID      lagoonhead.EndpointID
			Domain  lagoonhead.FailureDomain
			Serves  string
			Ready   bool
			Leaving bool
		}
		Want []string
	}
	require.NoError(t, yaml.Unmarshal(raw, &cases))
	for _, c := range cases {
		inv, err := inventory.Parse("sync.yaml", []byte(syncInventory))
		require.NoError(t, err)
		var list []lagoonhead.PlatformEndpoint
		for _, e := range c.Listed {
			list = append(list, lagoonhead.PlatformEndpoint{
				ID: e.ID, FailureDomain: e.Domain, Serves: e.Serves, Ready: e.Ready, Leaving: e.Leaving,
				Supply: lagoonhead.SupplyReclaimable, Address: "http://127.0.0.1:9",
			})
		}
		next, changes := Sync(inv, list)
		require.Equal(t, c.Want, changes, c.Name)
		if next != nil {
			require.NoError(t, inventory.Validate(next), c.Name)
		}
	}
}
