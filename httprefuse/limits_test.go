package httprefuse

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// accept returns the client's and the server's side of a connection on which text was sent in whole
// before the server accepted it.
func accept(t *testing.T, text string) (client, server net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	client, err = net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { client.Close() })
	_, err = io.WriteString(client, text)
	require.NoError(t, err)
	server, err = l.Accept()
	require.NoError(t, err)
	return client, server
}

func newRefuser(waiting int64) *Refuser {
	return &Refuser{MaxWaiting: atMost(waiting), Response: func(*http.Request) *http.Response {
		return &http.Response{StatusCode: http.StatusServiceUnavailable}
	}}
}

func post(body int) string {
	return fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", body, strings.Repeat("x", body))
}

// Guards against a reset of a connection whose whole request has arrived, because its body is larger
// than one read and all waiting places are taken.
func TestAWholeRequestNeedsNoWaitingPlace(t *testing.T) {
	f := newRefuser(0)
	client, server := accept(t, post(30_000))
	f.Refuse(server)
	in := bufio.NewReader(client)
	res, err := http.ReadResponse(in, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
	_, err = io.ReadAll(in)
	require.NoError(t, err, "the connection ends without a reset")
	require.Zero(t, f.Dropped())
}

// Guards against one connection that is counted as answered and as dropped.
func TestAConnectionIsCountedOnce(t *testing.T) {
	f := newRefuser(0)
	_, server := accept(t, post(30_000))
	f.Refuse(server)
	require.EqualValues(t, 1, f.answered.Value()+f.silent.Value()+f.Dropped())
}

// Guards against a caller that has reset its connection and is counted, and logged, as one whose
// request was dropped.
func TestACallerThatHasLeftIsNotDropped(t *testing.T) {
	f := newRefuser(10)
	client, server := accept(t, post(900))
	require.NoError(t, client.(*net.TCPConn).SetLinger(0))
	require.NoError(t, client.Close())
	f.Refuse(server)
	require.Eventually(t, func() bool { return f.waiting.Load() == 0 }, eventTimeout, time.Millisecond)
	require.Zero(t, f.Dropped())
}

// Guards against a reset that destroys the response because a second request follows the first one
// and the two exceed one read.
func TestALongSecondRequestDoesNotDestroyTheResponse(t *testing.T) {
	f := newRefuser(10)
	client, server := accept(t, post(900)+post(30_000))
	f.Refuse(server)
	in := bufio.NewReader(client)
	_, err := http.ReadResponse(in, nil)
	require.NoError(t, err)
	_, err = io.ReadAll(in)
	require.NoError(t, err, "the connection ends without a reset")
}

// Guards against a half-closed client that gets no response.
func TestAHalfClosedClientGetsAResponse(t *testing.T) {
	for _, text := range []string{post(900), post(30_000), "GET /a HTTP/1.0\n\n", "GET /a HTTP/1.1\nHost: h\n\n"} {
		f := newRefuser(10)
		client, server := accept(t, text)
		require.NoError(t, client.(*net.TCPConn).CloseWrite())
		f.Refuse(server)
		in := bufio.NewReader(client)
		res, err := http.ReadResponse(in, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
		_, err = io.ReadAll(in)
		require.NoError(t, err)
	}
}
