package dispatch

import (
	"context"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/catalog"
)

// Check finds the route and the workspace of a call, whose body may be missing. An error is the one
// that Serve would return, and is counted and logged as that of Serve. The workspace is empty if the
// route needs no key.
func (d *Dispatcher) Check(ctx context.Context, c *Call) (lagoonhead.WorkspaceID, error) {
	d.init()
	_, _, w, err := d.lookUp(c)
	if err != nil {
		d.vars.calls.Add(1)
		d.recordOutcome(ctx, nil, c, err)
		return "", err
	}
	if w == nil {
		return "", nil
	}
	return w.ID, nil
}

// lookUp finds the route and the workspace of a call. The workspace is nil if the route needs no key.
func (d *Dispatcher) lookUp(c *Call) (*catalog.Catalog, *catalog.Route, *catalog.Workspace, error) {
	cat := d.Catalogs.Catalog()
	if cat == nil {
		e := failf("open", lagoonhead.KindUnavailable, "there is no configuration yet")
		e.retryAfter = noConfigRetryAfter
		return nil, nil, nil, e
	}
	rt := cat.Route(c.Host, c.URL.EscapedPath())
	if rt == nil {
		return nil, nil, nil, failf("open", lagoonhead.KindNotFound, "no route for %s%s", c.Host, c.URL.EscapedPath())
	}
	if rt.NoAPIKey {
		return cat, rt, nil, nil
	}
	w := cat.WorkspaceByKey(c.Key)
	if w == nil {
		return nil, nil, nil, failf("open", lagoonhead.KindUnauthenticated, "the key is not known")
	}
	return cat, rt, w, nil
}
