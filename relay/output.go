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

// output writes one stream to a caller. It reuses its buffer to avoid an allocation per
// event.
type output struct {
	relay       *Relay
	transfer    *Transfer
	w           http.ResponseWriter
	control     *http.ResponseController
	started     bool
	useDeadline bool
	// endpoint is the engine that sealer was created for.
	endpoint lagoonhead.EndpointID
	sealer   *streamSealer
	buf      []byte
}

func (o *output) writeHeader() {
	h := o.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	// Without this header some reverse proxies buffer the stream.
	h.Set("X-Accel-Buffering", "no")
	o.w.WriteHeader(http.StatusOK)
	o.started = true
	o.buf = make([]byte, 0, firstBufferBytes)
	o.useDeadline = o.relay.WriteTimeout >= 0
	o.setWriteDeadline()
}

// setWriteDeadline sets the deadline of the next write, if Relay.WriteTimeout has a bound
// and the ResponseWriter supports deadlines.
func (o *output) setWriteDeadline() {
	if !o.useDeadline {
		return
	}
	d := o.relay.WriteTimeout
	if d == 0 {
		d = defaultWriteLimit
	}
	o.useDeadline = o.control.SetWriteDeadline(o.relay.Timer.Wall().Add(d)) == nil
}

// clearWriteDeadline removes the deadline, because the connection may serve another
// request.
func (o *output) clearWriteDeadline() {
	if o.useDeadline {
		_ = o.control.SetWriteDeadline(time.Time{})
	}
}

// writeEvent writes one event and does not flush.
func (o *output) writeEvent(e lagoonhead.EndpointID, v lagoonhead.StreamEvent) error {
	if o.sealer == nil || e != o.endpoint {
		s, err := o.relay.Sealer.stream(NewResumePoint(e, o.transfer.Request.ID(), o.transfer.Request.Workspace(), 0).WithSoftware(o.transfer.Software))
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

// appendData appends the data lines of an event and the blank line that ends it.
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
		return callerGoneError(err)
	}
	return nil
}

func (o *output) flush() error {
	o.setWriteDeadline()
	if err := o.control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return callerGoneError(err)
	}
	return nil
}

func callerGoneError(err error) error {
	return fail("relay.write", lagoonhead.KindUnknown, fmt.Errorf("%w: %w", ErrCallerGone, err))
}

// writeDone writes the final [DONE] event and flushes.
func (o *output) writeDone() error {
	if err := o.write([]byte("data: [DONE]\n\n")); err != nil {
		return err
	}
	return o.flush()
}

// writeError writes an error event in place of the rest of the response. The caller gets
// no [DONE] event and can resume with the id of its last event.
func (o *output) writeError(cause error) {
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
