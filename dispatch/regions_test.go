package dispatch

import (
	"context"
	"net/http"
	"net/url"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/catalog"
	"github.com/lagoonhead/lagoonhead/steer"
)

// Guards against a request that runs outside the regions of its route or of its workspace, and
// against one that waits or counts as run when the regions have no endpoint.
func TestRequestsStayInTheirRegions(t *testing.T) {
	route := func(name string, regions ...string) catalog.Route {
		return catalog.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Shares: []catalog.Share{{Service: scriptService, Weight: 1}}, MaxAttempts: 2,
			Regions: lagoonhead.LimitRegions(regions),
		}
	}
	for _, c := range []struct{ route, key, want string }{
		{"any", "north", "a"}, {"north", "any", "a"}, {"both", "south", "b"}, {"north", "north", "a"}, {"north", "south", ""}, {"west", "any", ""},
	} {
		sender := &scriptedSender{t: t, script: []scriptedSend{{Status: http.StatusOK}}}
		at := &recordingSender{scriptedSender: sender}
		d := scriptedDispatcher(at)
		d.Catalogs = fixedCatalog{catalog.New(catalog.Spec{
			Version: 1, Routes: []catalog.Route{route("any"), route("north", "north"), route("both", "north", "south"), route("west", "west")},
			Workspaces: []catalog.Workspace{
				{ID: "w1", Keys: []string{"any"}}, {ID: "w2", Keys: []string{"north"}, Regions: lagoonhead.LimitRegions([]string{"north"})},
				{ID: "w3", Keys: []string{"south"}, Regions: lagoonhead.LimitRegions([]string{"south"})},
			},
		})}
		var list []lagoonhead.Endpoint
		for id, region := range map[lagoonhead.EndpointID]string{"a": "north", "b": "south", "c": ""} {
			list = append(list, lagoonhead.NewEndpoint(id, lagoonhead.EndpointKindService, scriptService, string(id)+":1", "x").WithRegion(region))
		}
		d.WithBoard(func(b *steer.Board) { b.SetEndpoints(list, func(string) int { return 0 }) })
		u, err := url.Parse("http://h/" + c.route + "/x")
		require.NoError(t, err)
		err = d.Serve(t.Context(), &Call{ID: "r", Method: http.MethodPost, Host: "h", URL: u, Key: c.key}, &recordingSink{})
		require.Equal(t, c.want, at.last)
		if c.want == "" {
			require.True(t, lagoonhead.IsKind(err, lagoonhead.KindUnavailable))
			require.True(t, NotRun(err))
			require.GreaterOrEqual(t, RetryAfter(err), versionRetryAfter)
			require.Equal(t, "1", d.vars.outsideRegions.String())
			continue
		}
		require.NoError(t, err)
	}
}

// recordingSender records the endpoint of the last send.
type recordingSender struct {
	*scriptedSender
	last string
}

func (s *recordingSender) Send(ctx context.Context, a *lagoonhead.Attempt) (*lagoonhead.Answer, error) {
	s.last = string(a.Endpoint.ID())
	return s.scriptedSender.Send(ctx, a)
}
