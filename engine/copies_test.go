package engine

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/timer"
)

// copyingEngine writes text before the answer to each request that is not the first one on its
// connection. It counts the completions that it runs.
type copyingEngine struct {
	url  string
	text string
	runs atomic.Int64
}

func newCopyingEngine(t *testing.T, text string) *copyingEngine {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	e := &copyingEngine{url: "http://" + l.Addr().String(), text: text}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e
}

func (e *copyingEngine) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body) // a broken request ends the next read
		if n > 0 {
			_, _ = io.WriteString(c, e.text)
		}
		e.runs.Add(1)
		if _, err := io.WriteString(c, streamOf(r.Header.Get(HeaderRequestID))); err != nil {
			return
		}
	}
}

// streamOf returns a whole stream without tokens.
func streamOf(id string) string {
	event := "id: " + id + "/0\ndata: [DONE]\n\n"
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", HeaderRequestID, id, len(event), event)
}

// Guards against the copy of a refusal or of a stream of an earlier request that passes for the answer
// to the request behind it: one that runs counts as not run, and runs once more elsewhere.
func TestCopiesOfEarlierAnswersEndNoCompletion(t *testing.T) {
	refusal := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: r1\r\n%s: no\r\nContent-Length: 0\r\n\r\n", HeaderRequestID, HeaderRun)
	for name, text := range map[string]string{"refusal": refusal, "stream": streamOf("r1")} {
		t.Run(name, func(t *testing.T) {
			e := newCopyingEngine(t, text)
			s := newStreamer()
			for n, id := range []lagoonhead.RequestID{"r1", "r2"} {
				v, err := s.Stream(t.Context(), testEndpoint(e.url), testCompletion(id, -1))
				if err != nil {
					require.Equal(t, int64(n), e.runs.Load(), "request %s has run: %v", id, err)
				}
				require.NoError(t, err)
				_, err = v.Next()
				require.ErrorIs(t, err, io.EOF)
				v.(*stream).finish() // Close finishes in the background
			}
		})
	}
}

// Guards against an interim response that passes for the answer to an order, whose outcome is then
// unknown.
func TestInterimResponsesEndNoOrder(t *testing.T) {
	url, _ := rawEngine(t, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n", false)
	c := &Commander{Timer: &timer.System{}, Authority: allow}
	require.NoError(t, c.SendOrder(t.Context(), testEndpoint(url), roleOrder("i", 1)))
}

// Guards against a response that breaks the protocol and is taken for a crash of the engine, of which
// the request is accused.
func TestResponsesOutsideTheProtocolAreNoCrashes(t *testing.T) {
	for name, text := range map[string]string{
		"header too long": "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 128<<10), "endless interim responses": strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 10),
		"no status line": "nothing\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			url, _ := rawEngine(t, text, true)
			_, err := newStreamer().Stream(t.Context(), testEndpoint(url), testCompletion("r1", -1))
			require.Equal(t, lagoonhead.KindUnknown, lagoonhead.KindOf(err), "%v", err)
		})
	}
}

// Guards against a sound request that counts as one that crashes engines, because its engine closed the
// kept connection at the same time.
func TestClosedKeptConnectionsAccuseNoCompletion(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, streamOf(r.Header.Get(HeaderRequestID)))
				time.Sleep(rand.N(600 * time.Microsecond))
			}()
		}
	}()
	s := newStreamer()
	for n := range 500 {
		v, err := s.Stream(t.Context(), testEndpoint("http://"+l.Addr().String()), testCompletion(lagoonhead.RequestID(strconv.Itoa(n)), -1))
		if err != nil {
			require.NotEqual(t, lagoonhead.KindCrashed, lagoonhead.KindOf(err), "request %d: %v", n, err)
			continue
		}
		_, err = v.Next()
		require.ErrorIs(t, err, io.EOF)
		v.(*stream).finish() // Close finishes in the background
		time.Sleep(rand.N(600 * time.Microsecond))
	}
}
