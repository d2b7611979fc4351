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
	// defaultWriteLimit is how long a caller may leave an event unread before its
	// connection is given up. It can then resume with its last event id.
	defaultWriteLimit = 30 * time.Second
	// firstBufferBytes holds one event of the usual size with its token.
	firstBufferBytes = 1024
)

// Relay carries answers to callers. The exported fields are set before the first
// use; it is safe for concurrent use after that.
type Relay struct {
	// Timer must be set.
	Timer timer.Timer
	// Sealer makes the event ids; it must be set.
	Sealer *Sealer
	// MaxResumes bounds the resumes of one answer; 0 means 4, a negative number none.
	MaxResumes int
	// WriteLimit bounds the write of one event to a caller; 0 means 30 s, a negative
	// number no bound. It is set as a deadline by the wall time of Timer, so over a
	// network connection it needs a Timer that tells the real time.
	WriteLimit time.Duration
	// MaxAnswerBytes bounds a collected answer; 0 means 16 MiB.
	MaxAnswerBytes int

	once     sync.Once
	counters counters
}

type counters struct {
	all                                           expvar.Map
	streams, collected, events                    expvar.Int
	resumes, callersGone, failedStarted, failedNo expvar.Int
}

// Vars returns the counters.
func (r *Relay) Vars() *expvar.Map {
	r.once.Do(func() {
		c := &r.counters
		c.all.Set("streams", &c.streams)
		c.all.Set("collectedAnswers", &c.collected)
		c.all.Set("events", &c.events)
		c.all.Set("resumes", &c.resumes)
		c.all.Set("callersGone", &c.callersGone)
		c.all.Set("failedAfterFirstEvent", &c.failedStarted)
		c.all.Set("failedBeforeFirstEvent", &c.failedNo)
	})
	return &r.counters.all
}

func (r *Relay) maxResumes() int {
	if r.MaxResumes == 0 {
		return defaultMaxResumes
	}
	return r.MaxResumes
}

// Job is one answer to carry.
type Job struct {
	Request *lagoonhead.Request
	// Endpoint is where Stream comes from.
	Endpoint lagoonhead.EndpointID
	// Stream is the open answer. The relay closes it.
	Stream lagoonhead.EventStream
	// After is the offset of the last event that the caller has, or -1 for a new
	// answer. Stream must begin after it.
	After int64
	// Resume opens the answer again after an offset, on another connection, and
	// returns the endpoint that it comes from. nil never resumes.
	Resume func(ctx context.Context, after int64) (lagoonhead.EventStream, lagoonhead.EndpointID, error)
	// FirstToken is called at the first event. It may be nil.
	FirstToken func()
	// IncludeUsage passes the engine's usage event on to the caller of a stream.
	IncludeUsage bool
}

// Result tells how an answer ended. It is valid with and without an error.
type Result struct {
	// Started is true once bytes have gone to the caller. Until then another
	// endpoint can be tried.
	Started bool
	// Last is the offset of the last event that was taken from the engine.
	Last int64
	// Endpoint is where the last event came from.
	Endpoint lagoonhead.EndpointID
	// Resumes is how often the stream was opened again.
	Resumes int
	// UsageKnown is true when the engine has reported its usage. PromptTokens is 0
	// otherwise, and OutputTokens is the number of events.
	UsageKnown bool
	// PromptTokens is the engine's count for the whole request.
	PromptTokens int
	// OutputTokens is the part of the answer that this call carried.
	OutputTokens int
}

// Stream copies the answer to w in OpenAI's form and ends it with the end mark.
// Before the first event nothing is written, so after an error with Started false
// the caller of Stream may try another endpoint. After it, a failure is written
// as an error event. The error has the kind of the last failure; ErrCallerGone
// means that w takes no more bytes.
func (r *Relay) Stream(ctx context.Context, w http.ResponseWriter, j Job) (Result, error) {
	r.counters.streams.Add(1)
	s := r.source(&j)
	defer s.close()
	o := &output{relay: r, job: &j, w: w, control: http.NewResponseController(w)}
	var u usage
	err := r.copyEvents(ctx, s, o, &u)
	if o.started {
		if err != nil && !errors.Is(err, ErrCallerGone) {
			o.fail(err)
		}
		o.release()
	}
	r.countEnd(o.started, err)
	return s.result(o.started, u), err
}

func (r *Relay) countEnd(started bool, err error) {
	switch {
	case err == nil:
	case errors.Is(err, ErrCallerGone):
		r.counters.callersGone.Add(1)
	case started:
		r.counters.failedStarted.Add(1)
	default:
		r.counters.failedNo.Add(1)
	}
}

func (r *Relay) copyEvents(ctx context.Context, s *source, o *output, u *usage) error {
	for {
		v, err := s.next(ctx)
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if !o.started {
			if j := o.job; j.FirstToken != nil && err == nil {
				j.FirstToken()
			}
			o.start()
		}
		if err != nil {
			return o.end()
		}
		r.counters.events.Add(1)
		if only := u.take(v.Data); !only || o.job.IncludeUsage {
			if err := o.event(s.endpoint, v); err != nil {
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

func (s *source) result(started bool, u usage) Result {
	v := Result{
		Started: started, Last: s.last, Endpoint: s.endpoint, Resumes: s.resumes,
		UsageKnown: u.known, PromptTokens: u.prompt, OutputTokens: int(s.last - s.job.After),
	}
	if u.known {
		// The events before After were carried, and counted, by another call.
		v.OutputTokens = max(u.output-int(s.job.After+1), 0)
	}
	return v
}

// usage is the token count of the engine.
type usage struct {
	known          bool
	prompt, output int
}

var usageKey = []byte(`"usage":`)

// take reads the usage of an event, and reports whether the event has nothing
// else. Quotes in the text of an answer are escaped, so the bytes that it looks
// for are always a key.
func (u *usage) take(data []byte) (only bool) {
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
	u.known, u.prompt, u.output = true, c.Usage.PromptTokens, c.Usage.CompletionTokens
	return len(c.Choices) == 0
}
