package httplimit

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// writeCheck is the time between two looks at a write that is blocked, and maxStalledChecks the
	// number of looks without progress after which the caller counts as one that does not read. An
	// engine cuts off an answer that remains unread for some seconds, so a longer wait gains nothing.
	writeCheck       = time.Second
	maxStalledChecks = 5
)

// writeProgress tells a caller that reads slowly from one that does not read. It is used by one
// writer at a time.
type writeProgress struct {
	// onStall is called when a write is given up.
	onStall func()
	// interrupted is true once writes must fail.
	interrupted atomic.Bool
}

// write writes p, and fails with os.ErrDeadlineExceeded if the peer takes nothing for
// maxStalledChecks times writeCheck.
func (w *writeProgress) write(c net.Conn, p []byte) (written int, err error) {
	queued, stalled := -1, 0
	for {
		_ = c.SetWriteDeadline(time.Now().Add(writeCheck)) // fails only on a closed connection
		if w.interrupted.Load() {
			return written, os.ErrDeadlineExceeded
		}
		n, err := c.Write(p[written:])
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		// The buffer accepts more only when a large part of it is free, so the bytes in it are looked
		// at too.
		left := queuedBytes(c)
		if stalled++; n > 0 || left < queued || queued < 0 {
			stalled = 0
		}
		if queued = left; stalled >= maxStalledChecks {
			w.onStall()
			return written, err
		}
	}
}

// queuedBytes returns the number of bytes that the peer has not acknowledged, or 0 if it is unknown.
func queuedBytes(c net.Conn) (n int) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	if err := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); err != nil {
		return 0
	}
	return n
}
