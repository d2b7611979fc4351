package httprefuse

import (
	"bufio"
	"bytes"
	"expvar"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxFirstRead is the number of bytes in which a header section is looked for without waiting.
	maxFirstRead = 16 << 10
	// maxArrived is the number of bytes that are read without waiting, so that a client that sends
	// without end does not keep others from being accepted.
	maxArrived = 512 << 10
	// maxHeaderBytes bounds the header section of a request.
	maxHeaderBytes = 64 << 10
	// headerTimeout bounds the wait for a header section, and lingerTimeout the wait for the
	// client to close the connection after the response.
	headerTimeout, lingerTimeout = time.Second, time.Second
	// timeoutSteps is the number of equal steps in which these times pass.
	timeoutSteps = 4
)

var endOfHeader = []byte("\r\n\r\n")

// Refuser refuses requests. Set the exported fields before the first call of Refuse.
type Refuser struct {
	// Response returns the response to a request. It has no body.
	Response func(r *http.Request) *http.Response
	// MaxWaiting returns the number of connections that may wait at the same time for the rest of a
	// request or for the client to close. A connection beyond it is closed at once.
	MaxWaiting func() int64

	waiting                         atomic.Int64
	buffers                         sync.Pool // of *buffer
	answered, silent, left, dropped expvar.Int
}

// buffer holds what is read without waiting, and the response.
type buffer struct {
	arrived  [maxFirstRead]byte
	request  *bufio.Reader
	response bytes.Buffer
}

// Vars returns the number of connections by how they ended: a response was sent (answered), no
// request came (silent), the client had left (left), or the connection was closed although a request
// may have come, which got no response or one that the close may have destroyed (dropped).
func (f *Refuser) Vars() *expvar.Map {
	v := new(expvar.Map)
	v.Set("answered", &f.answered)
	v.Set("silent", &f.silent)
	v.Set("left", &f.left)
	v.Set("dropped", &f.dropped)
	return v
}

// Dropped returns the number of connections that were closed although a request may have come.
func (f *Refuser) Dropped() int64 { return f.dropped.Value() }

// Waiting returns the number of connections that wait for the rest of a request or for the client to
// close.
func (f *Refuser) Waiting() int64 { return f.waiting.Load() }

// Refuse refuses the first request on a connection and closes the connection. It does not wait: a
// request that has not arrived whole is refused by a goroutine.
func (f *Refuser) Refuse(c net.Conn) {
	b, ok := f.buffers.Get().(*buffer)
	if !ok {
		b = &buffer{request: bufio.NewReader(nil)}
	}
	defer f.buffers.Put(b)
	rest := &arrivedReader{conn: c, left: maxArrived}
	n, _ := rest.Read(b.arrived[:]) // refuseLater meets the error again
	arrived := b.arrived[:n]
	if !bytes.Contains(arrived, endOfHeader) {
		f.refuseLater(c, bytes.Clone(arrived))
		return
	}
	b.request.Reset(io.MultiReader(bytes.NewReader(arrived), rest))
	r, ok := f.respond(c, b.request, &b.response)
	if !ok {
		_ = c.Close() // the client has left
		return
	}
	if r != nil && rest.discard(r.Body) {
		f.answered.Add(1)
		_ = c.Close() // all input was read, so the close does not reset the connection
		return
	}
	f.await(c, func(c net.Conn) {
		linger(c)
		f.answered.Add(1)
	})
}

// refuseLater refuses a request whose header section has not arrived whole.
func (f *Refuser) refuseLater(c net.Conn, arrived []byte) {
	f.await(c, func(c net.Conn) {
		in := bufio.NewReader(io.LimitReader(io.MultiReader(bytes.NewReader(arrived), newSteppedReader(c, headerTimeout)), maxHeaderBytes))
		if _, err := in.Peek(1); err != nil {
			f.silent.Add(1)
			return
		}
		if _, ok := f.respond(c, in, new(bytes.Buffer)); ok {
			linger(c)
			f.answered.Add(1)
		}
	})
}

// await calls do in a goroutine and closes the connection then. If too many connections wait, it
// closes the connection at once.
func (f *Refuser) await(c net.Conn, do func(c net.Conn)) {
	if f.waiting.Add(1) > f.MaxWaiting() {
		f.waiting.Add(-1)
		f.dropped.Add(1)
		_ = c.Close() // counted above
		return
	}
	go func() {
		defer f.waiting.Add(-1)
		defer c.Close()
		do(c)
	}()
}

// respond reads the header section of a request and writes the response. It returns nil for a
// request that cannot be read, and false if the client had left.
func (f *Refuser) respond(c net.Conn, in *bufio.Reader, out *bytes.Buffer) (r *http.Request, ok bool) {
	r, err := http.ReadRequest(in)
	var w *http.Response
	var timeout net.Error
	switch {
	case err == nil:
		w = f.Response(r) //nolint:bodyclose // it has no body
	case errors.As(err, &timeout) && timeout.Timeout():
		r, w = nil, &http.Response{StatusCode: http.StatusRequestTimeout}
	default:
		r, w = nil, &http.Response{StatusCode: http.StatusBadRequest}
	}
	w.ProtoMajor, w.ProtoMinor, w.Close = 1, 1, true
	out.Reset()
	_ = w.Write(out) // a buffer takes all
	if _, err := c.Write(out.Bytes()); err != nil {
		f.left.Add(1)
		return nil, false
	}
	return r, true
}

// linger ends the response and reads what the client still sends, since closing a connection with
// unread input would reset it and could destroy the response.
func linger(c net.Conn) {
	if w, ok := c.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite() // an error means that the client has left
	}
	_, _ = io.Copy(io.Discard, newSteppedReader(c, lingerTimeout)) // ends with the timeout, or when the client has left
}

// steppedReader reads from a connection until a timeout, which passes in steps. While the process
// is stalled, deadlines pass although no read was tried, and a read fails then even if its input has
// arrived. With steps, a stall of any length uses up only one of them.
type steppedReader struct {
	conn  net.Conn
	step  time.Duration
	steps int // that are left after the present one
}

// newSteppedReader returns a reader of c whose timeout begins now.
func newSteppedReader(c net.Conn, timeout time.Duration) *steppedReader {
	s := &steppedReader{conn: c, step: timeout / timeoutSteps, steps: timeoutSteps}
	s.begin()
	return s
}

// begin begins the next step.
func (s *steppedReader) begin() {
	s.steps--
	_ = s.conn.SetReadDeadline(time.Now().Add(s.step)) // fails only on a closed connection
}

// Read reads from the connection. After the last step it returns the error of the deadline.
func (s *steppedReader) Read(p []byte) (int, error) {
	for {
		n, err := s.conn.Read(p)
		if n > 0 || s.steps == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		s.begin()
	}
}

// errNotArrived is the error of reading more than has arrived.
var errNotArrived = errors.New("httprefuse: no more input has arrived")

// arrivedReader reads what has arrived on a connection without waiting, and at most left bytes.
type arrivedReader struct {
	conn net.Conn
	left int
}

// Read reads what has arrived. It returns errNotArrived instead of waiting.
func (a *arrivedReader) Read(p []byte) (n int, err error) {
	s, ok := a.conn.(syscall.Conn)
	if !ok || a.left == 0 {
		return 0, errNotArrived
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	p = p[:min(len(p), a.left)]
	var failure error
	err = raw.Read(func(fd uintptr) bool {
		n, failure = syscall.Read(int(fd), p)
		return true
	})
	switch {
	case err != nil:
		return 0, err
	case errors.Is(failure, syscall.EAGAIN):
		return 0, errNotArrived
	case failure != nil:
		return 0, failure
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	a.left -= n
	return n, nil
}

// discard reads the body of a request and what follows it, and reports whether the body had arrived
// whole and nothing that has arrived is left to read.
func (a *arrivedReader) discard(body io.Reader) bool {
	if _, err := io.Copy(io.Discard, body); err != nil {
		return false
	}
	_, err := io.Copy(io.Discard, a)
	return err == nil || errors.Is(err, errNotArrived) && a.left > 0
}
