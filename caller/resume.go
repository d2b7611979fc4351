package caller

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/relay"
)

// resume continues a stream after the event whose identifier, a sealed resume token,
// the caller sends in Last-Event-ID. The request is neither admitted nor placed again,
// because its tokens were charged when it was dispatched first.
func (x *exchange) resume(body *completionBody, sealed []string) error {
	x.server.vars.resumes.Add(1)
	token, err := x.openToken(body, sealed)
	if err != nil {
		return err
	}
	e, ok := x.findEngine(body.model, token.Endpoint(), token.Pin())
	x.id = token.Request()
	x.writer.Header().Set(headerRequestID, string(x.id))
	x.runState = runYes
	if !ok {
		return refusal(http.StatusGone, lagoonhead.KindNotFound, "resume_gone", "the endpoint that ran the request is gone, or its software has another version")
	}
	req, err := x.newRequest(body.model)
	if err != nil {
		return err
	}
	c := newCompletionRun(x, req, body)
	defer c.deadline.close()
	return c.resumeOn(e, token.Offset())
}

func (x *exchange) openToken(body *completionBody, sealed []string) (relay.ResumePoint, error) {
	if len(sealed) != 1 || !body.stream {
		return relay.ResumePoint{}, invalid("invalid_resume_token", "resuming a stream needs exactly one Last-Event-ID header and stream set to true")
	}
	p, err := x.server.Sealer.Open(sealed[0], x.workspace)
	switch {
	case err == nil:
		return p, nil
	case lagoonhead.IsKind(err, lagoonhead.KindForbidden):
		return p, refusal(http.StatusForbidden, lagoonhead.KindForbidden, "foreign_resume_token", "the stream belongs to another workspace")
	default:
		return p, invalid("invalid_resume_token", "Last-Event-ID is not an event identifier of this service")
	}
}

// findEngine returns the engine with the identifier, if the pin allows it.
func (x *exchange) findEngine(model string, id lagoonhead.EndpointID, v lagoonhead.VersionPin) (lagoonhead.Endpoint, bool) {
	for _, e := range x.directory.Endpoints(lagoonhead.EndpointKindEngine, model) {
		if e.ID() == id && v.Allows(e) {
			return e, true
		}
	}
	return lagoonhead.Endpoint{}, false
}

func (c *completionRun) resumeOn(e lagoonhead.Endpoint, after int64) error {
	x := c.exchange
	s := x.server
	s.inFlight.add(e.ID(), 1)
	defer s.inFlight.add(e.ID(), -1)
	events, err := c.openStream(c.ctx, e, after)
	if err == nil && !c.deadline.disarm() {
		events.Close()
		err = errDeadline
	}
	if err != nil {
		return fault("caller.resume", deliveryKind(err), deadlineError(c.ctx, err))
	}
	x.writer.Header().Set(headerRun, string(runYes))
	x.streaming = true
	t := c.transfer(e, events, after)
	// The daemon that began the stream has recorded the usage of the prompt and of the
	// output before the break. Only the rest is recorded here.
	t.BeforeEnd = func(r relay.Result) { c.recordRest(r) }
	res, err := s.Relay.Stream(c.ctx, x.writer, t)
	if !c.usageRecorded {
		c.recordRest(res)
	}
	if err != nil {
		return fault("caller.resume", deliveryKind(err), errors.Wrap(err, "resumed stream"))
	}
	x.recordDecision("completed", "resumed on %s after offset %d, %d tokens", e.ID(), after, res.OutputTokens)
	return nil
}

func (c *completionRun) recordRest(r relay.Result) {
	c.usageRecorded = true
	c.record(lagoonhead.WorkspaceUsage{OutputTokens: int64(r.OutputTokens)})
}
