package httprefuse

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

const (
	// clientVariable names the environment variable that makes the test binary a client of an
	// address. The client runs in a process of its own, so that the processor time of the test
	// process is that of the server.
	clientVariable = "HTTPREFUSE_BENCH_CLIENT"
	// benchBatch is the number of requests that wait to be accepted at the same time.
	benchBatch = 64
	// sentFirst is what a client sends before the server accepts. It fits into the buffers of a
	// connection that is not accepted.
	sentFirst = 16 << 10
)

func TestMain(m *testing.M) {
	if address := os.Getenv(clientVariable); address != "" {
		if err := runClient(address, os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// runClient sends benchBatch requests of a size for each line with the size. It writes a line once
// they have arrived, and another with the number of responses once all connections have ended.
func runClient(address string, in io.Reader, out io.Writer) error {
	for lines := bufio.NewScanner(in); lines.Scan(); {
		size, err := strconv.Atoi(lines.Text())
		if err != nil {
			return err
		}
		head := "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: 9c41d07be2a35f68\r\n" +
			"X-Deadline-Ms: 3000\r\nAuthorization: Bearer 4f6c1d2e9a7b\r\nContent-Type: application/json\r\nContent-Length: "
		request := head + strconv.Itoa(size-len(head)-len("00000\r\n\r\n")) + "\r\n\r\n"
		request += strings.Repeat("x", size-len(request))
		first := min(sentFirst, len(request))
		got := make(chan bool)
		for range benchBatch {
			c, err := net.Dial("tcp", address)
			if err != nil {
				return err
			}
			if _, err = io.WriteString(c, request[:first]); err != nil {
				return err
			}
			go func() {
				defer c.Close()
				_, _ = io.WriteString(c, request[first:]) // the response can come before all is sent
				res, err := http.ReadResponse(bufio.NewReader(c), nil)
				got <- err == nil && res.StatusCode == http.StatusServiceUnavailable
			}()
		}
		fmt.Fprintln(out)
		answered := 0
		for range benchBatch {
			if <-got {
				answered++
			}
		}
		fmt.Fprintln(out, answered)
	}
	return nil
}

// gatedListener accepts benchBatch connections for each element of the gate.
type gatedListener struct {
	net.Listener
	gate chan struct{}
	left int
}

func (l *gatedListener) Accept() (net.Conn, error) {
	if l.left == 0 {
		if _, ok := <-l.gate; !ok {
			return nil, net.ErrClosed
		}
		l.left = benchBatch
	}
	l.left--
	return l.Listener.Accept()
}

func benchResponse(r *http.Request) *http.Response {
	h := http.Header{"Retry-After": {"0.731"}, "Content-Length": {"0"}}
	h.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	return &http.Response{StatusCode: http.StatusServiceUnavailable, Header: h}
}

// acceptEach calls do for each connection of a listener.
func acceptEach(do func(c net.Conn)) func(l net.Listener) {
	return func(l net.Listener) {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			do(c)
		}
	}
}

func serveRefusals(l net.Listener) {
	s := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		res := benchResponse(r)
		for name, values := range res.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(res.StatusCode)
	})}
	_ = s.Serve(l) // ends with the listener
}

// BenchmarkRefusal measures the processor time of a server for a request on a new connection that
// it does not serve. The requests wait in the accept queue, as on a server that is behind. On the
// loopback interface the kernel's work for a packet counts as the sender's.
func BenchmarkRefusal(b *testing.B) {
	f := &Refuser{MaxWaiting: atMost(2 * benchBatch), Response: benchResponse}
	for _, v := range []struct {
		name   string
		size   int
		answer bool
		serve  func(l net.Listener)
	}{
		{"close/910B", 910, false, acceptEach(func(c net.Conn) { _ = c.Close() })},
		{"close/82KB", 82_000, false, acceptEach(func(c net.Conn) { _ = c.Close() })},
		{"refuse/910B", 910, true, acceptEach(f.Refuse)},
		{"refuse/82KB", 82_000, true, acceptEach(f.Refuse)},
		{"handler/910B", 910, true, serveRefusals},
		{"handler/82KB", 82_000, true, serveRefusals},
	} {
		b.Run(v.name, func(b *testing.B) { benchmarkRefusal(b, v.size, v.answer, v.serve) })
	}
}

func benchmarkRefusal(b *testing.B, size int, answer bool, serve func(l net.Listener)) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	defer inner.Close()
	l := &gatedListener{Listener: inner, gate: make(chan struct{})}
	served := make(chan struct{})
	go func() {
		defer close(served)
		serve(l)
	}()
	client := exec.Command(os.Args[0])
	client.Env = append(os.Environ(), clientVariable+"="+inner.Addr().String())
	client.Stderr = os.Stderr
	in, err := client.StdinPipe()
	require.NoError(b, err)
	out, err := client.StdoutPipe()
	require.NoError(b, err)
	require.NoError(b, client.Start())
	lines := bufio.NewScanner(out)

	var user, system time.Duration
	var objects uint64
	requests := 0
	for b.Loop() {
		_, err := fmt.Fprintln(in, size)
		require.NoError(b, err)
		require.True(b, lines.Scan())
		userBefore, systemBefore, objectsBefore := spent()
		l.gate <- struct{}{}
		require.True(b, lines.Scan())
		userAfter, systemAfter, objectsAfter := spent()
		want := 0
		if answer {
			want = benchBatch
		}
		require.Equal(b, strconv.Itoa(want), lines.Text(), "responses")
		user, system, objects = user+userAfter-userBefore, system+systemAfter-systemBefore, objects+objectsAfter-objectsBefore
		requests += benchBatch
	}
	perRequest := func(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) / float64(requests) }
	b.ReportMetric(perRequest(user), "user-µs/request")
	b.ReportMetric(perRequest(system), "system-µs/request")
	b.ReportMetric(perRequest(user+system), "cpu-µs/request")
	b.ReportMetric(float64(objects)/float64(requests), "allocs/request")
	require.NoError(b, in.Close())
	require.NoError(b, client.Wait())
	close(l.gate)
	<-served
}

// spent returns the processor time of this process and the number of its allocations.
func spent() (user, system time.Duration, objects uint64) {
	var u unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &u) // fails only on an invalid argument
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return time.Duration(u.Utime.Nano()), time.Duration(u.Stime.Nano()), m.Mallocs
}
