package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/lagoonhead/lagoonhead"
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
func runTestServer(t *testing.T, log *zap.Logger) (s *Server, address string, resume chan struct{}) {
	t.Helper()
	c, _, _, _ := newTestServer(t)
	s = &Server{
		Directories: c.Directories, Gate: c.Gate, Admitter: c.Admitter, Placer: c.Placer, Engines: c.Engines,
		Suspects: c.Suspects, Parts: c.Parts, Usage: c.Usage, Decisions: c.Decisions, Relay: c.Relay, Sealer: c.Sealer,
		Timer: &timer.System{}, Log: log, Limits: Limits{DrainDelay: time.Millisecond},
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
	s, address, resume := runTestServer(t, nil)
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

// Guards against a drain that closes a connection without an answer because its request has
// not been read completely.
func TestDrainAnswersRequestsThatArriveMeanwhile(t *testing.T) {
	for _, cut := range []int{1, 20, len(rawCompletion()) - len(validBody) - 1, len(rawCompletion()) - 1} {
		t.Run(strconv.Itoa(cut), func(t *testing.T) {
			s, address, resume := runTestServer(t, nil)
			close(resume)
			c := dial(t, address)
			text := rawCompletion()
			_, err := c.Write([]byte(text[:cut]))
			require.NoError(t, err)
			time.Sleep(20 * time.Millisecond)
			drained := startDrain(t, s)
			if cut < len(text)-len(validBody) {
				<-s.acceptEnded
				time.Sleep(20 * time.Millisecond)
			}
			_, err = c.Write([]byte(text[cut:]))
			require.NoError(t, err)
			if cut < len(text)-len(validBody) {
				requireRefused(t, c)
			} else {
				res, err := http.ReadResponse(bufio.NewReader(c), nil)
				require.NoError(t, err)
				res.Body.Close()
				require.Equal(t, http.StatusOK, res.StatusCode)
			}
			require.NoError(t, <-drained)
		})
	}
}

// Guards against a drain that resets a connection whose caller sends its next request right
// after the response to one that was running.
func TestDrainAnswersTheNextRequest(t *testing.T) {
	s, address, resume := runTestServer(t, nil)
	close(resume)
	release := make(chan struct{})
	s.Engines.(*stub).engine = func(_ context.Context, _ lagoonhead.Endpoint, c lagoonhead.Completion) (lagoonhead.EventStream, error) {
		return &releasedStream{newScriptedStream(c.ResumeOffset), release}, nil
	}
	c := dial(t, address)
	body := `{"stream":true,` + validBody[1:]
	_, err := fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer kA\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	require.NoError(t, err)
	r := bufio.NewReader(c)
	res, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, res.StatusCode)
	drained := startDrain(t, s)
	close(release)
	_, err = io.Copy(io.Discard, res.Body)
	require.NoError(t, err)
	time.Sleep(20 * time.Millisecond)
	_, err = c.Write([]byte(rawCompletion()))
	require.NoError(t, err)
	requireRefused(t, c)
	require.NoError(t, <-drained)
}

// releasedStream waits for release after its first event.
type releasedStream struct {
	*scriptedStream
	release chan struct{}
}

func (r *releasedStream) Next() (lagoonhead.StreamEvent, error) {
	if r.next > 0 {
		<-r.release
	}
	return r.scriptedStream.Next()
}

// Guards against a drain that waits for connections without a request.
func TestDrainClosesIdleConnections(t *testing.T) {
	s, address, resume := runTestServer(t, nil)
	close(resume)
	c := dial(t, address)
	_, err := c.Write([]byte(rawCompletion()))
	require.NoError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.False(t, res.Close)
	_, err = io.Copy(io.Discard, res.Body)
	require.NoError(t, err)
	require.NoError(t, <-startDrain(t, s))
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// Guards against connections that the end of the server closes with requests, and of which
// neither a log line nor a counter tells.
func TestAbortedRequestsAreReported(t *testing.T) {
	core, logs := observer.New(zap.WarnLevel)
	s, address, resume := runTestServer(t, zap.New(core))
	close(resume)
	c := dial(t, address)
	_, err := c.Write([]byte(rawCompletion()[:len(rawCompletion())-1]))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.tracker.count() == 1 }, time.Minute, time.Millisecond)
	s.abort()
	require.Equal(t, 1, logs.FilterField(zap.Int("count", 1)).Len())
	require.Equal(t, "1", s.Vars().Get("connectionsAborted").String())
}

// exhaustedListener fails once, as one does when the process has no more descriptors.
type exhaustedListener struct {
	net.Listener
	failed bool
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// Guards against a lack of descriptors that ends the server, resets connections or is not
// logged.
func TestLackOfDescriptorsIsReported(t *testing.T) {
	c, _, _, _ := newTestServer(t)
	core, logs := observer.New(zap.WarnLevel)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &Server{
		Listener: &exhaustedListener{Listener: l}, Gate: c.Gate, Directories: c.Directories, Decisions: c.Decisions,
		Timer: &timer.System{}, Log: zap.New(core),
	}
	conn := dial(t, l.Addr().String())
	_, err = conn.Write([]byte("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	requireStatus(t, conn, http.StatusOK)
	cancel()
	require.NoError(t, <-ended)
	require.Equal(t, 1, logs.FilterMessageSnippet("too many open files").Len())
}
