package caller

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// A drain closes a connection without a request after these times.
const (
	// newConnectionTime is for the first request, after the connection was accepted.
	newConnectionTime = 5 * time.Second
	// nextRequestTime is for the next request. Callers that use their connections all the
	// time send it right after the response.
	nextRequestTime = 300 * time.Millisecond
)

// connections holds the open connections of callers with their states.
type connections struct {
	mu   sync.Mutex
	open map[net.Conn]connectionState
}

type connectionState struct {
	state http.ConnState
	since time.Time
}

// set is the hook http.Server.ConnState.
func (c *connections) set(n net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(c.open, n)
		return
	}
	if c.open == nil {
		c.open = make(map[net.Conn]connectionState)
	}
	c.open[n] = connectionState{s, time.Now()}
}

// active returns the number of connections with a request.
func (c *connections) active() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.open {
		if s.state == http.StateActive {
			n++
		}
	}
	return n
}

// closeQuiet closes the connections that have no request, and returns how many are open.
// http.Server.Shutdown would also close those whose request has arrived and was not yet read
// completely.
func (c *connections) closeQuiet() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n, s := range c.open {
		quiet := time.Since(s.since)
		late := s.state == http.StateIdle && quiet > nextRequestTime || s.state == http.StateNew && quiet > newConnectionTime
		if late && !hasInput(n) {
			// The server closes the connection when its wait for a request fails. A
			// request that the server reads already clears the deadline.
			_ = n.SetReadDeadline(pastTime)
		}
	}
	return len(c.open)
}

// hasInput reports whether a connection has bytes to read or was closed by its client.
func hasInput(n net.Conn) (ok bool) {
	c, isConn := n.(syscall.Conn)
	if !isConn {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) { ok = isReadable(fd) })
	return ok
}
