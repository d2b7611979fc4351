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
	// defaultMaxResumes bounds the resumes of one answer.
	defaultMaxResumes = 4
	// resumePause grows with each resume that brought no event, so that a network
	// fault of a second does not use up all resumes.
	resumePause = 100 * time.Millisecond
)

var errorEvent = []byte(`{"error":`)

// readier is a stream that knows whether its next event is there already.
type readier interface{ Ready() bool }

// source reads the events of one answer and resumes it after a break.
type source struct {
	relay    *Relay
	job      *Job
	stream   lagoonhead.EventStream
	readier  readier
	endpoint lagoonhead.EndpointID
	last     int64
	resumes  int
	failures int
}

func (r *Relay) source(j *Job) *source {
	s := &source{relay: r, job: j, last: j.After}
	s.use(j.Stream, j.Endpoint)
	return s
}

func (s *source) use(v lagoonhead.EventStream, e lagoonhead.EndpointID) {
	s.stream, s.endpoint = v, e
	s.readier, _ = v.(readier)
}

func (s *source) close() {
	if s.stream != nil {
		_ = s.stream.Close()
	}
}

// ready reports whether next will return an event without waiting.
func (s *source) ready() bool { return s.readier != nil && s.readier.Ready() }

// next returns the next event, or io.EOF after a whole answer. The data is valid
// until the next call.
func (s *source) next(ctx context.Context) (lagoonhead.StreamEvent, error) {
	for {
		v, err := s.read()
		if err == nil {
			s.last = v.Offset
			s.failures = 0
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

func (s *source) read() (lagoonhead.StreamEvent, error) {
	v, err := s.stream.Next()
	if err != nil {
		return v, err
	}
	if v.Offset != s.last+1 {
		return v, fail("relay.read", lagoonhead.KindUnknown, errOffset)
	}
	if bytes.HasPrefix(v.Data, errorEvent) {
		return v, fail("relay.read", lagoonhead.KindUnknown, errors.Wrapf(ErrEngineFailed, "%.200s", v.Data))
	}
	return v, nil
}

// resume opens the stream again after the last event, or returns the cause when
// that may not be done. An answer without an event yet is not resumed: the caller
// of the relay can still run it on another endpoint.
func (s *source) resume(ctx context.Context, cause error) error {
	for {
		if s.job.Resume == nil || s.last < 0 || s.resumes >= s.relay.maxResumes() ||
			!resumable(cause) || ctx.Err() != nil {
			return cause
		}
		s.close()
		s.stream = nil
		if err := s.relay.Timer.Sleep(ctx, resumePause*time.Duration(s.failures)); err != nil {
			return cause
		}
		s.resumes++
		s.failures++
		s.relay.counters.resumes.Add(1)
		v, e, err := s.job.Resume(ctx, s.last)
		if err == nil {
			s.use(v, e)
			return nil
		}
		cause = err
	}
}

// resumable reports whether a new connection may bring the rest of the answer.
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
