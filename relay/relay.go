package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/timer"
)

const (
	// defaultWriteLimit is how long a write may block on a caller that does not read,
	// before it fails. The caller can then resume with its last event id.
	defaultWriteLimit = 30 * time.Second
	// firstBufferBytes is the initial size of the event buffer. It fits an event of the
	// usual size with its token.
	firstBufferBytes = 1024
)

// Relay transfers responses to callers. Set the exported fields before the first use;
// after that it is safe for concurrent use.
type Relay struct {
	// Timer must be set.
	Timer timer.Timer
	// Sealer creates the event ids; it must be set.
	Sealer *Sealer
	// MaxResumes bounds the resumes of one response; 0 means 4, a negative number none.
	MaxResumes int
	// WriteTimeout bounds the write of one event to a caller; 0 means 30 s, a negative
	// number no bound. The write deadline is computed from the wall time of Timer, so a
	// network connection needs a Timer that returns the real time.
	WriteTimeout time.Duration
	// MaxCollectedBytes bounds the event data that Collect merges; 0 means 16 MiB.
	MaxCollectedBytes int

	once     sync.Once
	counters counters
}

type counters struct {
	vars                                                      expvar.Map
	streams, collected, events                                expvar.Int
	resumes, callersGone, failedAfterFirst, failedBeforeFirst expvar.Int
}

// Vars returns the counters of the Relay.
func (r *Relay) Vars() *expvar.Map {
	r.once.Do(func() {
		c := &r.counters
		c.vars.Set("streams", &c.streams)
		c.vars.Set("collectedAnswers", &c.collected)
		c.vars.Set("events", &c.events)
		c.vars.Set("resumes", &c.resumes)
		c.vars.Set("callersGone", &c.callersGone)
		c.vars.Set("failedAfterFirstEvent", &c.failedAfterFirst)
		c.vars.Set("failedBeforeFirstEvent", &c.failedBeforeFirst)
	})
	return &r.counters.vars
}

func (r *Relay) maxResumes() int {
	if r.MaxResumes == 0 {
		return defaultMaxResumes
	}
	return r.MaxResumes
}

// Transfer is one response to transfer.
type Transfer struct {
	Request *lagoonhead.Request
	// Endpoint is the engine that Stream was opened on.
	Endpoint lagoonhead.EndpointID
	// Software is the software version of Endpoint, and of each one on which Resume reopens the
	// response.
	Software string
	// Stream is the open response. The Relay closes it.
	Stream lagoonhead.EventStream
	// AfterOffset is the offset of the last event that the caller has, or -1 for a new
	// response. Stream must begin with the next event.
	AfterOffset int64
	// Resume reopens the response after an offset, on another connection, and returns
	// the stream and its endpoint. If it is nil, the response is not resumed.
	Resume func(ctx context.Context, after int64) (lagoonhead.EventStream, lagoonhead.EndpointID, error)
	// FirstToken is called at the first event. It may be nil.
	FirstToken func()
	// BeforeEnd is called when the response is complete and before its end is sent to
	// the caller, so that the usage is recorded first. It may be nil.
	BeforeEnd func(Result)
	// IncludeUsage forwards the engine's usage event to the caller of a stream.
	IncludeUsage bool
}

// Result describes how the transfer of a response ended. It is valid with and without
// an error.
type Result struct {
	// Started is true once bytes have been written to the caller. If it is false,
	// another endpoint can be tried.
	Started bool
	// LastOffset is the offset of the last event received from an engine, or
	// Transfer.AfterOffset.
	LastOffset int64
	// Endpoint is the engine that the last stream was opened on.
	Endpoint lagoonhead.EndpointID
	// Resumes is the number of attempts to reopen the stream.
	Resumes int
	// UsageKnown is true when the engine has reported its usage. Otherwise PromptTokens
	// is 0 and OutputTokens is the number of events.
	UsageKnown bool
	// PromptTokens is the number of tokens in the prompt, as counted by the engine.
	PromptTokens int
	// OutputTokens is the number of output tokens after Transfer.AfterOffset.
	OutputTokens int
}

// Stream writes the response to w as server-sent events in OpenAI's format, with a final
// [DONE] event. Nothing is written before the first event arrives, so after an error
// with Result.Started false another endpoint can be tried. A later failure is written to
// w as an error event. The error has the kind of the last failure; it wraps ErrCallerGone if
// a write to w failed.
func (r *Relay) Stream(ctx context.Context, w http.ResponseWriter, t Transfer) (Result, error) {
	r.counters.streams.Add(1)
	s := r.source(&t)
	defer s.close()
	o := &output{relay: r, transfer: &t, w: w, control: http.NewResponseController(w)}
	var u usage
	err := r.copyEvents(ctx, s, o, &u)
	if o.started {
		if err != nil && !errors.Is(err, ErrCallerGone) {
			o.writeError(err)
		}
		o.clearWriteDeadline()
	}
	r.countFailure(o.started, err)
	return s.result(o.started, u), err
}

// countFailure counts a failed transfer by its cause; err may be nil.
func (r *Relay) countFailure(started bool, err error) {
	switch {
	case err == nil:
	case errors.Is(err, ErrCallerGone):
		r.counters.callersGone.Add(1)
	case started:
		r.counters.failedAfterFirst.Add(1)
	default:
		r.counters.failedBeforeFirst.Add(1)
	}
}

func (r *Relay) copyEvents(ctx context.Context, s *source, o *output, u *usage) error {
	for {
		v, err := s.next(ctx)
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if !o.started {
			if j := o.transfer; j.FirstToken != nil && err == nil {
				j.FirstToken()
			}
			o.writeHeader()
		}
		if err != nil {
			s.callBeforeEnd(*u)
			return o.writeDone()
		}
		r.counters.events.Add(1)
		if usageOnly := u.update(v.Data); !usageOnly || o.transfer.IncludeUsage {
			if err := o.writeEvent(s.endpoint, v); err != nil {
				return err
			}
		}
		if s.ready() {
			continue
		}
		if err := o.flush(); err != nil {
			return err
		}
	}
}

// callBeforeEnd calls Transfer.BeforeEnd, if set, for a complete response.
func (s *source) callBeforeEnd(u usage) {
	if s.transfer.BeforeEnd != nil {
		s.transfer.BeforeEnd(s.result(true, u))
	}
}

func (s *source) result(started bool, u usage) Result {
	v := Result{
		Started: started, LastOffset: s.lastOffset, Endpoint: s.endpoint, Resumes: s.resumes,
		UsageKnown: u.known, PromptTokens: u.promptTokens, OutputTokens: int(s.lastOffset - s.transfer.AfterOffset),
	}
	if u.known {
		// An earlier call transferred and counted the events up to AfterOffset.
		v.OutputTokens = max(u.outputTokens-int(s.transfer.AfterOffset+1), 0)
	}
	return v
}

// usage is the token usage that an engine reports in the last event of a response. known
// is false before that.
type usage struct {
	known                      bool
	promptTokens, outputTokens int
}

var usageKey = []byte(`"usage":`)

// update sets u from the usage in the data of an event, and reports whether the event
// has a usage and no choices. Quotes in generated text are escaped, so usageKey matches
// only a key.
func (u *usage) update(data []byte) (usageOnly bool) {
	i := bytes.Index(data, usageKey)
	if i < 0 {
		return false
	}
	rest := bytes.TrimLeft(data[i+len(usageKey):], " ")
	if len(rest) == 0 || rest[0] != '{' {
		return false
	}
	var c struct {
		Choices []json.RawMessage `json:"choices"`
		Usage   *struct {
			PromptTokens     int `json:"prompt_tokens"`
			CompletionTokens int `json:"completion_tokens"`
		} `json:"usage"`
	}
	if json.Unmarshal(data, &c) != nil || c.Usage == nil {
		return false
	}
	u.known, u.promptTokens, u.outputTokens = true, c.Usage.PromptTokens, c.Usage.CompletionTokens
	return len(c.Choices) == 0
}
