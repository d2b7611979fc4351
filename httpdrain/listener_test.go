package httpdrain

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/lagoonhead/lagoonhead/timer"
)

// Guards against requests that get no answer because their connection looks unused when it is closed,
// and against connections without a request that are left open.
func TestFinishAnswersWhatArrives(t *testing.T) {
	const first, second = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Le", "ngth: 4\r\n\r\nbody"
	type step struct {
		text   string
		answer bool // wait for an answer after the text was sent
	}
	for _, c := range []struct {
		name string
		// before and beside are sent before finish is called and while it runs.
		before, beside []step
		// state is the state of the connection in which finish is called.
		state http.ConnState
	}{
		{"unused", nil, nil, http.StateNew},
		{"kept", []step{{first + second, true}}, nil, http.StateIdle},
		{"first header arrives", []step{{first, false}}, []step{{second, true}}, http.StateNew},
		{"next header arrives", []step{{first + second, true}, {first, false}}, []step{{second, true}}, http.StateIdle},
		{"answer is not ready", []step{{first + second, false}}, []step{{"", true}}, http.StateActive},
	} {
		t.Run(c.name, func(t *testing.T) {
			socket, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			l := &Listener{Listener: socket, Socket: socket.(syscall.Conn), Log: zap.NewNop()}
			finishing := make(chan struct{})
			s := &http.Server{
				ConnState: l.StateChanged,
				Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body) // the answer tells whether the body arrived
					if c.state == http.StateActive {
						<-finishing
						time.Sleep(100 * time.Millisecond)
					}
				}),
			}
			served := make(chan error, 1)
			go func() { served <- s.Serve(l) }()
			defer s.Close()
			client, err := net.Dial("tcp", socket.Addr().String())
			require.NoError(t, err)
			defer client.Close()
			in := bufio.NewReader(client)
			send := func(steps []step) {
				for _, v := range steps {
					_, err := io.WriteString(client, v.text)
					require.NoError(t, err)
					if !v.answer {
						continue
					}
					res, err := http.ReadResponse(in, nil)
					require.NoError(t, err)
					require.Equal(t, http.StatusOK, res.StatusCode)
					_, err = io.Copy(io.Discard, res.Body)
					require.NoError(t, err)
				}
			}
			send(c.before)
			time.Sleep(100 * time.Millisecond) // the server has read what was sent
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			left := make(chan int)
			go func() { left <- l.Finish(ctx, &timer.System{}) }()
			close(finishing)
			time.Sleep(50 * time.Millisecond)
			send(c.beside)
			require.Zero(t, <-left)
			_, err = in.ReadByte()
			require.ErrorIs(t, err, io.EOF)
			require.ErrorIs(t, <-served, http.ErrServerClosed)
		})
	}
}

// Guards against requests that were sent in whole but not read when their connection is closed, since
// the processor is behind.
func TestFinishAnswersWhatIsNotRead(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &Listener{Listener: socket, Socket: socket.(syscall.Conn), Log: zap.NewNop()}
	client, err := net.Dial("tcp", socket.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	accepted, err := l.Accept()
	require.NoError(t, err)
	go l.Accept() // ends with the listener
	_, err = io.WriteString(client, "request")
	require.NoError(t, err)
	require.Eventually(t, accepted.(*conn).readable, 5*time.Second, time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	left := make(chan int, 1)
	go func() { left <- l.Finish(ctx, &timer.System{}) }()
	time.Sleep(100 * time.Millisecond)
	require.NoError(t, accepted.SetReadDeadline(time.Now().Add(time.Minute)))
	p := make([]byte, 100)
	n, err := accepted.Read(p)
	require.NoError(t, err)
	require.Equal(t, "request", string(p[:n]))
	require.Equal(t, 1, <-left, "the request has no answer yet")
}

// Guards against connections that end without an answer and of which nothing tells.
func TestConnectionsWithoutAnAnswerAreCounted(t *testing.T) {
	for _, c := range []struct {
		name, text              string
		leave                   bool // close the caller's side after text was sent
		unanswered, callersLeft int
	}{
		{"answered", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", false, 0, 0},
		{"invalid", "GET / HTTP/1.1\r\n\r\n", false, 0, 0},
		{"cut in the answer", "GET /begun HTTP/1.1\r\nHost: h\r\n\r\n", false, 0, 0},
		{"unused", "", false, 0, 0},
		{"cut", "GET /cut HTTP/1.1\r\nHost: h\r\n\r\n", false, 1, 0},
		{"header does not end", "GET / HTTP/1.1\r\nHost", false, 0, 0},
		{"caller leaves", "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n", true, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			socket, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			core, lines := observer.New(zap.WarnLevel)
			l := &Listener{Listener: socket, Socket: socket.(syscall.Conn), Log: zap.New(core)}
			s := &http.Server{
				ConnState: l.StateChanged, ReadHeaderTimeout: 300 * time.Millisecond, IdleTimeout: 300 * time.Millisecond,
				Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/begun" {
						_ = http.NewResponseController(w).Flush()
					}
					if r.URL.Path == "/wait" {
						<-r.Context().Done()
					}
					if r.URL.Path != "/" {
						panic(http.ErrAbortHandler)
					}
				}),
			}
			go s.Serve(l)
			defer s.Close()
			client, err := net.Dial("tcp", socket.Addr().String())
			require.NoError(t, err)
			defer client.Close()
			_, err = io.WriteString(client, c.text)
			require.NoError(t, err)
			if c.leave {
				require.NoError(t, client.(*net.TCPConn).CloseWrite())
			}
			_, err = io.ReadAll(client)
			require.NoError(t, err)
			require.Eventually(t, func() bool { return len(l.list()) == 0 }, 5*time.Second, time.Millisecond)
			require.EqualValues(t, c.unanswered, l.unanswered.Value())
			require.EqualValues(t, c.callersLeft, l.callersLeft.Value())
			require.Equal(t, c.unanswered, lines.FilterMessage("connection closed without an answer").Len())
		})
	}
}
