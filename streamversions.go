package lagoonhead

import "context"

// StreamVersions remembers at which software version of a service each stream began.
type StreamVersions interface {
	// Begin records that the stream of request id begins at the software version. It is called before the caller gets the first event, and returns once enough other VMs know it or after a short bound.
	Begin(ctx context.Context, service string, id RequestID, software string)
	// Find returns the version at which the stream of request id began and where that was learnt (for logs); ok is false when it is not known.
	Find(ctx context.Context, service string, id RequestID) (software, source string, ok bool)
}
