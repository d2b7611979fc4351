package httpdrain

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

const (
	// pollInterval is the time between checks whether connections have ended.
	pollInterval = 10 * time.Millisecond
	// quietTime is how long nothing has come on a connection that Finish closes. The next request
	// may be on its way until then.
	quietTime = 300 * time.Millisecond
)

// Listener accepts the connections of a server and keeps those that are open. Set the exported
// fields before the first call of Accept.
type Listener struct {
	net.Listener
	// Socket is the listening socket below Listener. It may be nil, and then the connections that
	// wait to be accepted when Finish is called are reset.
	Socket syscall.Conn
	// Log gets a line for each connection that this process closed while a request on it had no
	// byte of an answer.
	Log *zap.Logger
	// Pending returns the number of connections that Accept did not return and that Finish is to
	// wait for. It may be nil.
	Pending func() int64

	// unanswered counts these connections, and callersLeft those of which the caller had closed its
	// side before.
	unanswered, callersLeft expvar.Int

	closeOnce  sync.Once
	closeError error

	mu       sync.Mutex
	finished bool
	open     map[*conn]struct{}
	// ended is closed when Accept has returned http.ErrServerClosed, after which there is no
	// connection that is not in open. Finish creates it.
	ended chan struct{}
}

// Vars returns the number of connections that were closed while a request on them had no byte of an
// answer: by this process (unanswered), or after the caller had closed its side (callersLeft).
func (l *Listener) Vars() *expvar.Map {
	m := new(expvar.Map)
	m.Set("unanswered", &l.unanswered)
	m.Set("callersLeft", &l.callersLeft)
	return m
}

// Accept returns the next connection, or http.ErrServerClosed after Finish.
func (l *Listener) Accept() (net.Conn, error) {
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
	v := &conn{Conn: c, listener: l, quietSince: time.Now()}
	if l.open == nil {
		l.open = make(map[*conn]struct{})
	}
	l.open[v] = struct{}{}
	return v, nil
}

// Close closes the listener. Later calls return the result of the first, since http.Server.Shutdown
// closes a listener that Finish has closed if Serve has not returned yet.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { l.closeError = l.Listener.Close() })
	return l.closeError
}

// StateChanged is the ConnState hook of the server.
func (l *Listener) StateChanged(c net.Conn, s http.ConnState) {
	v, ok := c.(*conn)
	switch {
	case ok && s == http.StateActive:
		v.becomeActive()
	case ok && s == http.StateIdle:
		v.becomeIdle()
	}
}

// Finish closes the listener once no connection waits to be accepted, and each connection once no
// request on it waits to be read or answered. The handler should ask callers to close their
// connections meanwhile. Finish returns the number of connections that are left when ctx ends, and
// must be called once, while the server accepts.
func (l *Listener) Finish(ctx context.Context, t timer.Timer) (left int) {
	ended := make(chan struct{})
	accepting, cancel := halfOf(ctx)
	defer cancel()
	for !l.stop(ended, accepting.Err() != nil) {
		_ = t.Sleep(accepting, pollInterval) // the next call of stop is the last if the time is over
	}
	if err := l.Close(); err != nil {
		l.Log.Warn("listener of callers' connections cannot be closed", zap.Error(err))
	}
	select {
	case <-ended:
	case <-ctx.Done():
	}
	for {
		open := l.list()
		for _, c := range open {
			c.endIfQuiet()
		}
		left = len(open)
		if l.Pending != nil {
			left += int(l.Pending())
		}
		if left == 0 || t.Sleep(ctx, pollInterval) != nil {
			return left
		}
	}
}

// halfOf returns a context with half of the time that ctx has left. The rest is for the requests that
// were accepted.
func halfOf(ctx context.Context) (context.Context, context.CancelFunc) {
	if end, ok := ctx.Deadline(); ok {
		return context.WithTimeout(ctx, time.Until(end)/2)
	}
	return context.WithCancel(ctx)
}

// stop makes the socket stop listening if no connection waits to be accepted, or always if force is
// set, and reports whether it did. Accept closes ended then.
func (l *Listener) stop(ended chan struct{}, force bool) bool {
	l.mu.Lock() // Accept looks at finished after its error
	defer l.mu.Unlock()
	l.finished = l.Socket == nil || stopIfEmpty(l.Socket) || force
	l.ended = ended
	return l.finished
}

// Unanswered returns the number of connections with a request, or a part of one, that has no whole
// answer.
func (l *Listener) Unanswered() (n int) {
	for _, c := range l.list() {
		c.mu.Lock()
		if c.unanswered {
			n++
		}
		c.mu.Unlock()
	}
	return n
}

func (l *Listener) list() (list []*conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		list = append(list, c)
	}
	return list
}

// conn is a connection of a caller.
type conn struct {
	net.Conn
	listener *Listener

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
	// quietSince is when the connection was accepted or the last request answered.
	quietSince time.Time
	// interrupted is true while the read deadline is one of conn, not of the server.
	interrupted bool
}

// endIfQuiet ends a connection on which nothing has come for quietTime. The server closes it when a
// read between two requests fails.
func (c *conn) endIfQuiet() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending || c.unanswered || time.Since(c.quietSince) < quietTime {
		return
	}
	c.ending = true
	c.interrupt()
}

// interrupt makes the read in progress and later ones fail. The caller holds mu.
func (c *conn) interrupt() {
	c.interrupted = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // an error means that the connection is closed already
}

// Read reads from the connection. If it was interrupted, it fails only if there is nothing to read.
func (c *conn) Read(p []byte) (int, error) {
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
func (c *conn) Write(p []byte) (int, error) {
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
func (c *conn) resume() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted || !c.unanswered && !c.readable() {
		return false
	}
	c.interrupted = false
	return c.Conn.SetReadDeadline(time.Time{}) == nil
}

func (c *conn) readable() bool {
	s, ok := c.NetConn().(syscall.Conn)
	return ok && readable(s)
}

// SetReadDeadline sets the deadline of the server, unless the connection is to be closed.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending && !c.unanswered {
		c.interrupt()
		return nil
	}
	c.interrupted = false
	return c.Conn.SetReadDeadline(t)
}

// becomeActive records that the header of a request was read. It may have arrived together with the
// request before it, so that no read of the connection tells of it.
func (c *conn) becomeActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered = true
}

// becomeIdle records that the last request has been answered.
func (c *conn) becomeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered, c.answering, c.quietSince = false, false, time.Now()
}

// Close closes the connection.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	c.recordEnd()
	return c.Conn.Close()
}

// recordEnd counts and logs the end of a connection on which a request, or a part of one, has no
// answer.
func (c *conn) recordEnd() {
	c.mu.Lock()
	defer c.mu.Unlock()
	lost := !c.closed && c.unanswered && !c.answering
	c.closed = true
	switch {
	case lost && c.left:
		c.listener.callersLeft.Add(1)
	case lost:
		c.listener.unanswered.Add(1)
		c.listener.Log.Warn("connection closed without an answer", zap.Stringer("caller", c.RemoteAddr()))
	}
}

// NetConn returns the connection of the operating system, of which options can be set.
func (c *conn) NetConn() net.Conn {
	if w, ok := c.Conn.(interface{ NetConn() net.Conn }); ok {
		return w.NetConn()
	}
	return c.Conn
}

// CloseWrite lets the HTTP server end a connection without a reset that could destroy the answer.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// readable reports whether a connection has input or was closed by its peer.
func readable(s syscall.Conn) (ready bool) {
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) { ready = isReadable(fd) })
	return ready && err == nil
}

// stopIfEmpty makes a socket stop listening if no connection waits to be accepted. The two system
// calls are adjacent, because the kernel resets a connection that is established between them.
func stopIfEmpty(s syscall.Conn) (stopped bool) {
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) {
		if stopped = !isReadable(fd); stopped {
			_ = unix.Shutdown(int(fd), unix.SHUT_RD) // the listener is closed anyway
		}
	})
	return stopped || err != nil
}

func isReadable(fd uintptr) bool {
	f := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	n, err := unix.Poll(f, 0)
	return err == nil && n > 0
}
