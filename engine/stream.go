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

var doneData = []byte("[DONE]")

// stream is one open response. Only one goroutine may call Next and Close.
type stream struct {
	streamer *Streamer
	endpoint lagoonhead.Endpoint
	request  string
	ctx      context.Context
	cancel   context.CancelCauseFunc
	exchange httppool.Exchange
	span     trace.Span

	transport *httppool.Transport
	// response is nil until the response headers have been checked.
	response   *http.Response
	parser     *parser
	nextOffset int64
	finalErr   error
	closeOnce  sync.Once

	// reading is true during a read from the connection. Time between reads, such as
	// that of a slow caller, does not count as idle.
	reading   atomic.Bool
	readCount atomic.Uint32

	// sweptReadCount is readCount at the last sweep, and idleSweeps the number of sweeps
	// in a row that saw the same read in progress. Streamer.mu guards both.
	sweptReadCount uint32
	idleSweeps     int
}

// sweep cancels the stream once a read has been in progress for the idle limit. The
// caller must hold Streamer.mu.
func (s *stream) sweep() {
	n := s.readCount.Load()
	if !s.reading.Load() || n != s.sweptReadCount {
		s.sweptReadCount, s.idleSweeps = n, 0
		return
	}
	if s.idleSweeps++; s.idleSweeps > sweepsPerIdleLimit {
		s.cancel(ErrIdle)
	}
}

// start sends the request and checks the response headers.
func (s *stream) start(r *http.Request) error {
	s.transport = s.streamer.pools.Get(s.endpoint.Address())
	s.reading.Store(true)
	res, err := s.transport.Do(r, &s.exchange)
	s.reading.Store(false)
	s.readCount.Add(1)
	if errors.Is(err, httppool.ErrWrongRequest) {
		return s.protocolError("engine.stream", errors.CombineErrors(ErrWrongRequest, err))
	}
	if err != nil {
		return s.connectionError("engine.stream", err)
	}
	s.streamer.reportLoad(s.endpoint, res.Header)
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
		return s.refusalError(op, res)
	}
	if id := res.Header.Get(HeaderRequestID); id != "" && id != s.request {
		return s.protocolError(op, ErrWrongRequest)
	}
	if !isEventStream(res.Header) {
		return s.protocolError(op, ErrMalformed)
	}
	return nil
}

// refusalError returns the error for a response with an error status. An engine that
// does not have the model of a new request may be loading another one, so the error is
// KindUnavailable and another engine can run the request. KindNotFound is returned only for
// a request that is resumed.
func (s *stream) refusalError(op string, res *http.Response) error {
	s.reading.Store(true)
	err := statusError(op, res)
	s.reading.Store(false)
	if s.nextOffset == 0 && lagoonhead.IsKind(err, lagoonhead.KindNotFound) && res.Header.Get(HeaderRun) == runNo {
		return fail(op, lagoonhead.KindUnavailable, err)
	}
	return err
}

// connectionError returns the error for a failed connection. It drops the connection
// pool of the endpoint unless the caller canceled the request.
func (s *stream) connectionError(op string, err error) error {
	kind := kindOfFailure(s.ctx, err, s.response != nil || s.exchange.Written())
	if kind == lagoonhead.KindCrashed && s.response == nil && s.exchange.Reused() && !s.exchange.Acknowledged() {
		kind = lagoonhead.KindUnknown // the engine may have closed the connection before
	}
	cause := context.Cause(s.ctx)
	if cause != nil {
		err = cause
	}
	if cause == nil || errors.Is(cause, ErrIdle) {
		s.streamer.counters.countFailure(kind, err)
		s.streamer.dropPool(s.endpoint, s.transport)
	}
	return fail(op, kind, err)
}

// protocolError returns the error for a response that violates the engine protocol. It
// drops the connection pool of the endpoint.
func (s *stream) protocolError(op string, err error) error {
	kind := lagoonhead.KindUnknown
	if errors.Is(err, ErrOversized) {
		kind = lagoonhead.KindInvalid
	}
	s.streamer.counters.countFailure(kind, err)
	s.streamer.dropPool(s.endpoint, s.transport)
	return fail(op, kind, err)
}

// Read reads from the response body for the parser, and sets reading for the sweep.
func (s *stream) Read(b []byte) (int, error) {
	s.reading.Store(true)
	n, err := s.response.Body.Read(b)
	s.reading.Store(false)
	s.readCount.Add(1)
	return n, err
}

// Next returns the next event. After an error it returns the same error on each call.
func (s *stream) Next() (lagoonhead.StreamEvent, error) {
	if s.finalErr != nil {
		return lagoonhead.StreamEvent{}, s.finalErr
	}
	v, err := s.readEvent()
	if err != nil {
		s.finalErr = err
		return lagoonhead.StreamEvent{}, err
	}
	return v, nil
}

func (s *stream) readEvent() (lagoonhead.StreamEvent, error) {
	if err := s.parser.next(); err != nil {
		return lagoonhead.StreamEvent{}, s.parseError(err)
	}
	if !s.parser.hasID {
		return lagoonhead.StreamEvent{}, s.protocolError(opNext, ErrMalformed)
	}
	offset, err := eventOffset(s.parser.id, s.request)
	if err != nil {
		return lagoonhead.StreamEvent{}, s.protocolError(opNext, err)
	}
	if offset != s.nextOffset {
		return lagoonhead.StreamEvent{}, s.protocolError(opNext, errors.Wrapf(ErrOutOfSequence, "got offset %d, want %d", offset, s.nextOffset))
	}
	s.nextOffset++
	if bytes.Equal(s.parser.data, doneData) {
		s.streamer.counters.completed.Add(1)
		return lagoonhead.StreamEvent{}, io.EOF
	}
	return lagoonhead.StreamEvent{Offset: offset, Data: s.parser.data}, nil
}

func (s *stream) parseError(err error) error {
	switch {
	case errors.Is(err, ErrMalformed), errors.Is(err, ErrOversized):
		return s.protocolError(opNext, err)
	case errors.Is(err, io.EOF) && s.bodyIsDelimited():
		return s.protocolError(opNext, ErrIncomplete)
	}
	return s.connectionError(opNext, err)
}

// bodyIsDelimited reports whether the response has a content length or chunked encoding,
// so that io.EOF means the end of the body and not a closed connection.
func (s *stream) bodyIsDelimited() bool {
	return s.response.ContentLength >= 0 || len(s.response.TransferEncoding) > 0
}

// Close closes the stream. The connection is reused only after a complete response.
func (s *stream) Close() error {
	s.closeOnce.Do(func() {
		if errors.Is(s.finalErr, io.EOF) {
			// The trailer may arrive late, so it is read in the background.
			go s.finish()
			return
		}
		s.release()
	})
	return nil
}

// finish reads the rest of a complete response for the load report in its trailer.
func (s *stream) finish() {
	defer s.release()
	if _, err := io.Copy(io.Discard, io.LimitReader(s, firstBufferBytes)); err == nil {
		s.streamer.reportLoad(s.endpoint, s.response.Trailer)
	}
}

// release cancels the request and closes the response body.
func (s *stream) release() {
	s.cancel(errClosed)
	s.response.Body.Close()
	s.streamer.remove(s)
	if errors.Is(s.finalErr, io.EOF) {
		endSpan(s.span, nil)
	} else {
		endSpan(s.span, s.finalErr)
	}
	if s.finalErr == nil {
		s.finalErr = fail(opNext, lagoonhead.KindInvalid, errClosed)
	}
}

// Ready reports whether the next event is already buffered, so that package relay can
// write it before it flushes.
func (s *stream) Ready() bool { return s.finalErr == nil && s.parser.buffered() }
