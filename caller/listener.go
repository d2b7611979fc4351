package caller

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// acceptTime is the time between two looks at the accept queue of a closing listener.
const acceptTime = 10 * time.Millisecond

var errListenerClosed = errors.New("the listener was closed with an empty accept queue")

// drainListener is a listener that can be closed without resetting the connections in its
// accept queue.
type drainListener struct {
	net.Listener
	closing atomic.Bool
}

// pollable is a listener of the operating system.
type pollable interface {
	syscall.Conn
	SetDeadline(time.Time) error
}

// startClosing makes Accept close the listener once the accept queue is empty, and return
// errListenerClosed. A listener that is not pollable is closed at once.
func (l *drainListener) startClosing() {
	l.closing.Store(true)
	if p, ok := l.Listener.(pollable); !ok || p.SetDeadline(pastTime) != nil {
		l.Close()
	}
}

// Accept returns the next connection.
func (l *drainListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		switch {
		case err == nil || !l.closing.Load():
			return c, err
		case errors.Is(err, net.ErrClosed):
			return nil, errListenerClosed
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		}
		// Accept fails after its deadline even if the queue has a connection.
		p := l.Listener.(pollable)
		if stopIfEmpty(p) || p.SetDeadline(time.Now().Add(acceptTime)) != nil {
			return nil, errListenerClosed
		}
	}
}

// stopIfEmpty makes a socket stop listening if its accept queue is empty. The two system
// calls are adjacent, because the kernel resets a connection that is established between
// them.
func stopIfEmpty(c syscall.Conn) (stopped bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) {
		if stopped = !isReadable(fd); stopped {
			_ = unix.Shutdown(int(fd), unix.SHUT_RD)
		}
	})
	return stopped || err != nil
}

// isReadable reports whether a listener has connections to accept, or a connection has
// bytes to read or was closed by its client.
func isReadable(fd uintptr) bool {
	n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	return err == nil && n > 0
}
