package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead/platform"
	"github.com/lagoonhead/lagoonhead/platform/fakewire"
)

const (
	// memoryLimitMB and descriptorLimit are the limits in the settings of the daemon, which are the
	// bounds of the tests. The daemon alone takes about 30 MB.
	memoryLimitMB, descriptorLimit = 128, 1000
	// crowd is the number of connections of a client load. It is below the number of connections
	// that a daemon with descriptorLimit accepts.
	crowd = 400
	// largestBody is the limit on bodies that fakewire.Configuration sets, and ordinaryBody the size
	// of the body of an ordinary request.
	largestBody, ordinaryBody = 1 << 20, 17 << 10
	// legalBody is the largest limit on bodies that configurations set.
	legalBody = 4 << 20
	// loadTimeout bounds the time in which a client sends its load. A daemon may stop to read a body.
	loadTimeout = 8 * time.Second
	// answerBytes is the size of an answer to a slow reader.
	answerBytes = 2 << 20
)

// processMemory is held by tests that measure the memory of a daemon, so that they run one at a time.
var processMemory sync.Mutex

// buildDaemon returns the daemon's program, built without the race detector, which multiplies the
// memory of a process.
func buildDaemon(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "lagoonheadd")
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", path, ".").CombinedOutput()
	require.NoError(t, err, "%s", out)
	return path
}

// usage samples the memory and the descriptors of a process.
type usage struct {
	pid int
	// ports are the ports of the callers' listener and of the endpoints, in hexadecimal. Bytes that
	// arrived on connections with one of them and are unread count as memory of the process.
	callers   string
	endpoints []string

	mu sync.Mutex
	// bytes is the greatest sum of resident and unread bytes, unread the greatest of the latter.
	bytes, unread int64
	descriptors   int
}

func hexPort(t *testing.T, address string) string {
	t.Helper()
	_, port, err := net.SplitHostPort(address)
	require.NoError(t, err)
	n, err := strconv.Atoi(port)
	require.NoError(t, err)
	return fmt.Sprintf("%04X", n)
}

// sample returns the current number of descriptors, or 0 if the process has ended.
func (u *usage) sample() (descriptors int) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", u.pid))
	if err != nil {
		return 0
	}
	var resident int64
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			_, _ = fmt.Sscan(text, &resident) // 0 is the value of a process that has ended
		}
	}
	files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", u.pid)) // empty if the process has ended
	unread := u.unreadBytes()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.unread = max(u.unread, unread)
	u.bytes = max(u.bytes, resident<<10+unread)
	u.descriptors = max(u.descriptors, len(files))
	return len(files)
}

// unreadBytes returns the bytes that have arrived at the process and that it has not read.
func (u *usage) unreadBytes() (sum int64) {
	table, _ := os.ReadFile("/proc/self/net/tcp") // the daemon is in the same network namespace
	for line := range strings.Lines(string(table)) {
		f := strings.Fields(line)
		if len(f) < 5 || f[3] == "0A" { // 0A is a listener, whose queue is a number of connections
			continue
		}
		_, local, _ := strings.Cut(f[1], ":")
		_, remote, _ := strings.Cut(f[2], ":")
		ours := local == u.callers
		for _, p := range u.endpoints {
			ours = ours || remote == p
		}
		if _, queue, ok := strings.Cut(f[4], ":"); ok && ours {
			n, _ := strconv.ParseInt(queue, 16, 64) // the kernel writes a number
			sum += n
		}
	}
	return sum
}

// measure samples until the test ends.
func (u *usage) measure(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() {
		for ctx.Err() == nil {
			u.sample()
			time.Sleep(10 * time.Millisecond)
		}
	})
	t.Cleanup(func() {
		cancel()
		wait.Wait()
	})
}

// requireBounded requires that the process lives and has kept its limits so far.
func (u *usage) requireBounded(t *testing.T, memoryMB int) {
	t.Helper()
	require.Positive(t, u.sample(), "the process has ended")
	u.mu.Lock()
	defer u.mu.Unlock()
	t.Logf("resident and unread %d MiB, of these unread at most %d MiB, %d descriptors", u.bytes>>20, u.unread>>20, u.descriptors)
	require.LessOrEqual(t, u.bytes, int64(memoryMB<<20), "resident and unread bytes")
	require.LessOrEqual(t, u.descriptors, descriptorLimit)
}

// memoryFleet is a daemon with small limits and its endpoints, which keep no request in memory.
type memoryFleet struct {
	*platformFleet
	daemon *process
	usage  *usage
	// streams is the number of streams that the engine is sending.
	streams atomic.Int64
}

func newMemoryFleet(t *testing.T, program string, memoryMB, maxBodyBytes int) *memoryFleet {
	t.Helper()
	f := &memoryFleet{platformFleet: newPlatformFleet(t)}
	f.maxBodyBytes = maxBodyBytes
	f.configure(t)
	service, engine := listenForTest(t, http.HandlerFunc(f.answer)), listenForTest(t, http.HandlerFunc(f.stream))
	f.put(t, platform.EndpointPrefix+"s1", (&fakewire.Endpoint{ID: "s1"}).Registration("plain", service, "a", "ready"))
	f.put(t, platform.EndpointPrefix+"e1", (&fakewire.Endpoint{ID: "e1", Stage: "decode"}).Registration("model", engine, "a", "ready"))
	f.memoryMB, f.maxDescriptors, f.program = memoryMB, descriptorLimit, program
	f.daemon = f.startDaemon(t, "vm1")
	f.usage = &usage{pid: f.daemon.cmd.Process.Pid, callers: hexPort(t, f.daemon.address), endpoints: []string{hexPort(t, service), hexPort(t, engine)}}
	f.usage.measure(t)
	return f
}

// answer is a plain service that begins to read a large body late. Its answer to a path that ends in
// /large has answerBytes.
func (f *memoryFleet) answer(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength > ordinaryBody {
		time.Sleep(300 * time.Millisecond)
	}
	_, _ = io.Copy(io.Discard, r.Body) // a broken request shows in the answer
	fakewire.StampAnswer(w, r, "s1")
	if !strings.HasSuffix(r.URL.Path, "/large") {
		_, _ = io.WriteString(w, "answer")
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(answerBytes))
	part := make([]byte, 32<<10)
	for range answerBytes / len(part) {
		_, _ = w.Write(part) // a connection that is closed ends the handler soon
	}
}

// stream is an engine that sends events of a kilobyte until its caller leaves.
func (f *memoryFleet) stream(w http.ResponseWriter, r *http.Request) {
	f.streams.Add(1)
	defer f.streams.Add(-1)
	_, _ = io.Copy(io.Discard, r.Body) // a broken request shows in the answer
	fakewire.StampAnswer(w, r, "e1")
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	text := strings.Repeat("x", 1<<10)
	for n := 1; r.Context().Err() == nil; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, text); err != nil || control.Flush() != nil {
			return
		}
	}
}

// head returns the header section of a request of a caller.
func head(path, id string, more ...string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nAuthorization: Bearer %s\r\n%s\r\n\r\n",
		path, fakewire.Host, id, frontDeskKey, strings.Join(more, "\r\n"))
}

// chunk returns a chunk of a chunked body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// load is a kind of client load: what each client sends on its connection, which it keeps open.
type load struct {
	name string
	send func(w io.Writer, id string) error
	// slowReader is true if clients do not read what they get.
	slowReader bool
}

// repeat writes a text n times.
func repeat(w io.Writer, text string, n int) (err error) {
	for i := 0; i < n && err == nil; i++ {
		_, err = io.WriteString(w, text)
	}
	return err
}

// writeAll writes a header section, and a text n times.
func writeAll(w io.Writer, head, text string, n int) error {
	if _, err := io.WriteString(w, head); err != nil {
		return err
	}
	return repeat(w, text, n)
}

// writeChunks writes a header section, and a body in chunks of a size without the chunk that ends it.
func writeChunks(w io.Writer, head, body string, size int) error {
	if _, err := io.WriteString(w, head); err != nil {
		return err
	}
	for ; len(body) > 0; body = body[min(size, len(body)):] {
		if _, err := io.WriteString(w, chunk(body[:min(size, len(body))])); err != nil {
			return err
		}
	}
	return nil
}

// bodyLoads returns the loads of requests with the head that head returns. Bodies of legal size begin and
// end with the given texts.
func bodyLoads(head func(id string, more ...string) string, begin, end string) []load {
	body := begin + strings.Repeat("x", largestBody-len(begin)-len(end)) + end
	block := strings.Repeat("x", 32<<10)
	blocks := largestBody / len(block)
	length := func(n int) string { return fmt.Sprintf("Content-Length: %d", n) }
	const chunked = "Transfer-Encoding: chunked"
	return []load{
		{name: "whole bodies", send: func(w io.Writer, id string) error {
			return writeAll(w, head(id, length(largestBody)), body, 1)
		}},
		{name: "bodies that stop short", send: func(w io.Writer, id string) error {
			return writeAll(w, head(id, length(largestBody)), body[:largestBody-1], 1)
		}},
		{name: "large chunks", send: func(w io.Writer, id string) error {
			return writeChunks(w, head(id, chunked), body, largestBody/4)
		}},
		{name: "small chunks that stop short", send: func(w io.Writer, id string) error {
			b := bufio.NewWriterSize(w, 4<<10) // many chunks a packet, so that the client needs less time
			if err := writeChunks(b, head(id, chunked), body[:largestBody-16], 16); err != nil {
				return err
			}
			return b.Flush()
		}},
		{name: "announced bodies far over the limit", send: func(w io.Writer, id string) error {
			return writeAll(w, head(id, length(64*largestBody)), body, 64)
		}},
		{name: "bodies far over the limit without a length", send: func(w io.Writer, id string) error {
			return writeAll(w, head(id, chunked), chunk(block), 64*blocks)
		}},
	}
}

// clientLoads returns the loads of the platform's interface.
func clientLoads() []load {
	book := func(id string, more ...string) string { return head("/book/x", id, more...) }
	// A connection whose request was refused would otherwise stay open as an idle one.
	empty := []string{"Content-Length: 0", "Connection: close"}
	return append(bodyLoads(book, "", ""), []load{
		{name: "unread answers", slowReader: true, send: func(w io.Writer, id string) error {
			return writeAll(w, head("/book/large", id, empty...), "", 0)
		}},
		{name: "unread streams", slowReader: true, send: func(w io.Writer, id string) error {
			return writeAll(w, head("/read/x", id, empty...), "", 0)
		}},
	}...)
}

// play sends the load on the connections of a crowd and returns once each client has sent all, or
// cannot send any more. The connections stay open until the test ends.
func (l load) play(t *testing.T, address string) {
	t.Helper()
	var wait sync.WaitGroup
	for n := range crowd {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		if l.slowReader {
			require.NoError(t, c.(*net.TCPConn).SetReadBuffer(4<<10))
		} else {
			go func() { _, _ = io.Copy(io.Discard, c) }() // until the connection ends
		}
		wait.Go(func() {
			_ = c.SetWriteDeadline(time.Now().Add(loadTimeout)) // fails only on a closed connection
			_ = l.send(c, fmt.Sprint(l.name, n))                // the daemon may end the connection at any time
		})
	}
	wait.Wait()
}

// ask sends an ordinary request and reports whether it was answered.
func (f *memoryFleet) ask(t *testing.T, id string) bool {
	t.Helper()
	return f.post(t, id, strings.NewReader(strings.Repeat("x", ordinaryBody))) == http.StatusOK
}

// post sends a request and returns the status of a whole answer, or 0. A body of a type that net/http
// does not know is sent in chunks.
func (f *memoryFleet) post(t *testing.T, id string, body io.Reader) int {
	t.Helper()
	pool := &http.Transport{DisableKeepAlives: true}
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.daemon.url()+"/book/x", body)
	if err != nil {
		return 0
	}
	r.Host = fakewire.Host
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("Authorization", "Bearer "+frontDeskKey)
	resp, err := pool.RoundTrip(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode == http.StatusOK && string(answer) != "answer" {
		return 0
	}
	return resp.StatusCode
}

// Guards against callers that end a daemon by its memory, or keep it from serving others: bodies of
// legal size that come all at once or do not end, bodies over the limit, and answers that are not
// read. The platform kills a process above its memory, and counts what it has not read as its own.
func TestCallersDoNotTakeTheMemory(t *testing.T) {
	processMemory.Lock()
	defer processMemory.Unlock()
	program := buildDaemon(t)
	for _, l := range clientLoads() {
		t.Run(l.name, func(t *testing.T) {
			f := newMemoryFleet(t, program, memoryLimitMB, largestBody)
			before := f.usage.sample()
			l.play(t, f.daemon.address)
			n := 0
			eventually(t, "an ordinary request is answered", func() bool {
				n++
				return f.ask(t, fmt.Sprint("ordinary", n))
			})
			if l.slowReader {
				eventually(t, "callers that read nothing are given up", func() bool {
					return f.usage.sample() < before+crowd/4 && f.streams.Load() == 0
				})
			}
			f.usage.requireBounded(t, memoryLimitMB)
		})
	}
}

// Guards against limits that a caller without others beside it meets: the largest body on the smallest
// VM.
func TestTheLargestBodyIsServedOnASmallVM(t *testing.T) {
	processMemory.Lock()
	defer processMemory.Unlock()
	f := newMemoryFleet(t, buildDaemon(t), 144, legalBody)
	body := strings.Repeat("x", legalBody)
	require.Equal(t, http.StatusOK, f.post(t, "with its length", strings.NewReader(body)))
	require.Equal(t, http.StatusOK, f.post(t, "in chunks", struct{ io.Reader }{strings.NewReader(body)}))
	require.NotContains(t, f.daemon.output.String(), "bodies of callers refused")
}

// Guards against limits that ordinary load meets: bodies of 17 kB from many callers at once. Requests
// that the daemon refuses for a lack of processor time do not count.
func TestOrdinaryLoadMeetsNoLimitOfMemory(t *testing.T) {
	processMemory.Lock()
	defer processMemory.Unlock()
	f := newMemoryFleet(t, buildDaemon(t), 284, legalBody)
	var wait sync.WaitGroup
	var answered atomic.Int64
	for n := range 100 {
		wait.Go(func() {
			for i := range 10 {
				if f.ask(t, fmt.Sprint("ordinary ", n, " ", i)) {
					answered.Add(1)
				}
			}
		})
	}
	wait.Wait()
	require.Positive(t, answered.Load())
	time.Sleep(2 * time.Second) // the daemon logs refusals once a second
	for _, message := range []string{"bodies of callers refused", "answers refused"} {
		require.NotContains(t, f.daemon.output.String(), message)
	}
}
