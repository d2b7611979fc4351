package relay

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// defaultMaxResumes bounds the resumes of one response.
	defaultMaxResumes = 4
	// resumeBackoff is multiplied by the number of resumes since the last event, so that
	// a network fault of a second does not use up all resumes.
	resumeBackoff = 100 * time.Millisecond
)

// errorEventPrefix is the beginning of the data of an error event.
var errorEventPrefix = []byte(`{"error":`)

// readyReporter is an EventStream that reports whether its next event is buffered.
type readyReporter interface{ Ready() bool }

// source reads the events of one response and resumes it after a failure.
type source struct {
	relay             *Relay
	transfer          *Transfer
	stream            lagoonhead.EventStream
	readyReporter     readyReporter
	endpoint          lagoonhead.EndpointID
	lastOffset        int64
	resumes           int
	resumesSinceEvent int
}

func (r *Relay) source(t *Transfer) *source {
	s := &source{relay: r, transfer: t, lastOffset: t.AfterOffset}
	s.setStream(t.Stream, t.Endpoint)
	return s
}

func (s *source) setStream(v lagoonhead.EventStream, e lagoonhead.EndpointID) {
	s.stream, s.endpoint = v, e
	s.readyReporter, _ = v.(readyReporter)
}

func (s *source) close() {
	if s.stream != nil {
		_ = s.stream.Close()
	}
}

// ready reports whether next will return an event without blocking.
func (s *source) ready() bool { return s.readyReporter != nil && s.readyReporter.Ready() }

// next returns the next event, or io.EOF at the end of a complete response. The data is
// valid until the next call.
func (s *source) next(ctx context.Context) (lagoonhead.StreamEvent, error) {
	for {
		v, err := s.readEvent()
		if err == nil {
			s.lastOffset = v.Offset
			s.resumesSinceEvent = 0
			return v, nil
		}
		if errors.Is(err, io.EOF) {
			return v, io.EOF
		}
		if err := s.resume(ctx, err); err != nil {
			return v, err
		}
	}
}

func (s *source) readEvent() (lagoonhead.StreamEvent, error) {
	v, err := s.stream.Next()
	if err != nil {
		return v, err
	}
	if v.Offset != s.lastOffset+1 {
		return v, fail("relay.read", lagoonhead.KindUnknown, errOffset)
	}
	if bytes.HasPrefix(v.Data, errorEventPrefix) {
		return v, fail("relay.read", lagoonhead.KindUnknown, errors.Wrapf(ErrEngineFailed, "%.200s", v.Data))
	}
	return v, nil
}

// resume reopens the stream after the last event, or returns the last error if that is
// not allowed or fails. A new response without events is not resumed, because the caller of
// the Relay can still run the request on another endpoint.
func (s *source) resume(ctx context.Context, cause error) error {
	for {
		if s.transfer.Resume == nil || s.lastOffset < 0 || s.resumes >= s.relay.maxResumes() ||
			!resumable(cause) || ctx.Err() != nil {
			return cause
		}
		s.close()
		s.stream = nil
		if err := s.relay.Timer.Sleep(ctx, resumeBackoff*time.Duration(s.resumesSinceEvent)); err != nil {
			return cause
		}
		s.resumes++
		s.resumesSinceEvent++
		s.relay.counters.resumes.Add(1)
		v, e, err := s.transfer.Resume(ctx, s.lastOffset)
		if err == nil {
			s.setStream(v, e)
			return nil
		}
		cause = err
	}
}

// resumable reports whether the rest of the response may be available on a new
// connection after err.
func resumable(err error) bool {
	if errors.Is(err, ErrEngineFailed) {
		return false
	}
	switch lagoonhead.KindOf(err) {
	case lagoonhead.KindCrashed, lagoonhead.KindTimeout, lagoonhead.KindUnknown, lagoonhead.KindUnavailable:
		return true
	default:
		return false
	}
}
