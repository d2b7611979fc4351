package dispatch

import (
	"context"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/steer"
)

// versionRetryAfter is the retry delay for callers who take up a stream whose software version is
// not known or has no endpoint: a VM that knows it, or an endpoint, is back in a second or later.
const versionRetryAfter = time.Second

// findVersion binds a request that takes a stream up to the software version at which the stream
// began. An unknown version is an error of KindUnavailable.
func (r *request) findVersion(ctx context.Context) error {
	if !r.route.Streaming || r.call.LastEventID == "" {
		return nil
	}
	r.takeUp = true
	r.vars.takeUps.Add(1)
	software, source, ok := r.lookUpVersion(ctx)
	if !ok {
		r.vars.takeUpsUnknown.Add(1)
		e := failf("takeUp", lagoonhead.KindUnavailable, "the software version of %s at which the stream of request %s began is not known", r.service, r.call.Resumes)
		if r.call.Resumes == "" {
			e = failf("takeUp", lagoonhead.KindUnavailable, "the caller names no stream, and more than one software version of %s, or none, was seen", r.service)
		}
		e.retryAfter = versionRetryAfter
		return e
	}
	r.version = lagoonhead.PinVersion(software)
	r.addStep("takes up the stream of request %s behind event %s, %s, learnt from %s", r.call.Resumes, r.call.LastEventID, r.version, source)
	return nil
}

// lookUpVersion returns the software version at which the stream that the caller takes up began, and
// where that was learnt. On a route with several services it also chooses the service at which the
// stream began: one that knows the stream, if there is one.
func (r *request) lookUpVersion(ctx context.Context) (software, source string, ok bool) {
	if r.Versions == nil || r.call.Resumes == "" || !r.route.Resumable {
		r.WithBoard(func(b *steer.Board) { software, ok = b.OnlyVersion(r.service) })
		return software, "endpoints, which have had one version", ok
	}
	service := r.service
	software, source, ok = r.Versions.Find(ctx, service, r.call.Resumes)
	for _, s := range r.route.Shares {
		if ok && source != lagoonhead.SourceOnlyVersion {
			break
		}
		if s.Service == r.service || s.Weight <= 0 {
			continue
		}
		v, from, found := r.Versions.Find(ctx, s.Service, r.call.Resumes)
		if found && (!ok || from != lagoonhead.SourceOnlyVersion) {
			software, source, ok, service = v, from, true, s.Service
		}
	}
	if service != r.service {
		r.service = service
		r.demand = r.newDemand(r)
	}
	return software, source, ok
}

// beginVersion binds a stream to the software version of the endpoint that has sent its first event.
// It is called before the caller gets the event. A stream on a route that is not resumable can't be
// taken up, so its version is not remembered.
func (r *request) beginVersion(ctx context.Context, e lagoonhead.Endpoint) {
	if r.started || r.takeUp {
		return
	}
	r.version = lagoonhead.PinVersion(e.Software())
	if r.Versions == nil || !r.route.Resumable {
		return
	}
	began := r.Timer.Now()
	r.Versions.Begin(ctx, r.service, r.call.ID, e.Software())
	r.addStep("the version was told to other VMs in %s", (r.Timer.Now() - began).Round(100*time.Microsecond))
}
