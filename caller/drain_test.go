package caller

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead/timer"
)

// pausedListener accepts no connection until resume is closed, as a process does that gets
// no processor time. The connections wait in the accept queue.
type pausedListener struct {
	*net.TCPListener
	resume chan struct{}
}

func (p *pausedListener) Accept() (net.Conn, error) {
	<-p.resume
	return p.TCPListener.Accept()
}

// runTestServer runs the server of newTestServer on a listener of its own, which accepts
// once resume is closed.
func runTestServer(t *testing.T) (s *Server, address string, resume chan struct{}) {
	t.Helper()
	c, _, _, _ := newTestServer(t)
	s = &Server{
		Directories: c.Directories, Gate: c.Gate, Admitter: c.Admitter, Placer: c.Placer, Engines: c.Engines,
		Suspects: c.Suspects, Parts: c.Parts, Usage: c.Usage, Decisions: c.Decisions, Relay: c.Relay, Sealer: c.Sealer,
		Timer: &timer.System{}, Limits: Limits{DrainDelay: time.Millisecond},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	resume = make(chan struct{})
	s.Listener = &pausedListener{l.(*net.TCPListener), resume}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ended)
	})
	return s, l.Addr().String(), resume
}

// startDrain starts a drain and returns once new requests are refused.
func startDrain(t *testing.T, s *Server) <-chan error {
	t.Helper()
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(context.Background()) }()
	require.Eventually(t, func() bool {
		s.tracker.mu.Lock()
		defer s.tracker.mu.Unlock()
		return s.tracker.closed
	}, time.Minute, time.Millisecond)
	return drained
}

func rawCompletion(headers ...string) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer kA\r\n%sContent-Length: %d\r\n\r\n%s",
		strings.Join(headers, ""), len(validBody), validBody)
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(time.Minute)))
	return c
}

// requireRefused reads a response and requires that it is a refusal without a run.
func requireRefused(t *testing.T, c net.Conn) {
	t.Helper()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err, "the connection ended without an answer")
	defer res.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
	require.Equal(t, string(runNo), res.Header.Get(headerRun))
}

// Guards against a drain that resets connections with whole requests in the accept queue.
func TestDrainAnswersRequestsInTheAcceptQueue(t *testing.T) {
	s, address, resume := runTestServer(t)
	var list []net.Conn
	for range 20 {
		c := dial(t, address)
		_, err := c.Write([]byte(rawCompletion()))
		require.NoError(t, err)
		list = append(list, c)
	}
	drained := startDrain(t, s)
	time.Sleep(50 * time.Millisecond)
	close(resume)
	for _, c := range list {
		requireRefused(t, c)
	}
	require.NoError(t, <-drained)
}
