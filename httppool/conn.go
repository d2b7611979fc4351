package httppool

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 64 << 10
	// maxInterim bounds the interim responses before a response, and maxExtra the extra ones.
	maxInterim, maxExtra = 5, 64
	// maxExtraBytes bounds the body of an extra response.
	maxExtraBytes = 1 << 20
	// maxRequests is the number of requests after which a connection is closed. It bounds the
	// identifiers that the connection remembers.
	maxRequests = 1000
	// earlyResponseTime is how long a response is waited for when the request cannot be written: a
	// peer may respond and close before it has read the whole request.
	earlyResponseTime = 50 * time.Millisecond
	// unnamedResponseTime is how long a response is waited for behind one that names no request.
	// That one may have been the response itself, from a peer that breaks the protocol.
	unnamedResponseTime = 250 * time.Millisecond
	// restTime bounds the time to write the rest of a request whose response has ended, which
	// happens if a peer responds early and reads on.
	restTime = 10 * time.Second
	// maxStatus is the highest status of HTTP.
	maxStatus = 599
	// ackPollInterval is the time between checks whether the peer has acknowledged a request.
	ackPollInterval = time.Millisecond
)

var (
	// ErrWrongRequest means that a response names a request that its connection never carried.
	ErrWrongRequest = errors.New("the response belongs to another request")
	// ErrNotFinal means that the status of a response is not that of one that ends its request.
	ErrNotFinal      = errors.New("the status is not that of a final response")
	errHeaderTooLong = errors.New("the header of the response is too long")
	errTooManyExtra  = errors.New("too many responses that belong to no request")
	errTimeout       = errors.New("no response within the time limit")
)

// NewDialer returns a dialer with a timeout for connecting. userTimeout is
// TCP_USER_TIMEOUT: a connection is closed when sent bytes stay unacknowledged for this
// time.
func NewDialer(connectTimeout, userTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: connectTimeout,
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			controlErr := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if controlErr != nil {
				return controlErr
			}
			return err
		},
	}
}

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	transport *Transport
	key       poolKey
	// socket is the connection below TLS, or nil if it has no file descriptor.
	socket syscall.Conn
	in     headerLimiter
	reader *bufio.Reader
	// ids holds the hashes of the identifiers of the requests that the connection has carried.
	ids []uint64
	// idleSince is the time at which the connection became idle.
	idleSince time.Time
	// written is the number of bytes that may have been handed to the kernel.
	written atomic.Int64
}

func newConn(t *Transport, key poolKey, socket, c net.Conn) *conn {
	v := &conn{Conn: c, transport: t, key: key}
	v.socket, _ = socket.(syscall.Conn)
	v.in.Reader = c
	v.reader = bufio.NewReader(&v.in)
	return v
}

// Write writes b and counts it, without the bytes that were not written in the end. A write is
// counted before it starts, because the response can arrive before Write returns.
func (c *conn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n - len(b)))
	return n, err
}

// headerLimiter fails after left bytes while a header is being read.
type headerLimiter struct {
	io.Reader
	inHeader bool
	left     int
}

// Read implements io.Reader.
func (l *headerLimiter) Read(p []byte) (int, error) {
	if !l.inHeader {
		return l.Reader.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeaderTooLong
	}
	n, err := l.Reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// carried reports whether the connection has carried a request with the identifier.
func (c *conn) carried(id string) bool {
	return c.transport.IDHeader != "" && slices.Contains(c.ids, xxhash.Sum64String(id))
}

// isOpen reports whether the peer has neither closed the idle connection nor sent anything on it.
// It does not wait.
func (c *conn) isOpen() bool {
	if c.socket == nil {
		return true
	}
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return false
	}
	var readErr error
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, readErr = unix.Read(int(fd), b[:])
		return true
	})
	return err == nil && errors.Is(readErr, unix.EAGAIN)
}

// allAcknowledged reports whether the peer's kernel has acknowledged all that was written. It does so
// only while the peer has not closed the connection. It is false if that is not known.
func (c *conn) allAcknowledged() bool {
	if c.socket == nil {
		return false
	}
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return false
	}
	queued, queueErr := 0, error(nil)
	err = raw.Control(func(fd uintptr) { queued, queueErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return err == nil && queueErr == nil && queued == 0
}

// tcpCloseWait is the state of a connection that the peer has ended in order and this end has not.
const tcpCloseWait = 8

// isHalfClosed reports whether the peer has ended its direction of the connection in order and not
// reset the connection since.
func (c *conn) isHalfClosed() bool {
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return false
	}
	half := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		half = err == nil && info.State == tcpCloseWait
	})
	return err == nil && half
}

// send sends the request once and returns its response. encoded is the whole request, or nil
// if it is too large to be encoded in advance. After an error the connection is closed.
func (c *conn) send(r *http.Request, encoded *bytes.Buffer, x *Exchange) (*http.Response, error) {
	ctx := r.Context()
	id := c.transport.requestID(r)
	c.ids = append(c.ids, xxhash.Sum64String(id))
	e := &roundTrip{conn: c, ctx: ctx, keep: !r.Close && r.Method != http.MethodHead, writeEnded: make(chan struct{})}
	e.stop = context.AfterFunc(ctx, func() { c.Close() })
	if encoded != nil {
		_, err := c.Write(encoded.Bytes())
		e.wrote(err)
	} else {
		go func() { e.wrote(r.Write(c)) }()
	}
	var expired *time.Timer
	if limit := c.transport.ResponseTimeout; limit > 0 {
		expired = time.AfterFunc(limit, func() {
			e.timedOut.Store(true)
			c.Close()
		})
	}
	res, err := c.readResponse(id, x)
	if expired != nil && !expired.Stop() && err == nil {
		err = errTimeout
	}
	if err != nil {
		x.acknowledged = e.written.Load() && c.allAcknowledged()
		e.end(false)
		return nil, e.cause(err)
	}
	res.Request = r
	if r.Method == http.MethodHead {
		res.Body = http.NoBody
	}
	e.keep = e.keep && !res.Close
	if res.Body == http.NoBody {
		e.end(true)
		return res, nil
	}
	unframed := res.ContentLength < 0 && len(res.TransferEncoding) == 0
	res.Body = &responseBody{body: res.Body, roundTrip: e, unframed: unframed}
	return res, nil
}

// readResponse reads the response to the request with the identifier. It discards interim responses
// and extra ones: those that the peer has sent once more for earlier requests on the connection.
func (c *conn) readResponse(id string, x *Exchange) (*http.Response, error) {
	waits := false
	for interim, extra := 0, 0; interim <= maxInterim && extra <= maxExtra; {
		c.in.inHeader, c.in.left = true, maxHeaderBytes
		res, err := http.ReadResponse(c.reader, nil)
		c.in.inHeader = false
		if err != nil {
			return nil, err
		}
		if IsInterim(res.StatusCode) {
			interim++
			continue
		}
		if !IsFinal(res.StatusCode) {
			return nil, errors.Wrapf(ErrNotFinal, "%03d", res.StatusCode)
		}
		own, err := c.owns(res, id)
		if own && waits {
			_ = c.SetReadDeadline(time.Time{}) // fails only on a closed connection
		}
		if own || err != nil {
			return res, err
		}
		extra++
		n, err := io.CopyN(io.Discard, res.Body, maxExtraBytes)
		if err == nil {
			return nil, errors.Wrapf(errTooManyExtra, "one with more than %d bytes", n)
		}
		if !errors.Is(err, io.EOF) {
			return nil, err
		}
		if x.OnExtra != nil {
			x.OnExtra(res)
		}
		if res.Header.Get(c.transport.IDHeader) == "" {
			_ = c.SetReadDeadline(time.Now().Add(unnamedResponseTime)) // fails only on a closed connection
			waits = true
		}
	}
	return nil, errTooManyExtra
}

// IsInterim reports whether a response with the status comes before the one that ends its request.
func IsInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// IsFinal reports whether the status is that of a response that ends its request. A response with
// another one is no answer, and says nothing about what the server has done.
func IsFinal(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// owns reports whether a response belongs to the request with the identifier, the last one on the
// connection. If it does not, it is an extra response to an earlier request: no identifier travels
// twice on a connection. A response that names no request belongs to the only one, or to the last
// one if IDOptional is set; else it is extra, and another one is awaited for unnamedResponseTime. One
// that names a request that the connection never carried is an error.
func (c *conn) owns(res *http.Response, id string) (bool, error) {
	if c.transport.IDHeader == "" {
		return true, nil
	}
	got := res.Header.Get(c.transport.IDHeader)
	only := len(c.ids) == 1
	switch {
	case got == id || got == "" && (only || c.transport.IDOptional):
		return true, nil
	case !only && (got == "" || c.carried(got)):
		return false, nil
	default:
		return false, errors.Wrapf(ErrWrongRequest, "%q", got)
	}
}

// roundTrip is the state of a request on its connection.
type roundTrip struct {
	conn *conn
	ctx  context.Context
	// stop removes the function that closes the connection when ctx ends.
	stop func() bool
	// keep reports that the connection may be used again.
	keep bool
	// written is true once the whole request has been written, and writeErr is set if it could
	// not be.
	written  atomic.Bool
	writeErr atomic.Pointer[error]
	// writeEnded is closed after written or writeErr has been set.
	writeEnded chan struct{}
	timedOut   atomic.Bool
	ended      atomic.Bool
	// detached is true once the end of ctx does not matter any more.
	detached bool
}

// wrote records that the write of the request has ended.
func (e *roundTrip) wrote(err error) {
	defer close(e.writeEnded)
	if err == nil {
		e.written.Store(true)
		return
	}
	e.writeErr.Store(&err)
	_ = e.conn.SetReadDeadline(time.Now().Add(earlyResponseTime)) // fails only on a closed connection
}

// end ends the round trip. The connection is kept if the response is whole and nothing follows it.
// If the response is whole and the request is not, the connection is closed after the rest of the
// request, which the peer may still read.
func (e *roundTrip) end(whole bool) {
	if !e.ended.CompareAndSwap(false, true) {
		return
	}
	open := e.detached || e.stop()
	c := e.conn
	if whole && open && e.keep && e.written.Load() && c.reader.Buffered() == 0 && len(c.ids) < maxRequests {
		c.transport.put(c)
		return
	}
	if whole && open && !e.written.Load() && e.writeErr.Load() == nil {
		_ = c.SetWriteDeadline(time.Now().Add(restTime)) // fails only on a closed connection
		go func() {
			<-e.writeEnded
			c.Close()
		}()
		return
	}
	c.Close()
}

// confirmEnd returns an error unless the end of the stream is that of a body without a length: the
// peer has ended the connection in order and has got the whole request. The write of a request takes
// the error of a connection that was reset, and a read then sees the end of the stream. If a process
// ends, the kernel ends its connections in order if it had read all that had arrived.
func (e *roundTrip) confirmEnd() error {
	select {
	case <-e.ctx.Done():
		return io.ErrUnexpectedEOF
	case <-e.writeEnded:
	}
	if err := e.writeErr.Load(); err != nil {
		return errors.CombineErrors(io.ErrUnexpectedEOF, *err)
	}
	for e.conn.socket != nil && !e.conn.allAcknowledged() {
		if !e.conn.isHalfClosed() {
			return errors.Wrap(io.ErrUnexpectedEOF, "the connection ended before the request was acknowledged")
		}
		select {
		case <-e.ctx.Done():
			return io.ErrUnexpectedEOF
		case <-time.After(ackPollInterval):
		}
	}
	return nil
}

// cause returns why reading failed with err.
func (e *roundTrip) cause(err error) error {
	if cause := context.Cause(e.ctx); cause != nil {
		return errors.CombineErrors(cause, err)
	}
	if e.timedOut.Load() {
		return errors.CombineErrors(errTimeout, err)
	}
	if writeErr := e.writeErr.Load(); writeErr != nil && !IsEnd(err) {
		return errors.CombineErrors(*writeErr, err)
	}
	return err
}

// responseBody is the body of a response. Its end or its Close ends the round trip.
type responseBody struct {
	body      io.Reader
	roundTrip *roundTrip
	// unframed means that the body has neither a length nor chunks and ends with its connection.
	unframed bool
	// endErr is what all reads return once the body has ended.
	endErr error
}

// Read reads the body.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.endErr != nil {
		return 0, b.endErr
	}
	n, err := b.body.Read(p)
	if b.unframed && errors.Is(err, io.EOF) {
		if cut := b.roundTrip.confirmEnd(); cut != nil {
			err = cut
		}
	}
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.roundTrip.end(true)
	default:
		err = b.roundTrip.cause(err)
		b.roundTrip.end(false)
	}
	b.endErr = err
	return n, err
}

// Discard reads the rest of a body that is not used and closes it. It does not wait, and the end of the
// request's context does not end it. The connection is closed if the rest has more than maxBytes or
// takes longer than timeout.
func Discard(body io.ReadCloser, maxBytes int64, timeout time.Duration) {
	if b, ok := body.(*responseBody); ok {
		b.roundTrip.detached = b.roundTrip.stop()
	}
	expired := time.AfterFunc(timeout, func() { body.Close() })
	go func() {
		defer expired.Stop()
		_, _ = io.CopyN(io.Discard, body, maxBytes) // the connection is closed if this fails
		body.Close()
	}()
}

// IsEnd reports whether an error means that the peer has closed or reset the connection.
func IsEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// Close closes the connection unless the body has been read to its end.
func (b *responseBody) Close() error {
	b.roundTrip.end(false)
	return nil
}

// Exchange records what became of one request. The zero value is ready for use.
type Exchange struct {
	// OnExtra, if set, is called for each response that is discarded because it belongs to an
	// earlier request on the connection. Its body has been read.
	OnExtra func(res *http.Response)
	// OnConnected, if set, is called before the request is written, once there is a connection for it.
	OnConnected func()

	conn          *conn
	writtenBefore int64
	reused        bool
	acknowledged  bool
}

func (x *Exchange) begin(c *conn) {
	x.conn, x.writtenBefore, x.reused = c, c.written.Load(), len(c.ids) > 0
	if x.OnConnected != nil {
		x.OnConnected()
	}
}

// Written reports whether a byte of the request can have been sent.
func (x *Exchange) Written() bool { return x.conn != nil && x.conn.written.Load() > x.writtenBefore }

// Connected reports whether a connection was available for the request.
func (x *Exchange) Connected() bool { return x.conn != nil }

// Acknowledged reports, after an error, whether the peer has acknowledged the whole request: it had not
// closed the connection when the request arrived.
func (x *Exchange) Acknowledged() bool { return x.acknowledged }

// Reused reports whether the connection had carried another request before.
func (x *Exchange) Reused() bool { return x.reused }
