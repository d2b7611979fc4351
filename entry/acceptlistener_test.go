package entry

import (
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/lagoonhead/lagoonhead"
)

// failingListener fails to accept for a number of times.
type failingListener struct {
	net.Listener
	failures []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.failures) > 0 {
		err := l.failures[0]
		l.failures = l.failures[1:]
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	return l.Listener.Accept()
}

// Guards against an error of accept that ends the process, and with it all requests in progress,
// although later connections can be accepted.
func TestAcceptErrorsEndNoServer(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	core, lines := observer.New(zap.WarnLevel)
	failing := &failingListener{socket, []error{syscall.ENOBUFS, syscall.EMFILE, syscall.ENOMEM, syscall.EPERM}}
	l := &acceptListener{Listener: failing, log: zap.New(core)}
	s := server{&http.Server{Handler: http.NotFoundHandler()}, l}
	served := make(chan error, 1)
	go func() { served <- s.run(t.Context()) }()
	res, err := http.Get("http://" + socket.Addr().String())
	require.NoError(t, err)
	res.Body.Close()
	require.Equal(t, http.StatusNotFound, res.StatusCode)
	require.Equal(t, 4, lines.FilterMessage("connection cannot be accepted").Len())
	require.EqualValues(t, 4, l.failed.Value())
	require.NoError(t, s.Close())
	require.NoError(t, <-served)
}

// Guards against a listener that was closed by another part and is accepted from forever.
func TestAClosedListenerEndsItsServer(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &acceptListener{Listener: socket, log: zap.NewNop()}
	s := server{&http.Server{Handler: http.NotFoundHandler()}, l}
	socket.Close()
	require.True(t, lagoonhead.IsKind(s.run(t.Context()), lagoonhead.KindUnavailable))
}
