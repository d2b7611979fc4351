package relay

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/engine"
	"github.com/lagoonhead/lagoonhead/fakeengine"
	"github.com/lagoonhead/lagoonhead/timer"
)

const (
	benchStreams = 500
	// benchInterval is the inter-token latency that the system is designed for.
	benchInterval = 39 * time.Millisecond
	benchTokens   = 40
)

var benchBody = fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":true}`,
	strings.Repeat("lease note ", 200), benchTokens)

// instantStream is an EventStream of count events that never blocks.
type instantStream struct {
	data  []byte
	next  int64
	count int64
}

func (s *instantStream) Next() (lagoonhead.StreamEvent, error) {
	if s.next == s.count {
		return lagoonhead.StreamEvent{}, io.EOF
	}
	s.next++
	return lagoonhead.StreamEvent{Offset: s.next - 1, Data: s.data}, nil
}

func (s *instantStream) Close() error { return nil }

type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) WriteHeader(int)             {}
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) Flush()                      {}

// BenchmarkRelay measures Relay.Stream alone, without a network, with a sealed id for each
// event. One operation is one event on one core.
func BenchmarkRelay(b *testing.B) {
	r := newRelay(b)
	j := Transfer{
		Request: lagoonhead.NewRequest("r1", "w1", "m", 0), Endpoint: "e1", AfterOffset: -1,
		Stream: &instantStream{data: wordEvent(1), count: int64(b.N)},
	}
	b.ReportAllocs()
	b.ResetTimer()
	_, err := r.Stream(b.Context(), discardWriter{http.Header{}}, j)
	require.NoError(b, err)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "events/s/core")
}

// relayHandler runs each request on the endpoint and relays its response.
func relayHandler(s *engine.Streamer, r *Relay, e lagoonhead.Endpoint) http.Handler {
	var number atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		id := lagoonhead.RequestID("r" + strconv.FormatInt(number.Add(1), 10))
		c := lagoonhead.Completion{Request: lagoonhead.NewRequest(id, "w1", "m", 0), Body: body, ResumeOffset: -1}
		v, err := s.Stream(q.Context(), e, c)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = r.Stream(q.Context(), w, Transfer{Request: c.Request, Endpoint: e.ID(), Stream: v, AfterOffset: -1})
	})
}

func newRelayServer(b *testing.B, engineURL string) string {
	s := &engine.Streamer{Timer: &timer.System{}}
	e := lagoonhead.NewEndpoint("e1", lagoonhead.EndpointKindEngine, "m", engineURL, "d1")
	srv := httptest.NewServer(relayHandler(s, newRelay(b), e))
	b.Cleanup(srv.Close)
	return srv.URL
}

// pacedEngine answers each request with n events, one each interval. It writes them
// without allocations, so that all allocations of the process are those of the code under
// test. With keepOpen the stream stays open after the events.
func pacedEngine(b *testing.B, n int, interval time.Duration, keepOpen bool) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go servePaced(c, n, interval, keepOpen)
		}
	}()
	return "http://" + l.Addr().String()
}

func servePaced(c net.Conn, n int, interval time.Duration, keepOpen bool) {
	defer c.Close()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	id := q.Header.Get(engine.HeaderRequestID)
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
	data := wordEvent(1)
	buf := make([]byte, 0, 512)
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for i := range n + 1 {
		buf = append(append(append(buf[:0], "id: "...), id...), '/')
		buf = append(strconv.AppendInt(buf, int64(i), 10), "\ndata: "...)
		if i == n {
			data = []byte("[DONE]")
		}
		if i == n && keepOpen {
			_, _ = io.Copy(io.Discard, c)
			return
		}
		buf = append(append(buf, data...), "\n\n"...)
		if _, err := c.Write(buf); err != nil {
			return
		}
		if i < n {
			<-tick.C
		}
	}
}

// rawStream posts benchBody and returns the connection once it has received n events.
func rawStream(b *testing.B, url string, n int) net.Conn {
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	require.NoError(b, err)
	_, err = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n%s: r1\r\nContent-Length: %d\r\n\r\n%s",
		engine.HeaderRequestID, len(benchBody), benchBody)
	require.NoError(b, err)
	buf := make([]byte, 1024)
	for seen := 0; seen < n; {
		k, err := c.Read(buf)
		if err != nil {
			break
		}
		seen += bytes.Count(buf[:k], []byte("data: "))
	}
	return c
}

func cpuSeconds() float64 {
	var u unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}

// BenchmarkPath measures 500 concurrent streams from a paced engine over loopback through
// engine.Streamer, the relay and net/http to a client. One operation is one run of all
// streams. The CPU time includes the engine and the clients, which run in this process,
// so the events per second and core are a lower bound.
func BenchmarkPath(b *testing.B) {
	const tokens = 3 * benchTokens
	url := newRelayServer(b, pacedEngine(b, tokens, benchInterval, false))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	cpu := cpuSeconds()
	for b.Loop() {
		var wg sync.WaitGroup
		for range benchStreams {
			wg.Go(func() { _ = rawStream(b, url, tokens+1).Close() })
		}
		wg.Wait()
	}
	cpu = cpuSeconds() - cpu
	runtime.ReadMemStats(&after)
	events := float64(b.N * benchStreams * tokens)
	b.ReportMetric(events/cpu, "events/s/core")
	b.ReportMetric(cpu*1e6/events, "cpu-µs/event")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/events, "allocs/event")
}

// BenchmarkPathAllocs measures the allocations per event of long streams, for which the
// allocations at their start are negligible. One operation is one run of all streams.
func BenchmarkPathAllocs(b *testing.B) {
	const streams, events = 20, 2000
	url := newRelayServer(b, pacedEngine(b, events, 500*time.Microsecond, false))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for b.Loop() {
		var wg sync.WaitGroup
		for range streams {
			wg.Go(func() { _ = rawStream(b, url, events+1).Close() })
		}
		wg.Wait()
	}
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(b.N*streams*events), "allocs/event")
}

// BenchmarkStreamMemory measures the heap and stack memory that the relay uses for open
// streams that wait for their next event. The memory of the engine and the clients, measured
// without a relay, is subtracted.
func BenchmarkStreamMemory(b *testing.B) {
	const streams = 2000
	memory := func(url string) (heap, stack float64) {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		conns := make([]net.Conn, streams)
		for i := range conns {
			conns[i] = rawStream(b, url, 1)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		for _, c := range conns {
			_ = c.Close()
		}
		grown := func(from, to uint64) float64 { return (float64(to) - float64(from)) / streams }
		return grown(before.HeapAlloc, after.HeapAlloc), grown(before.StackInuse, after.StackInuse)
	}
	engineURL := pacedEngine(b, 1, time.Nanosecond, true)
	relayURL := newRelayServer(b, engineURL)
	for b.Loop() {
		directHeap, directStack := memory(engineURL)
		relayHeap, relayStack := memory(relayURL)
		b.ReportMetric(relayHeap-directHeap, "heap-B/stream")
		b.ReportMetric(relayStack-directStack, "stack-B/stream")
	}
}

// BenchmarkFirstToken measures the time to first token with 500 concurrent streams,
// alternately directly from the engine and through the relay. One operation is one stream.
func BenchmarkFirstToken(b *testing.B) {
	clock := &timer.System{}
	f := &fakeengine.Engine{Timer: clock, Slots: benchStreams, DecodeRate: 1 / benchInterval.Seconds()}
	srv := httptest.NewServer(f)
	b.Cleanup(srv.Close)
	urls := [2]string{srv.URL + "/v1/chat/completions", newRelayServer(b, srv.URL)}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchStreams}}
	var histograms [2]*hdrhistogram.Histogram
	for i := range histograms {
		histograms[i] = hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var left atomic.Int64
	left.Store(int64(b.N))
	for w := range benchStreams {
		wg.Go(func() {
			_ = clock.Sleep(b.Context(), time.Duration(w)*3*time.Millisecond)
			for k := w; left.Add(-1) >= 0; k++ {
				d := firstToken(b, client, clock, urls[k%2])
				mu.Lock()
				_ = histograms[k%2].RecordValue(d.Microseconds())
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	for _, q := range []float64{50, 95, 99} {
		direct, relayed := histograms[0].ValueAtQuantile(q), histograms[1].ValueAtQuantile(q)
		b.ReportMetric(float64(direct), fmt.Sprintf("direct-p%.0f-µs", q))
		b.ReportMetric(float64(relayed-direct), fmt.Sprintf("added-p%.0f-µs", q))
	}
}

// firstToken runs one stream to its end and returns the time to its first event.
func firstToken(b *testing.B, client *http.Client, clock timer.Timer, url string) time.Duration {
	q, err := http.NewRequestWithContext(b.Context(), http.MethodPost, url, strings.NewReader(benchBody))
	require.NoError(b, err)
	begin := clock.Now()
	res, err := client.Do(q)
	require.NoError(b, err)
	defer res.Body.Close()
	buf := make([]byte, 4096)
	var first time.Duration
	for {
		n, err := res.Body.Read(buf)
		if first == 0 && bytes.Contains(buf[:n], []byte("data: ")) {
			first = clock.Now() - begin
		}
		if err != nil {
			return first
		}
	}
}
