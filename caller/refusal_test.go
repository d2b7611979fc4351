package caller

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a refusal that resets the connection while the caller still sends the body,
// and against one that waits for a body that stalls.
func TestRefusalsAreReadable(t *testing.T) {
	for _, size := range []int{900, 80_000, 300_000, 3_000_000, 5_000_000, 40_000_000} {
		for _, connection := range []string{"keep-alive", "close"} {
			for _, stalls := range []bool{false, true} {
				for _, status := range []int{http.StatusUnauthorized, http.StatusServiceUnavailable} {
					t.Run(fmt.Sprintf("%d/%d/%s/%v", status, size, connection, stalls), func(t *testing.T) {
						requireReadableRefusal(t, status, size, connection, stalls)
					})
				}
			}
		}
	}
}

func requireReadableRefusal(t *testing.T, status, size int, connection string, stalls bool) {
	t.Helper()
	s, _, srv, _ := newTestServer(t)
	key := "unknown"
	if status == http.StatusServiceUnavailable {
		key = "kA"
		s.tracker.active = s.Limits.MaxInFlight
	}
	c := dial(t, srv.Listener.Addr().String())
	require.NoError(t, c.SetDeadline(time.Now().Add(3*time.Second)))
	_, err := fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nConnection: %s\r\nContent-Length: %d\r\n\r\n",
		key, connection, size)
	require.NoError(t, err)
	part := []byte(strings.Repeat("x", size/20))
	for range 20 {
		_, err = c.Write(part)
		if stalls || err != nil {
			break
		}
		time.Sleep(2 * time.Millisecond)
	}
	if int64(size) <= s.Limits.MaxBodyBytes {
		// A load balancer that fails to send a body reports that to its client.
		require.NoError(t, err, "the body cannot be sent")
	}
	requireStatus(t, c, status)
}

func requireStatus(t *testing.T, c net.Conn, status int) {
	t.Helper()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err, "the connection ended without an answer")
	defer res.Body.Close()
	require.Equal(t, status, res.StatusCode)
}
