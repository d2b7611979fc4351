package dispatch

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/catalog"
	"github.com/lagoonhead/lagoonhead/steer"
)

// maxAnswerBytes bounds an answer that is read as a whole before the caller gets it.
const maxAnswerBytes = 8 << 20

// whole is an answer that has been read to its end.
type whole struct {
	*lagoonhead.Answer
	body []byte
}

// plain serves a request that has one answer. The answer is read to its end before the
// caller gets any of it, so that a broken one can be asked for again or told as an
// error.
func (r *request) plain(ctx context.Context) error {
	var spare *whole
	var last error
	for {
		e, err := r.pickRun(r.Domain)
		if err != nil {
			break
		}
		w, err := r.once(ctx, e)
		if err == nil && (w.Status < http.StatusInternalServerError || r.route.Repeat == catalog.RepeatNever) {
			return r.deliver(w)
		}
		if err == nil {
			// Another endpoint may do better; if none does, this is the answer.
			spare, err = w, fail("plain", lagoonhead.KindUnknown, errors.Newf("status %d", w.Status))
		}
		last = err
		if !r.mayRepeat(ctx, err) {
			break
		}
	}
	if spare != nil {
		return r.deliver(spare)
	}
	if last == nil {
		return r.refuse("no endpoint of %s can take the request", r.service)
	}
	return r.verdict(ctx, last)
}

// once makes one attempt and reads the whole answer.
func (r *request) once(ctx context.Context, e lagoonhead.Endpoint) (*whole, error) {
	defer r.endRun(e)
	r.sends++
	r.vars.sends.Add(1)
	attempt, cancel := r.withPatience(ctx)
	defer cancel()
	a := r.attempt(e)
	a.OwnConnection = r.route.Repeat == catalog.RepeatNever
	w, err := r.read(attempt, a)
	if err != nil {
		if !lagoonhead.IsKind(err, lagoonhead.KindUnavailable) {
			r.runs++
			r.began()
		}
		r.failed(ctx, e, "run", err)
		return nil, err
	}
	r.runs++
	r.began()
	if w.Status >= http.StatusInternalServerError {
		r.failed(ctx, e, "run", failf("plain", lagoonhead.KindUnknown, "status %d", w.Status))
		return w, nil
	}
	r.judge(e, steer.Good)
	return w, nil
}

// withPatience bounds an attempt by half of the time that is left when another one may
// follow it.
func (r *request) withPatience(ctx context.Context) (context.Context, context.CancelFunc) {
	if !r.repeatable() || r.runs+1 >= r.route.MaxAttempts {
		return context.WithCancel(ctx)
	}
	return context.WithTimeoutCause(ctx, r.left()/2, errSilent)
}

func (r *request) read(ctx context.Context, a *lagoonhead.Attempt) (*whole, error) {
	ans, err := r.Sender.Send(ctx, a)
	if err != nil {
		return nil, err
	}
	defer ans.Body.Close()
	return readWhole(ans)
}

// readWhole reads an answer to its end. One that is longer than maxAnswerBytes is an
// error, since its beginning alone would look like an answer.
func readWhole(ans *lagoonhead.Answer) (*whole, error) {
	body, err := io.ReadAll(io.LimitReader(ans.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, fail("read", readKind(err), err)
	}
	if len(body) > maxAnswerBytes {
		return nil, failf("read", lagoonhead.KindUnknown, "answer has more than %d bytes", maxAnswerBytes)
	}
	return &whole{ans, body}, nil
}

func (r *request) deliver(w *whole) error {
	r.Suspects.Finished(r.demand.Fingerprint())
	r.step("answer with status %d", w.Status)
	r.sink.Start(w.Status, w.Header)
	r.started = true
	if err := r.sink.Write(w.body); err != nil {
		return fail("deliver", lagoonhead.KindUnknown, err)
	}
	return nil
}
