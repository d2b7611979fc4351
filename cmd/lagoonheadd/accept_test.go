package main

import (
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// stalledMemoryMB is the limit in the settings of a daemon that accepts no connections for a while,
	// and stalledCrowd the number of its callers.
	stalledMemoryMB, stalledCrowd = 96, 2000
	// fillTimeout bounds the time in which a caller connects and sends what the daemon's kernel takes.
	fillTimeout = 3 * time.Second
)

// Guards against connections that nobody has accepted yet and that take the memory while the daemon
// stands still: what has arrived on them counts as the daemon's.
func TestConnectionsThatAreNotAcceptedTakeNoMemory(t *testing.T) {
	processMemory.Lock()
	defer processMemory.Unlock()
	f := newMemoryFleet(t, buildDaemon(t), stalledMemoryMB, largestBody)
	require.NoError(t, f.daemon.cmd.Process.Signal(syscall.SIGSTOP))
	t.Cleanup(func() { _ = f.daemon.cmd.Process.Signal(syscall.SIGCONT) }) // fails only after its end
	request := head("/book/x", "stalled", "Transfer-Encoding: chunked") + strings.Repeat(chunk(strings.Repeat("x", 32<<10)), largestBody/(32<<10)-1)
	var wait sync.WaitGroup
	for range stalledCrowd {
		wait.Go(func() {
			c, err := net.DialTimeout("tcp", f.daemon.address, fillTimeout)
			if err != nil {
				return // the queue of the listener is full
			}
			t.Cleanup(func() { _ = c.Close() })
			_ = c.SetWriteDeadline(time.Now().Add(fillTimeout)) // fails only on a closed connection
			_, _ = c.Write([]byte(request))                     // ends with the deadline
		})
	}
	wait.Wait()
	f.usage.requireBounded(t, stalledMemoryMB)
	require.NoError(t, f.daemon.cmd.Process.Signal(syscall.SIGCONT))
	eventually(t, "an ordinary request is answered", func() bool { return f.ask(t, "ordinary") })
	f.usage.requireBounded(t, stalledMemoryMB)
}
