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
	"offset": ErrOffset, "malformed": ErrMalformed, "oversized": ErrOversized,
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
		kind = contentEvents
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

// rawEngine answers each connection's first request with text. It returns the
// base URL and a channel that tells of each answer.
func rawEngine(t *testing.T, text string, hold bool) (url string, answered <-chan struct{}) {
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
				if hold {
					_, _ = io.Copy(io.Discard, c)
				}
			}()
		}
	}()
	return "http://" + l.Addr().String(), done
}

func testEndpoint(url string) lagoonhead.Endpoint {
	return lagoonhead.NewEndpoint("e1", lagoonhead.KindEngine, "m", url, "d1")
}

func testCompletion(id lagoonhead.RequestID, after int64) lagoonhead.Completion {
	return lagoonhead.Completion{
		Request: lagoonhead.NewRequest(id, "w1", "m", 0), Body: []byte(testBody), ResumeOffset: after,
	}
}

// newStreamer returns a Streamer without a sweep, so that only a test that calls
// sweep finds silence.
func newStreamer() *Streamer {
	return &Streamer{Timer: &timer.Service{}, MaxEventBytes: 4096}
}

// sweepOften finds silence as soon as possible until the test ends.
func sweepOften(t *testing.T, s *Streamer) {
	for (&timer.Service{}).Sleep(t.Context(), time.Millisecond) == nil {
		s.sweep()
	}
}

// readEvents reads until an error. It closes got once it has n events.
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

// Guards against a wrong kind for each way in which a stream can fail, and
// against events that reach the reader although their id is wrong.
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
					sweepOften(t, s)
				}()
			}
			after := int64(-1)
			if c.After != nil {
				after = *c.After
			}
			// Ends a wait for ever when a fault is not found; no case is meant to get there.
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

// Guards against "not run" for a request that was written, and against another
// kind when nothing was written.
func TestRefusedConnectionIsUnavailable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	url := "http://" + l.Addr().String()
	l.Close()
	_, err = newStreamer().Stream(t.Context(), testEndpoint(url), testCompletion("r1", -1))
	require.Equal(t, lagoonhead.KindUnavailable, lagoonhead.KindOf(err), err)
}

// countConns starts a server and counts its connections.
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

// Guards against a hidden repeat of a completion by net/http when a kept
// connection breaks or goes silent, and against a second use of the connections
// of that pool.
func TestFaultOnKeptConnectionIsNotRepeated(t *testing.T) {
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
				w.Header().Set("Content-Type", contentEvents)
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
					sweepOften(t, s)
				}()
			}
			require.Equal(t, want, lagoonhead.KindOf(run("r2")))
			require.Equal(t, int32(2), requests.Load(), "the second request was not repeated")
			require.Equal(t, int32(1), conns.Load(), "the second request used the kept connection")
			if fault == "silence" {
				return // the sweep goes on and could end the third request
			}
			require.ErrorIs(t, run("r3"), io.EOF)
			require.Equal(t, int32(2), conns.Load())
		})
	}
}

// Guards against a request on a kept connection of an engine of which another
// connection went silent.
func TestSilenceDropsTheWholePool(t *testing.T) {
	both := make(chan struct{}, 2)
	url, conns := countConns(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", contentEvents)
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
	go sweepUntil(s, silent)
	_, err = silent.Next()
	require.ErrorIs(t, err, ErrIdle)
	_, err = open("b").Next()
	require.ErrorIs(t, err, io.EOF)
	require.Equal(t, int32(3), conns.Load())
}

// sweepUntil finds the silence of one stream.
func sweepUntil(s *Streamer, v *stream) {
	for v.ctx.Err() == nil {
		s.sweep()
		runtime.Gosched()
	}
}

// Guards against a caller who reads slowly being taken for a silent engine.
func TestSlowReaderIsNotSilence(t *testing.T) {
	s := newStreamer()
	url, _ := rawEngine(t, streamCase{Chunks: []string{"id: r1/0\ndata: a\n\n"}}.text(), true)
	v, err := s.Stream(t.Context(), testEndpoint(url), testCompletion("r1", -1))
	require.NoError(t, err)
	defer v.Close()
	_, err = v.Next()
	require.NoError(t, err)
	for range 10 * sweepsPerLimit {
		s.sweep()
	}
	require.NoError(t, v.(*stream).ctx.Err())
}

// Guards against a Run that does not look for silence.
func TestRunEndsSilentStreams(t *testing.T) {
	s := newStreamer()
	s.IdleLimit = 5 * time.Millisecond
	go func() { _ = s.Run(t.Context()) }()
	url, _ := rawEngine(t, "", true)
	_, err := s.Stream(t.Context(), testEndpoint(url), testCompletion("r1", -1))
	require.ErrorIs(t, err, ErrIdle)
}

// Guards against headers with credentials or replay keys on the way to an engine,
// and against a lost request id, priority or resume offset.
func TestRequestHeaders(t *testing.T) {
	got := make(chan http.Header, 1)
	var load lagoonhead.LoadReport
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got <- r.Header.Clone()
		w.Header().Set("Content-Type", contentEvents)
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

// Guards against sockets without TCP_USER_TIMEOUT, which keep an unreachable
// engine's connection for many minutes.
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
