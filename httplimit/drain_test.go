package httplimit

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead/httpdrain"
	"github.com/lagoonhead/lagoonhead/timer"
)

// Guards against connections that are being refused when the process ends, and are reset then.
func TestFinishWaitsForRefusals(t *testing.T) {
	c := New(Limits{Descriptors: 4100}, func() bool { return true }, func(*http.Request, error) *http.Response {
		return &http.Response{StatusCode: http.StatusServiceUnavailable}
	})
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &httpdrain.Listener{Listener: c.Listen(socket), Socket: socket.(syscall.Conn), Log: zap.NewNop(), Pending: c.Waiting}
	s := &http.Server{ConnState: l.StateChanged, Handler: http.NotFoundHandler()}
	go func() { _ = s.Serve(l) }() // ends with the close below
	defer s.Close()
	conn, err := net.Dial("tcp", socket.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return c.refusedBehind.Value() == 1 }, 5*time.Second, time.Millisecond)
	go func() {
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(conn, "\n"+strings.Repeat("x", 900))
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	require.Zero(t, l.Finish(ctx, &timer.System{}))
	require.Equal(t, "1", c.refuser.Vars().Get("answered").String())
}
