package relay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

// output writes one stream to a caller. It keeps its buffer, so that an event
// costs no allocation here.
type output struct {
	relay    *Relay
	job      *Job
	w        http.ResponseWriter
	control  *http.ResponseController
	started  bool
	limited  bool
	endpoint lagoonhead.EndpointID
	sealer   *streamSealer
	buf      []byte
}

func (o *output) start() {
	h := o.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	// Some balancers hold a stream back without this.
	h.Set("X-Accel-Buffering", "no")
	o.w.WriteHeader(http.StatusOK)
	o.started = true
	o.buf = make([]byte, 0, firstBufferBytes)
	o.limited = o.relay.WriteLimit >= 0
	o.limit()
}

// limit bounds the next write. A writer that knows no deadlines goes without.
func (o *output) limit() {
	if !o.limited {
		return
	}
	d := o.relay.WriteLimit
	if d == 0 {
		d = defaultWriteLimit
	}
	o.limited = o.control.SetWriteDeadline(o.relay.Timer.Wall().Add(d)) == nil
}

// release takes the bound off, since the connection may serve another request.
func (o *output) release() {
	if o.limited {
		_ = o.control.SetWriteDeadline(time.Time{})
	}
}

// event writes one event without a flush.
func (o *output) event(e lagoonhead.EndpointID, v lagoonhead.StreamEvent) error {
	if o.sealer == nil || e != o.endpoint {
		s, err := o.relay.Sealer.stream(e, o.job.Request.ID(), o.job.Request.Workspace())
		if err != nil {
			return err
		}
		o.sealer, o.endpoint = s, e
	}
	b := append(o.buf[:0], "id: "...)
	b = o.sealer.append(b, v.Offset)
	b = append(b, '\n')
	o.buf = appendData(b, v.Data)
	return o.write(o.buf)
}

// appendData appends the data lines and the end of an event.
func appendData(b, data []byte) []byte {
	for {
		i := bytes.IndexByte(data, '\n')
		if i < 0 {
			break
		}
		b = append(append(append(b, "data: "...), data[:i]...), '\n')
		data = data[i+1:]
	}
	return append(append(append(b, "data: "...), data...), "\n\n"...)
}

func (o *output) write(b []byte) error {
	if _, err := o.w.Write(b); err != nil {
		return gone(err)
	}
	return nil
}

func (o *output) flush() error {
	o.limit()
	if err := o.control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return gone(err)
	}
	return nil
}

func gone(err error) error {
	return fail("relay.write", lagoonhead.KindUnknown, fmt.Errorf("%w: %w", ErrCallerGone, err))
}

// end writes the end mark.
func (o *output) end() error {
	if err := o.write([]byte("data: [DONE]\n\n")); err != nil {
		return err
	}
	return o.flush()
}

// fail writes an error event in place of the rest of the answer. The caller sees
// no end mark and can resume with the id of its last event.
func (o *output) fail(cause error) {
	var v struct {
		Error struct {
			Message string `json:"message"`
			Type    string `json:"type"`
			Code    string `json:"code"`
		} `json:"error"`
	}
	v.Error.Message = "the answer is incomplete; resume it with the id of the last event"
	v.Error.Type = "server_error"
	v.Error.Code = lagoonhead.KindOf(cause).String()
	b, err := json.Marshal(v)
	if err != nil {
		return
	}
	if o.write(appendData(nil, b)) == nil {
		_ = o.flush()
	}
}
