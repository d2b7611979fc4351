package httppool

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against status 101, after which the connection speaks no HTTP, on a connection that is used
// again: what follows is taken for the next response.
func TestSwitchedConnectionsAreNotUsedAgain(t *testing.T) {
	p := newAnsweringPeer(t, func(earlier []string, id string) string {
		if len(earlier) == 0 {
			return "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"
		}
		return ownResponse(nil, earlier[0]) + ownResponse(nil, id)
	})
	v := newTestTransport(t)
	v.IDHeader = ""
	_, _ = p.get(t, v, "1", &Exchange{})
	var x Exchange
	_, _ = p.get(t, v, "2", &x)
	require.False(t, x.Reused())
}

// pausedBody is a request body whose end comes when more is closed.
type pausedBody struct {
	first io.Reader
	more  chan struct{}
}

func (b *pausedBody) Read(p []byte) (int, error) {
	if n, err := b.first.Read(p); err == nil {
		return n, nil
	}
	<-b.more
	return 0, io.EOF
}

// Guards against a request that is reported as acknowledged, and then as one that crashes endpoints,
// though it was not written whole.
func TestAPartOfARequestIsNotAcknowledged(t *testing.T) {
	for _, size := range []int{1, 64 << 10} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			p := newPeer(t, func(c net.Conn, in *bufio.Reader) {
				_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond)) // fails only on a closed connection
				_, _ = io.Copy(io.Discard, in)
			})
			v := newTestTransport(t)
			b := &pausedBody{strings.NewReader(strings.Repeat("b", size)), make(chan struct{})}
			r := p.request(t.Context(), t, http.MethodPost, "1", b)
			r.ContentLength = 1 << 20
			var x Exchange
			_, err := v.Do(r, &x)
			close(b.more)
			require.Error(t, err)
			require.False(t, x.Acknowledged(), "%d of %d bytes were written", size, r.ContentLength)
		})
	}
}

// Guards against the plain connection to an address that carries a request with an https URL.
func TestPlainConnectionsCarryNoHTTPSRequests(t *testing.T) {
	p := newAnsweringPeer(t, ownResponse)
	v := newTestTransport(t)
	p.requireOwn(t, v, "1", false)
	r := p.request(t.Context(), t, http.MethodGet, "2", nil)
	r.URL.Scheme = "https"
	res, err := v.Do(r, &Exchange{})
	if err == nil {
		res.Body.Close()
	}
	require.Error(t, err, "the request went out in plain text")
}
