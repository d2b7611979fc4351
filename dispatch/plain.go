package dispatch

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/bodybudget"
	"github.com/lagoonhead/lagoonhead/catalog"
	"github.com/lagoonhead/lagoonhead/steer"
)

const (
	// maxAnswerBytes bounds an answer that is buffered before the caller gets it.
	maxAnswerBytes = 8 << 20
	// maxBufferedBytes bounds the events that are buffered at the same time, so that endpoints which
	// send bytes without end do not take the memory of the process. It bounds answers if
	// Dispatcher.Answers is not set.
	maxBufferedBytes = 32 << 20
	// freeEventBytes is the size up to which an event does not count to maxBufferedBytes.
	freeEventBytes = 64 << 10
)

// fullAnswer is an answer whose body has been read to its end.
type fullAnswer struct {
	*lagoonhead.Answer
	body *bodybudget.Body
}

// end gives the memory of the answer back.
func (w *fullAnswer) end() {
	if w != nil {
		w.body.End()
	}
}

// serveSingle serves a request that has a single answer. The answer is buffered before the
// caller gets any of it, so that after a broken one the request can be retried or fail with
// an error.
func (r *request) serveSingle(ctx context.Context) error {
	var fallback *fullAnswer
	defer func() { fallback.end() }()
	var last error
	for {
		if err := r.checkSuspects(); err != nil {
			last = err
			break
		}
		e, err := r.pickRun(nil)
		if err != nil {
			break
		}
		w, err := r.attemptOnce(ctx, e)
		if err == nil && (w.Status < http.StatusInternalServerError || r.route.RetryPolicy == catalog.RetryNever) {
			return r.deliver(w)
		}
		if err == nil {
			// Another endpoint may succeed; if none does, this is the answer.
			fallback.end()
			fallback, err = w, fail("plain", lagoonhead.KindUnknown, errors.Newf("status %d", w.Status))
		}
		last = err
		if !r.mayRetry(ctx, err) {
			break
		}
	}
	if fallback != nil {
		return r.deliver(fallback)
	}
	if last == nil {
		return r.refuse(lagoonhead.VersionPin{}, "the request")
	}
	return r.finalError(ctx, last)
}

// attemptOnce makes one attempt, and goes on at another endpoint that accepts the request if the
// first one is silent for too long. It reads the whole answer.
func (r *request) attemptOnce(ctx context.Context, e lagoonhead.Endpoint) (*fullAnswer, error) {
	next, w, err := r.tryOnce(ctx, r.newAttempt(ctx, e, nil, nil))
	for next != nil {
		w.end()
		r.goOn(next)
		next, w, err = r.tryOnce(ctx, next)
	}
	return w, err
}

// tryOnce makes one attempt, or goes on with one that an endpoint has accepted. It returns the next
// one if another endpoint has accepted the request.
func (r *request) tryOnce(ctx context.Context, a *attempt) (next *attempt, w *fullAnswer, err error) {
	defer a.end()
	watch := r.watchSilence(ctx, a)
	defer func() {
		failed := err
		if w != nil && w.Status >= http.StatusInternalServerError {
			failed = errServer
		}
		if next = r.endWatch(watch, failed); r.runs > 0 {
			r.countUsage()
		}
	}()
	watch.restart(r.remaining()/2, r)
	if a.answer == nil {
		err = r.send(ctx, a)
	}
	if err == nil {
		w, err = r.readAnswer(ctx, a, watch)
	}
	return nil, w, err
}

// readAnswer reads the answer of an attempt to its end.
func (r *request) readAnswer(ctx context.Context, a *attempt, watch *silenceWatch) (*fullAnswer, error) {
	defer a.answer.Body.Close()
	w, err := r.readFull(a.ctx, a.answer)
	if err == nil && w.Status >= http.StatusInternalServerError {
		r.recordFailure(ctx, a.endpoint, "run", failf("plain", lagoonhead.KindUnknown, "status %d", w.Status))
		return w, nil
	}
	if err == nil && !watch.heard() {
		w.end()
		err = fail("read", lagoonhead.KindUnknown, errSilent)
	}
	if err != nil {
		r.recordFailure(ctx, a.endpoint, "run", err)
		return nil, err
	}
	if w.Status < http.StatusMultipleChoices {
		r.Parts.Finished(r.parts)
	}
	r.recordResult(a.endpoint, steer.Good)
	return w, nil
}

// sendSingle sends the copy of a request for one move to another endpoint and returns once that has
// accepted the request.
func sendSingle(ctx context.Context, r *request) (*attempt, error) {
	if err := r.checkSuspects(); err != nil {
		return nil, err
	}
	e, err := r.pickRun(nil)
	if err != nil {
		return nil, err
	}
	a := r.newAttempt(ctx, e, nil, nil)
	err = r.sendMove(ctx, a)
	if err == nil && a.answer.Status >= http.StatusInternalServerError {
		err = r.rejectMove(ctx, a)
	}
	if err != nil {
		a.end()
		return nil, err
	}
	return a, nil
}

// readFull reads an answer to its end, for which it may wait for memory. One that is longer than
// maxAnswerBytes is an error, since a truncated answer would look like a complete one.
func (r *request) readFull(ctx context.Context, ans *lagoonhead.Answer) (*fullAnswer, error) {
	body, err := r.Answers.Read(ctx, bodybudget.Source{
		Reader: ans.Body, Length: r.answerLength(ans), Limit: maxAnswerBytes, Group: string(r.demand.Workspace()), Parts: true,
		// The reads end with the context.
		Timeout: r.remaining(), SetDeadline: func(time.Time) error { return nil },
	})
	if err != nil {
		return nil, fail("read", answerErrorKind(err), err)
	}
	return &fullAnswer{ans, body}, nil
}

// answerLength returns the number of bytes of an answer's body, or -1 if it is not known.
func (r *request) answerLength(ans *lagoonhead.Answer) int64 {
	n, err := strconv.ParseInt(ans.Header.Get("Content-Length"), 10, 64)
	if err != nil || n < 0 || r.call.Method == http.MethodHead || ans.Status == http.StatusNotModified || ans.Status == http.StatusNoContent {
		return -1
	}
	return n
}

// answerErrorKind returns the kind of an error of reading an answer of a request that has run.
func answerErrorKind(err error) lagoonhead.Kind {
	var e *bodybudget.Error
	if errors.As(err, &e) {
		err = e.Err
	}
	return readErrorKind(err)
}

// countedReader counts what it reads beyond freeEventBytes, and fails when all readers
// together have read more than maxBufferedBytes.
type countedReader struct {
	in            io.Reader
	total         *atomic.Int64
	read, counted int64
}

// Read reads and counts.
func (r *countedReader) Read(p []byte) (int, error) {
	n, err := r.in.Read(p)
	r.read += int64(n)
	more := max(0, r.read-freeEventBytes) - r.counted
	if more == 0 {
		return n, err // events of the free size do not fail because of others
	}
	r.counted += more
	if r.total.Add(more) > maxBufferedBytes {
		return n, failf("read", lagoonhead.KindUnknown, "events in progress have more than %d bytes", maxBufferedBytes)
	}
	return n, err
}

// release ends the count of what was read so far.
func (r *countedReader) release() {
	r.total.Add(-r.counted)
	r.read, r.counted = 0, 0
}

// deliver gives the caller an answer, whose memory is given back then.
func (r *request) deliver(w *fullAnswer) error {
	defer w.end()
	r.Suspects.Finished(r.demand.Fingerprint())
	r.addStep("answer with status %d", w.Status)
	r.sink.Start(w.Status, w.Header)
	r.started = true
	if err := w.body.Deliver(r.sink.Write, r.sink.Interrupt); err != nil {
		return fail("deliver", lagoonhead.KindUnknown, err)
	}
	return nil
}
