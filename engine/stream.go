package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/trace"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/httppool"
)

const opNext = "engine.next"

var doneMark = []byte("[DONE]")

// stream is one open answer. Next and Close are called by one goroutine.
type stream struct {
	streamer *Streamer
	endpoint lagoonhead.Endpoint
	request  string
	ctx      context.Context
	cancel   context.CancelCauseFunc
	exchange httppool.Exchange
	span     trace.Span

	transport *http.Transport
	response  *http.Response
	parser    *parser
	expect    int64
	ended     error
	closing   sync.Once

	// waiting is true while a read is under way; a reader that takes its time does
	// not make the connection silent.
	waiting atomic.Bool
	reads   atomic.Uint32

	// seen and quiet belong to the sweep.
	seen  uint32
	quiet int
}

// sweep counts how long the connection has been silent. The caller holds the lock
// of the Streamer.
func (s *stream) sweep() {
	n := s.reads.Load()
	if !s.waiting.Load() || n != s.seen {
		s.seen, s.quiet = n, 0
		return
	}
	if s.quiet++; s.quiet > sweepsPerLimit {
		s.cancel(ErrIdle)
	}
}

// start sends the request and reads the headers of the answer.
func (s *stream) start(r *http.Request) error {
	s.transport = s.streamer.pools.Get(s.endpoint.Address())
	s.waiting.Store(true)
	res, err := s.transport.RoundTrip(r)
	s.waiting.Store(false)
	s.reads.Add(1)
	if err != nil {
		return s.broke("engine.stream", err)
	}
	s.streamer.takeLoad(s.endpoint, res.Header)
	if err := s.checkHeaders(res); err != nil {
		res.Body.Close()
		return err
	}
	s.response = res
	s.parser = newParser(s, s.streamer.MaxEventBytes)
	return nil
}

func (s *stream) checkHeaders(res *http.Response) error {
	const op = "engine.stream"
	if res.StatusCode != http.StatusOK {
		s.streamer.counters.refused.Add(1)
		return s.refused(op, res)
	}
	if id := res.Header.Get(HeaderRequestID); id != "" && id != s.request {
		return s.reject(op, ErrWrongRequest)
	}
	if !isEvents(res.Header) {
		return s.reject(op, ErrMalformed)
	}
	return nil
}

// refused returns the error of an answer without events. An engine that does not
// have the model for a new request may be in the middle of a change, so another
// engine can still run it; only a request to be resumed is not found.
func (s *stream) refused(op string, res *http.Response) error {
	s.waiting.Store(true)
	err := statusError(op, res)
	s.waiting.Store(false)
	if s.expect == 0 && lagoonhead.IsKind(err, lagoonhead.KindNotFound) && res.Header.Get(HeaderRun) == runNo {
		return fail(op, lagoonhead.KindUnavailable, err)
	}
	return err
}

// broke returns the error of a failed connection. It ends the use of the pool
// unless the caller ended the request.
func (s *stream) broke(op string, err error) error {
	kind := kindOfFailure(s.ctx, err, s.response != nil || s.exchange.Written())
	cause := context.Cause(s.ctx)
	if cause != nil {
		err = cause
	}
	if cause == nil || errors.Is(cause, ErrIdle) {
		s.streamer.counters.count(kind, err)
		s.streamer.drop(s.endpoint, s.transport)
	}
	return fail(op, kind, err)
}

// reject returns the error of an answer that breaks the protocol. The connection
// is not used again.
func (s *stream) reject(op string, err error) error {
	kind := lagoonhead.KindUnknown
	if errors.Is(err, ErrOversized) {
		kind = lagoonhead.KindInvalid
	}
	s.streamer.counters.count(kind, err)
	s.streamer.drop(s.endpoint, s.transport)
	return fail(op, kind, err)
}

// Read reads from the body for the parser and shows the sweep that it waits.
func (s *stream) Read(b []byte) (int, error) {
	s.waiting.Store(true)
	n, err := s.response.Body.Read(b)
	s.waiting.Store(false)
	s.reads.Add(1)
	return n, err
}

// Next returns the next event. After an error it returns the same error again.
func (s *stream) Next() (lagoonhead.StreamEvent, error) {
	if s.ended != nil {
		return lagoonhead.StreamEvent{}, s.ended
	}
	v, err := s.read()
	if err != nil {
		s.ended = err
		return lagoonhead.StreamEvent{}, err
	}
	return v, nil
}

func (s *stream) read() (lagoonhead.StreamEvent, error) {
	if err := s.parser.next(); err != nil {
		return lagoonhead.StreamEvent{}, s.parseError(err)
	}
	if !s.parser.hasID {
		return lagoonhead.StreamEvent{}, s.reject(opNext, ErrMalformed)
	}
	offset, err := eventOffset(s.parser.id, s.request)
	if err != nil {
		return lagoonhead.StreamEvent{}, s.reject(opNext, err)
	}
	if offset != s.expect {
		return lagoonhead.StreamEvent{}, s.reject(opNext, errors.Wrapf(ErrOffset, "%d in place of %d", offset, s.expect))
	}
	s.expect++
	if bytes.Equal(s.parser.data, doneMark) {
		s.streamer.counters.whole.Add(1)
		return lagoonhead.StreamEvent{}, io.EOF
	}
	return lagoonhead.StreamEvent{Offset: offset, Data: s.parser.data}, nil
}

func (s *stream) parseError(err error) error {
	switch {
	case errors.Is(err, ErrMalformed), errors.Is(err, ErrOversized):
		return s.reject(opNext, err)
	case errors.Is(err, io.EOF) && s.endIsMarked():
		return s.reject(opNext, ErrIncomplete)
	}
	return s.broke(opNext, err)
}

// endIsMarked reports whether the engine ends the body itself, so that an end of
// the body is not the end of the connection.
func (s *stream) endIsMarked() bool {
	return s.response.ContentLength >= 0 || len(s.response.TransferEncoding) > 0
}

// Close ends the stream. The connection is used again only after a whole answer.
func (s *stream) Close() error {
	s.closing.Do(func() {
		if errors.Is(s.ended, io.EOF) {
			// The trailer may come late; the caller need not wait for it.
			go s.finish()
			return
		}
		s.release()
	})
	return nil
}

// finish reads the rest of a whole answer for its trailer.
func (s *stream) finish() {
	defer s.release()
	if _, err := io.Copy(io.Discard, io.LimitReader(s, firstBufferBytes)); err == nil {
		s.streamer.takeLoad(s.endpoint, s.response.Trailer)
	}
}

func (s *stream) release() {
	s.cancel(errClosed)
	s.response.Body.Close()
	s.streamer.remove(s)
	if errors.Is(s.ended, io.EOF) {
		endSpan(s.span, nil)
	} else {
		endSpan(s.span, s.ended)
	}
	if s.ended == nil {
		s.ended = fail(opNext, lagoonhead.KindInvalid, errClosed)
	}
}

// Ready reports whether the next event has been read already, so that a relay
// need not flush before it.
func (s *stream) Ready() bool { return s.ended == nil && s.parser.buffered() }
