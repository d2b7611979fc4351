package entry

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/lagoonhead/lagoonhead/timer"
)

// callerListener accepts the connections of callers and keeps those that are open. Its finish
// replaces http.Server.Shutdown, which resets the connections that wait to be accepted and drops
// requests that are read after it was called.
type callerListener struct {
	net.Listener
	// socket is the listening socket below Listener. It may be nil.
	socket syscall.Conn
	log    *zap.Logger

	// unanswered counts the connections that this process closed while a request on them had no
	// byte of an answer, and callersLeft those of which the caller had closed its side before.
	unanswered, callersLeft expvar.Int

	mu       sync.Mutex
	finished bool
	open     map[*callerConn]struct{}
	// ended is closed when Accept has returned http.ErrServerClosed, after which there is no
	// connection that is not in open.
	ended chan struct{}
}

func newCallerListener(l net.Listener, socket syscall.Conn, log *zap.Logger) *callerListener {
	return &callerListener{Listener: l, socket: socket, log: log, open: make(map[*callerConn]struct{}), ended: make(chan struct{})}
}

// Accept returns the next connection, or http.ErrServerClosed after finish.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		if l.finished {
			close(l.ended)
			return nil, http.ErrServerClosed
		}
		return nil, err
	}
	v := &callerConn{Conn: c, listener: l}
	l.open[v] = struct{}{}
	return v, nil
}

// stateChanged is the ConnState hook of the server.
func (l *callerListener) stateChanged(c net.Conn, s http.ConnState) {
	if v, ok := c.(*callerConn); ok && s == http.StateIdle {
		v.becomeIdle()
	}
}

// finish closes the listener once no connection waits to be accepted, and each connection once no
// request on it waits to be read or answered. It returns the number of connections on which some
// are left when ctx ends.
func (l *callerListener) finish(ctx context.Context, t timer.Timer) (left int) {
	for l.socket != nil && readable(l.socket) && t.Sleep(ctx, drainPollInterval) == nil {
	}
	l.mu.Lock()
	l.finished = true
	l.mu.Unlock()
	l.Close()
	select {
	case <-l.ended:
	case <-ctx.Done():
	}
	for _, c := range l.list() {
		c.end()
	}
	for {
		left = len(l.list())
		if left == 0 || t.Sleep(ctx, drainPollInterval) != nil {
			return left
		}
	}
}

func (l *callerListener) list() (list []*callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		list = append(list, c)
	}
	return list
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	listener *callerListener

	mu sync.Mutex
	// unanswered is true from the first byte of a request to the end of its answer.
	unanswered bool
	// answering is true from the first byte of the answer on.
	answering bool
	// left is true when the caller has closed its side.
	left bool
	// closed is true after Close.
	closed bool
	// ending is true when the connection is to be closed as soon as no request is on it.
	ending bool
	// interrupted is true while the read deadline is one of callerConn, not of the server.
	interrupted bool
}

// end ends the connection once no request on it waits to be read or answered. The server closes it
// when a read between two requests fails.
func (c *callerConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	if !c.unanswered {
		c.interrupt()
	}
}

// interrupt makes the read in progress and later ones fail. The caller holds mu.
func (c *callerConn) interrupt() {
	c.interrupted = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // an error means that the connection is closed already
}

// Read reads from the connection. If it was interrupted, it fails only if there is nothing to read.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.resume() {
		n, err = c.Conn.Read(p)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.unanswered = true
	}
	if err != nil && !c.closed && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.left = true
	}
	return n, err
}

// Write writes to the connection.
func (c *callerConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.answering = true
	}
	return n, err
}

// resume removes the deadline of an interrupted connection, if a part of a request was read or
// waits to be read, and reports whether it has done so.
func (c *callerConn) resume() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted || !c.unanswered && !c.readable() {
		return false
	}
	c.interrupted = false
	return c.Conn.SetReadDeadline(time.Time{}) == nil
}

func (c *callerConn) readable() bool {
	s, ok := c.NetConn().(syscall.Conn)
	return ok && readable(s)
}

// SetReadDeadline sets the deadline of the server, unless the connection is to be closed.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending && !c.unanswered {
		c.interrupt()
		return nil
	}
	c.interrupted = false
	return c.Conn.SetReadDeadline(t)
}

// becomeIdle records that the last request has been answered.
func (c *callerConn) becomeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered, c.answering = false, false
}

// Close closes the connection.
func (c *callerConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	c.recordEnd()
	return c.Conn.Close()
}

// recordEnd counts and logs the end of a connection on which a request, or a part of one, has no
// answer.
func (c *callerConn) recordEnd() {
	c.mu.Lock()
	defer c.mu.Unlock()
	lost := !c.closed && c.unanswered && !c.answering
	c.closed = true
	switch {
	case lost && c.left:
		c.listener.callersLeft.Add(1)
	case lost:
		c.listener.unanswered.Add(1)
		c.listener.log.Warn("connection closed without an answer", zap.Stringer("caller", c.RemoteAddr()))
	}
}

// NetConn returns the connection of the operating system, of which options can be set.
func (c *callerConn) NetConn() net.Conn {
	if w, ok := c.Conn.(interface{ NetConn() net.Conn }); ok {
		return w.NetConn()
	}
	return c.Conn
}

// CloseWrite lets the HTTP server end a connection without a reset that could destroy the answer.
func (c *callerConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// readable reports whether a read from a connection, or an accept from a listener, returns at once.
func readable(s syscall.Conn) bool {
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	var ready bool
	err = raw.Control(func(fd uintptr) {
		f := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(f, 0)
		ready = err == nil && n > 0 && f[0].Revents&unix.POLLIN != 0
	})
	return err == nil && ready
}
