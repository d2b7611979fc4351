package engine

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"
	"golang.org/x/sys/unix"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/timer"
)

const testBody = `{"model":"m","messages":[{"role":"user","content":"hi"}]}`

type streamCase struct {
	Name      string
	After     *int64
	Sweep     bool
	Headers   *bool
	ID        string
	Type      string
	Status    int
	Run       string
	Raw       string
	Chunks    []string
	Fill      int
	FillLines int `yaml:"fillLines"`
	End       string
	Events    int
	Kind      string
	Cause     string
}

var causes = map[string]error{
	"idle": ErrIdle, "incomplete": ErrIncomplete, "wrongRequest": ErrWrongRequest,
	"offset": ErrOutOfSequence, "malformed": ErrMalformed, "oversized": ErrOversized,
}

func (c streamCase) text() string {
	if c.Headers != nil && !*c.Headers {
		return c.Raw
	}
	var b strings.Builder
	status, kind := max(c.Status, 200), c.Type
	if c.Status == 0 {
		status = http.StatusOK
	}
	if kind == "" {
		kind = contentEventStream
	}
	fmt.Fprintf(&b, "HTTP/1.1 %d x\r\nContent-Type: %s\r\nTransfer-Encoding: chunked\r\n", status, kind)
	for k, v := range map[string]string{HeaderRun: c.Run, HeaderRequestID: c.ID} {
		if v != "" {
			fmt.Fprintf(&b, "%s: %s\r\n", k, v)
		}
	}
	b.WriteString("\r\n")
	chunks := append(c.Chunks, strings.Repeat("x", c.Fill), strings.Repeat("data: x\n", c.FillLines))
	for _, v := range chunks {
		if v != "" {
			fmt.Fprintf(&b, "%x\r\n%s\r\n", len(v), v)
		}
	}
	if c.End == "finish" {
		b.WriteString("0\r\n\r\n")
	}
	return b.String()
}

// rawEngine responds to the first request of each connection with text, and closes the
// connection unless keepOpen is set. It returns the base URL and a channel that receives
// a value after each response.
func rawEngine(t *testing.T, text string, keepOpen bool) (url string, answered <-chan struct{}) {
	done := make(chan struct{}, 16)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
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
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, text)
				done <- struct{}{}
				if keepOpen {
					_, _ = io.Copy(io.Discard, c)
				}
			}()
		}
	}()
	return "http://" + l.Addr().String(), done
}

func testEndpoint(url string) lagoonhead.Endpoint {
	return lagoonhead.NewEndpoint("e1", lagoonhead.EndpointKindEngine, "m", url, "d1")
}

func testCompletion(id lagoonhead.RequestID, after int64) lagoonhead.Completion {
	return lagoonhead.Completion{
		Request: lagoonhead.NewRequest(id, "w1", "m", 0), Body: []byte(testBody), ResumeOffset: after,
	}
}

// newStreamer returns a Streamer whose Run is not running, so that idle streams are
// canceled only by a test that calls sweep.
func newStreamer() *Streamer {
	return &Streamer{Timer: &timer.System{}, MaxEventBytes: 4096}
}

// sweepUntilTestEnds sweeps once a millisecond until the test ends.
func sweepUntilTestEnds(t *testing.T, s *Streamer) {
	for (&timer.System{}).Sleep(t.Context(), time.Millisecond) == nil {
		s.sweep()
	}
}

// readEvents reads events until an error. It closes got once it has read n events.
func readEvents(s lagoonhead.EventStream, n int, got chan<- struct{}) (events []string, err error) {
	for {
		if len(events) == n {
			close(got)
		}
		v, err := s.Next()
		if err != nil {
			return events, err
		}
		events = append(events, string(v.Data))
	}
}

// Guards against a wrong error kind for each way in which a stream can fail, and
// against events that are returned although their id is wrong.
func TestStreamFaults(t *testing.T) {
	text, err := os.ReadFile("testdata/streams.yaml")
	require.NoError(t, err)
	var cases []streamCase
	require.NoError(t, yaml.Unmarshal(text, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			s := newStreamer()
			url, answered := rawEngine(t, c.text(), c.End == "silence")
			got := make(chan struct{})
			if c.Sweep || c.Cause == "idle" {
				go func() {
					<-answered
					if c.Events > 0 {
						<-got
					}
					sweepUntilTestEnds(t, s)
				}()
			}
			after := int64(-1)
			if c.After != nil {
				after = *c.After
			}
			// The timeout is reached only if a fault is not detected.
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			v, err := s.Stream(ctx, testEndpoint(url), testCompletion("r1", after))
			var events []string
			if err == nil {
				defer v.Close()
				events, err = readEvents(v, c.Events, got)
				_, again := v.Next()
				require.Equal(t, err, again)
			}
			require.Len(t, events, c.Events)
			if c.Kind == "whole" {
				require.ErrorIs(t, err, io.EOF)
				return
			}
			require.Equal(t, c.Kind, lagoonhead.KindOf(err).String(), err)
			if c.Cause != "" {
				require.ErrorIs(t, err, causes[c.Cause])
			}
		})
	}
}

// Guards against a refused connection, on which nothing was written, that is not
// reported as KindUnavailable.
func TestRefusedConnectionIsUnavailable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	url := "http://" + l.Addr().String()
	l.Close()
	_, err = newStreamer().Stream(t.Context(), testEndpoint(url), testCompletion("r1", -1))
	require.Equal(t, lagoonhead.KindUnavailable, lagoonhead.KindOf(err), err)
}

// countConns starts a server and returns its URL and the number of its connections.
func countConns(t *testing.T, h http.HandlerFunc) (url string, conns *atomic.Int32) {
	conns = new(atomic.Int32)
	srv := httptest.NewUnstartedServer(h)
	srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			conns.Add(1)
		}
	}
	srv.Start()
	t.Cleanup(srv.Close)
	return srv.URL, conns
}

// Guards against a retry of a completion by net/http when a reused connection breaks
// or becomes idle, and against later requests on the connections of that pool.
func TestFaultOnReusedConnectionIsNotRetried(t *testing.T) {
	for _, fault := range []string{"break", "silence"} {
		t.Run(fault, func(t *testing.T) {
			var requests atomic.Int32
			url, conns := countConns(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if requests.Add(1) == 2 {
					if fault == "silence" {
						<-r.Context().Done()
					}
					panic(http.ErrAbortHandler)
				}
				w.Header().Set("Content-Type", contentEventStream)
				fmt.Fprint(w, "id: "+r.Header.Get(HeaderRequestID)+"/0\ndata: [DONE]\n\n")
			})
			s := newStreamer()
			run := func(id lagoonhead.RequestID) error {
				v, err := s.Stream(t.Context(), testEndpoint(url), testCompletion(id, -1))
				if err != nil {
					return err
				}
				_, err = v.Next()
				v.(*stream).finish()
				return err
			}
			require.ErrorIs(t, run("r1"), io.EOF)
			want := lagoonhead.KindCrashed
			if fault == "silence" {
				want = lagoonhead.KindTimeout
				go func() {
					for requests.Load() < 2 {
						runtime.Gosched()
					}
					sweepUntilTestEnds(t, s)
				}()
			}
			require.Equal(t, want, lagoonhead.KindOf(run("r2")))
			require.Equal(t, int32(2), requests.Load(), "the second request must not be retried")
			require.Equal(t, int32(1), conns.Load(), "the second request must reuse the connection")
			if fault == "silence" {
				return // the sweeps go on and could cancel the third request
			}
			require.ErrorIs(t, run("r3"), io.EOF)
			require.Equal(t, int32(2), conns.Load())
		})
	}
}

// Guards against a request that reuses a connection to an engine after another
// connection to the same engine became idle.
func TestIdleStreamDropsThePool(t *testing.T) {
	both := make(chan struct{}, 2)
	url, conns := countConns(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", contentEventStream)
		_ = http.NewResponseController(w).Flush()
		if r.Header.Get(HeaderRequestID) == "silent" {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		both <- struct{}{}
		fmt.Fprint(w, "id: "+r.Header.Get(HeaderRequestID)+"/0\ndata: [DONE]\n\n")
	})
	s := newStreamer()
	open := func(id lagoonhead.RequestID) *stream {
		v, err := s.Stream(t.Context(), testEndpoint(url), testCompletion(id, -1))
		require.NoError(t, err)
		return v.(*stream)
	}
	a, silent := open("a"), open("silent")
	<-both
	_, err := a.Next()
	require.ErrorIs(t, err, io.EOF)
	a.finish()
	go sweepUntilCanceled(s, silent)
	_, err = silent.Next()
	require.ErrorIs(t, err, ErrIdle)
	_, err = open("b").Next()
	require.ErrorIs(t, err, io.EOF)
	require.Equal(t, int32(3), conns.Load())
}

// sweepUntilCanceled sweeps until v is canceled.
func sweepUntilCanceled(s *Streamer, v *stream) {
	for v.ctx.Err() == nil {
		s.sweep()
		runtime.Gosched()
	}
}

// Guards against a stream that is canceled as idle because its caller reads slowly.
func TestSlowReaderIsNotIdle(t *testing.T) {
	s := newStreamer()
	url, _ := rawEngine(t, streamCase{Chunks: []string{"id: r1/0\ndata: a\n\n"}}.text(), true)
	v, err := s.Stream(t.Context(), testEndpoint(url), testCompletion("r1", -1))
	require.NoError(t, err)
	defer v.Close()
	_, err = v.Next()
	require.NoError(t, err)
	for range 10 * sweepsPerIdleLimit {
		s.sweep()
	}
	require.NoError(t, v.(*stream).ctx.Err())
}

// Guards against a Run that does not cancel idle streams.
func TestRunCancelsIdleStreams(t *testing.T) {
	s := newStreamer()
	s.ReadIdleTimeout = 5 * time.Millisecond
	go func() { _ = s.Run(t.Context()) }()
	url, _ := rawEngine(t, "", true)
	_, err := s.Stream(t.Context(), testEndpoint(url), testCompletion("r1", -1))
	require.ErrorIs(t, err, ErrIdle)
}

// Guards against credentials or idempotency keys that are forwarded to an engine, and
// against a request without its id, priority or resume offset.
func TestRequestHeaders(t *testing.T) {
	got := make(chan http.Header, 1)
	var load lagoonhead.LoadReport
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got <- r.Header.Clone()
		w.Header().Set("Content-Type", contentEventStream)
		w.Header().Set(HeaderLoad, `{"endpoint":"other","running":3,"number":1}`)
		w.Header().Set("Trailer", HeaderLoad)
		fmt.Fprint(w, "id: r1/8\ndata: [DONE]\n\n")
		w.Header().Set(HeaderLoad, `{"running":2,"number":2}`)
	}))
	defer srv.Close()
	s := newStreamer()
	s.OnLoad = func(l lagoonhead.LoadReport) { load = l }
	c := testCompletion("r1", 7)
	c.Request.SetPriority(lagoonhead.PriorityDeferrable)
	c.Header = http.Header{"Authorization": {"Bearer k"}, "Idempotency-Key": {"k"}, "Traceparent": {"tp"}}
	v, err := s.Stream(t.Context(), testEndpoint(srv.URL), c)
	require.NoError(t, err)
	require.Equal(t, lagoonhead.LoadReport{Endpoint: "e1", Running: 3, Number: 1}, load)
	_, err = v.Next()
	require.ErrorIs(t, err, io.EOF)
	v.(*stream).finish()
	require.Equal(t, lagoonhead.LoadReport{Endpoint: "e1", Running: 2, Number: 2}, load)
	h := <-got
	require.Empty(t, h.Get("Authorization"))
	require.Empty(t, h.Get("Idempotency-Key"))
	require.Equal(t, "tp", h.Get("Traceparent"))
	require.Equal(t, "r1", h.Get(HeaderRequestID))
	require.Equal(t, "7", h.Get(HeaderResumeOffset))
	require.Equal(t, "deferrable", h.Get(HeaderPriority))
}

// Guards against sockets without TCP_USER_TIMEOUT, whose connections to an unreachable
// engine stay open for many minutes.
func TestDialerSetsUserTimeout(t *testing.T) {
	url, _ := rawEngine(t, "", true)
	c, err := dialer(0, 1234*time.Millisecond).Dial("tcp", strings.TrimPrefix(url, "http://"))
	require.NoError(t, err)
	defer c.Close()
	raw, err := c.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	var got int
	require.NoError(t, raw.Control(func(fd uintptr) {
		got, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	require.NoError(t, err)
	require.Equal(t, 1234, got)
}

// Guards against a response of an engine in trouble that passes for a refusal, so that a completion
// which may have run is sent again.
func TestResponsesWithoutAFinalStatusFail(t *testing.T) {
	for _, status := range []string{"000 x", "099 x", "101 x", "600 x", "999 x", "20 x", ""} {
		t.Run(status, func(t *testing.T) {
			url, _ := rawEngine(t, "HTTP/1.1 "+status+"\r\n"+HeaderRun+": "+runNo+"\r\nContent-Length: 0\r\n\r\n", true)
			_, err := newStreamer().Stream(t.Context(), testEndpoint(url), testCompletion("r1", -1))
			require.True(t, lagoonhead.IsKind(err, lagoonhead.KindUnknown), "%v", err)
		})
	}
}
