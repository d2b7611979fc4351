package httpdrain

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead/timer"
)

// Guards against a request whose context is cancelled at the end of a drain because it had arrived
// together with the one before it, so that no read of the connection tells of it.
func TestFinishWaitsForARequestThatIsBuffered(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &Listener{Listener: socket, Socket: socket.(syscall.Conn), Log: zap.NewNop()}
	begun, cancelled := make(chan struct{}), make(chan error, 1)
	s := &http.Server{
		ConnState: l.StateChanged, IdleTimeout: time.Minute,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/second" {
				return
			}
			close(begun)
			select {
			case <-r.Context().Done():
				cancelled <- context.Cause(r.Context())
			case <-time.After(500 * time.Millisecond):
				cancelled <- nil
			}
		}),
	}
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	defer s.Close()
	client, err := net.Dial("tcp", socket.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	_, err = io.WriteString(client, "GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	<-begun
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	require.Zero(t, l.Finish(ctx, &timer.System{}))
	require.NoError(t, <-cancelled, "the context of the request was cancelled")
	in := bufio.NewReader(client)
	for range 2 {
		res, err := http.ReadResponse(in, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, res.StatusCode)
	}
}

// slowListener takes a while for each connection, as on a processor that is behind.
type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	time.Sleep(20 * time.Millisecond)
	return l.Listener.Accept()
}

// Guards against a request in progress that is cut because new connections use up the time of finish.
func TestFinishEndsWhileConnectionsCome(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &Listener{Listener: slowListener{socket}, Socket: socket.(syscall.Conn), Log: zap.NewNop()}
	s := &http.Server{ConnState: l.StateChanged, Handler: http.NotFoundHandler()}
	go func() { _ = s.Serve(l) }() // ends with the close below
	defer s.Close()
	kept, err := net.Dial("tcp", socket.Addr().String())
	require.NoError(t, err)
	defer kept.Close()
	_, err = io.WriteString(kept, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(kept), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusNotFound, res.StatusCode)
	stop := make(chan struct{})
	defer close(stop)
	for range 4 {
		go func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				c, err := net.Dial("tcp", socket.Addr().String())
				if err != nil {
					if errors.Is(err, syscall.ECONNREFUSED) {
						return
					}
					continue
				}
				_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
				_, _ = io.ReadAll(c)
				c.Close()
			}
		}()
	}
	time.Sleep(200 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	require.Zero(t, l.Finish(ctx, &timer.System{}))
}

// heldListener does not return the end of the listener before release is closed.
type heldListener struct {
	*Listener
	release chan struct{}
}

func (l heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.release
	}
	return c, err
}

// Guards against a drain that is reported as failed because the server, which has not noticed yet
// that the listener is closed, closes it again.
func TestShutdownBeforeServeReturns(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := heldListener{&Listener{Listener: socket, Socket: socket.(syscall.Conn), Log: zap.NewNop()}, make(chan struct{})}
	s := &http.Server{ConnState: l.StateChanged, Handler: http.NotFoundHandler()}
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	client, err := net.Dial("tcp", socket.Addr().String()) // answered once Serve has been called
	require.NoError(t, err)
	defer client.Close()
	_, err = io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	require.NoError(t, err)
	_, err = http.ReadResponse(bufio.NewReader(client), nil)
	require.NoError(t, err)
	require.Zero(t, l.Finish(t.Context(), &timer.System{}))
	s.RegisterOnShutdown(func() { close(l.release) }) // called after Shutdown has closed the listener
	require.NoError(t, s.Shutdown(t.Context()))
	require.ErrorIs(t, <-served, http.ErrServerClosed)
}
