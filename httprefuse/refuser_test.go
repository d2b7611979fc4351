package httprefuse

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"
)

// eventTimeout bounds the wait for an expected event.
const eventTimeout = 20 * time.Second

// refuseAll returns the address of a listener whose connections are refused by f.
func refuseAll(t testing.TB, f *Refuser) string {
	f.Response = func(r *http.Request) *http.Response {
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{"Name": r.Header["Name"]}}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			f.Refuse(c)
		}
	}()
	return l.Addr().String()
}

func atMost(n int64) func() int64 { return func() int64 { return n } }

type script struct {
	Name   string
	Pieces []string
	// Fill is the number of bytes to send after the pieces.
	Fill   int
	Status int
}

// Guards against requests that get no response because the connection is reset, or because the
// response waits for a body that does not come.
func TestRequestsGetAResponse(t *testing.T) {
	data, err := os.ReadFile("testdata/requests.yaml")
	require.NoError(t, err)
	var scripts []script
	require.NoError(t, yaml.Unmarshal(data, &scripts))
	for _, s := range scripts {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			f := &Refuser{MaxWaiting: atMost(100)}
			c, err := net.Dial("tcp", refuseAll(t, f))
			require.NoError(t, err)
			defer c.Close()
			for i, piece := range s.Pieces {
				if i > 0 {
					time.Sleep(50 * time.Millisecond)
				}
				_, err := io.WriteString(c, piece)
				require.NoError(t, err)
			}
			_, err = io.WriteString(c, strings.Repeat("x", s.Fill))
			require.NoError(t, err)
			in := bufio.NewReader(c)
			require.NoError(t, c.SetReadDeadline(time.Now().Add(eventTimeout)))
			res, err := http.ReadResponse(in, nil)
			require.NoError(t, err)
			require.Equal(t, s.Status, res.StatusCode)
			require.True(t, res.Close)
			require.Zero(t, res.ContentLength)
			if s.Status == http.StatusServiceUnavailable {
				require.Equal(t, "1", res.Header.Get("Name"))
			}
			rest, err := io.ReadAll(in)
			require.NoError(t, err, "the connection ends without a reset")
			require.Empty(t, rest)
			require.NoError(t, c.Close())
			require.Eventually(t, func() bool { return f.answered.Value() == 1 }, eventTimeout, time.Millisecond)
			require.Zero(t, f.Dropped())
		})
	}
}

// Guards against requests that are reset when a burst of them waits to be accepted.
func TestRequestsThatWaitedToBeAcceptedGetAResponse(t *testing.T) {
	const requests = 100
	f := &Refuser{MaxWaiting: atMost(1)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	f.Response = func(*http.Request) *http.Response { return &http.Response{StatusCode: http.StatusServiceUnavailable} }
	var clients []net.Conn
	for range requests {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\n"+strings.Repeat("x", 900))
		require.NoError(t, err)
		clients = append(clients, c)
	}
	for range requests {
		c, err := l.Accept()
		require.NoError(t, err)
		f.Refuse(c)
	}
	for _, c := range clients {
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
	}
	require.Zero(t, f.Dropped())
}

// Guards against connections without a request that are kept, and against ones that get a response
// to no request.
func TestAConnectionWithoutARequestIsClosed(t *testing.T) {
	f := &Refuser{MaxWaiting: atMost(1)}
	c, err := net.Dial("tcp", refuseAll(t, f))
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(eventTimeout)))
	got, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Empty(t, got)
	require.EqualValues(t, 1, f.silent.Value())
	require.Zero(t, f.answered.Value())
}

// Guards against connections that wait without a bound, and against closes that nothing tells of.
func TestConnectionsBeyondTheBoundAreCounted(t *testing.T) {
	f := &Refuser{MaxWaiting: atMost(2)}
	address := refuseAll(t, f)
	for range 5 {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer c.Close()
	}
	require.Eventually(t, func() bool { return f.Dropped() == 3 }, eventTimeout, time.Millisecond)
	require.LessOrEqual(t, f.waiting.Load(), int64(2))
}

// stalledConn is a connection at which the process is stalled before its first read.
type stalledConn struct {
	net.Conn
	once  sync.Once
	stall func()
}

func (c *stalledConn) Read(p []byte) (int, error) {
	c.once.Do(c.stall)
	return c.Conn.Read(p)
}

// Guards against a request that gets no response because the process was stalled for longer than
// the timeout of the header section, in which the request arrived or the client was stalled too.
func TestAStallOfTheProcessRefusesNoLess(t *testing.T) {
	for _, during := range []bool{true, false} {
		client, server := accept(t, "")
		send := func() {
			_, err := io.WriteString(client, post(900))
			require.NoError(t, err)
		}
		stalled := make(chan struct{})
		f := newRefuser(1)
		f.Refuse(&stalledConn{Conn: server, stall: func() {
			time.Sleep(headerTimeout + 100*time.Millisecond)
			close(stalled)
		}})
		if !during {
			<-stalled
		}
		send()
		res, err := http.ReadResponse(bufio.NewReader(client), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
	}
}
