package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

// Answer is the open answer of an engine that is to be carried to a caller.
type Answer struct {
	Request  *lagoonhead.Request
	Endpoint lagoonhead.Endpoint
	Events   lagoonhead.EventStream
	// Reopen continues the answer on a new connection behind the given offset.
	Reopen func(ctx context.Context, after int64) (lagoonhead.EventStream, error)
	// After is the offset of the last event that the caller has, or -1.
	After int64
	// ShowUsage is true when the caller wants the event with the usage.
	ShowUsage bool
}

// Result is what a relay saw of an answer. It holds with and without an error.
type Result struct {
	// Last is the offset of the last event, or Answer.After when there was none.
	Last int64
	// UsageKnown is true when the engine has told its own count.
	UsageKnown bool
	// PromptTokens is the engine's count, or 0 when that is not known.
	PromptTokens int64
	// OutputTokens is the part of the output that this relay carried: by the engine's
	// count, or else the number of events.
	OutputTokens int64
}

// Relay carries answers of engines to callers. It resumes a broken stream on a new
// connection and closes the streams that it reopened, not Answer.Events.
type Relay interface {
	// Stream writes the answer as server-sent events whose identifiers are sealed
	// tokens. When it fails behind the first event, it tells the caller of it by an
	// event with an error object.
	Stream(ctx context.Context, w http.ResponseWriter, a Answer) (Result, error)
	// Collect joins the events into one chat.completion object and writes nothing.
	Collect(ctx context.Context, a Answer) ([]byte, Result, error)
}

// maxResumes bounds how often one answer is resumed.
const maxResumes = 3

// PlainRelay is a Relay without idle timeouts.
type PlainRelay struct {
	Sealer Sealer
}

var _ Relay = (*PlainRelay)(nil)

var doneMark = []byte("[DONE]")

// Stream writes the answer and flushes after each event.
func (p *PlainRelay) Stream(ctx context.Context, w http.ResponseWriter, a Answer) (Result, error) {
	w.Header().Set(contentType, mediaEvents)
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	c := http.NewResponseController(w)
	token := Token{Workspace: a.Request.Workspace(), Endpoint: a.Endpoint.ID(), Request: a.Request.ID()}
	res, err := each(ctx, a, func(e lagoonhead.StreamEvent, u usageChunk) error {
		if u.only() && !a.ShowUsage {
			return nil
		}
		token.Offset = e.Offset
		return writeEvent(w, c, p.Sealer.Seal(token), e.Data)
	})
	if err != nil {
		writeEventError(w, err)
		return res, err
	}
	return res, writeEvent(w, c, "", doneMark)
}

// Collect reads the whole answer.
func (p *PlainRelay) Collect(ctx context.Context, a Answer) ([]byte, Result, error) {
	var j joiner
	res, err := each(ctx, a, func(e lagoonhead.StreamEvent, _ usageChunk) error { return j.add(e.Data) })
	if err != nil {
		return nil, res, err
	}
	b, err := j.finish()
	return b, res, err
}

// each calls f for each event of the answer, over resumes.
func each(ctx context.Context, a Answer, f func(lagoonhead.StreamEvent, usageChunk) error) (Result, error) {
	res := Result{Last: a.After}
	events := a.Events
	for resumes := 0; ; resumes++ {
		err := readAll(events, a.After, &res, f)
		if events != a.Events {
			events.Close()
		}
		if err == nil || !isBreak(err) || resumes == maxResumes || ctx.Err() != nil {
			return res, err
		}
		next, reopenErr := a.Reopen(ctx, res.Last)
		if reopenErr != nil {
			return res, errors.WithSecondaryError(err, reopenErr)
		}
		events = next
	}
}

// breakError marks an error of the engine's stream, which a new connection may
// mend, as opposed to one of the caller's connection.
type breakError struct{ error }

// Unwrap returns the cause.
func (b breakError) Unwrap() error { return b.error }

func isBreak(err error) bool {
	var b breakError
	return errors.As(err, &b)
}

func readAll(events lagoonhead.EventStream, after int64, res *Result, f func(lagoonhead.StreamEvent, usageChunk) error) error {
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return breakError{err}
		}
		if bytes.Equal(e.Data, doneMark) {
			return nil
		}
		u := res.count(e, after)
		if err := f(e, u); err != nil {
			return err
		}
	}
}

// usageChunk is what the counts need of an event.
type usageChunk struct {
	Choices []json.RawMessage `json:"choices"`
	Usage   *struct {
		PromptTokens     int64 `json:"prompt_tokens"`
		CompletionTokens int64 `json:"completion_tokens"`
	} `json:"usage"`
}

// only reports whether the event holds the usage and no output.
func (u usageChunk) only() bool { return u.Usage != nil && len(u.Choices) == 0 }

// count counts an event of the answer behind the offset after.
func (r *Result) count(e lagoonhead.StreamEvent, after int64) usageChunk {
	r.Last = e.Offset
	var u usageChunk
	if bytes.Contains(e.Data, []byte(`"usage"`)) && json.Unmarshal(e.Data, &u) == nil && u.Usage != nil {
		r.UsageKnown, r.PromptTokens = true, u.Usage.PromptTokens
		// The events up to after were carried, and counted, by another relay.
		r.OutputTokens = max(0, u.Usage.CompletionTokens-after-1)
	}
	if !r.UsageKnown {
		r.OutputTokens++
	}
	return u
}

func writeEvent(w io.Writer, c *http.ResponseController, id string, data []byte) error {
	var b bytes.Buffer
	if id != "" {
		b.WriteString("id: " + id + "\n")
	}
	b.WriteString("data: ")
	b.Write(data)
	b.WriteString("\n\n")
	if _, err := w.Write(b.Bytes()); err != nil {
		return fault("caller.writeEvent", lagoonhead.KindUnavailable, err)
	}
	return c.Flush()
}

// writeEventError tells of an error in a stream that has begun.
func writeEventError(w http.ResponseWriter, err error) {
	b, marshalErr := json.Marshal(newErrorObject(classOf(err)))
	if marshalErr != nil {
		panic("caller: error cannot be encoded: " + marshalErr.Error())
	}
	_ = writeEvent(w, http.NewResponseController(w), "", b)
}
