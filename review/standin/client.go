package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// sent is a request of a client and what became of it.
type sent struct {
	id     string
	daemon *daemon
	at     time.Time
	// kept is true if the connection had carried another request before.
	kept bool
	// whole is true once all bytes of the request were written.
	whole bool
	// status is that of the answer, or 0 if none came.
	status int
	// complete is true if the body of the answer came to its end.
	complete bool
	header   http.Header
	ended    time.Time
}

// traffic holds the requests of all clients.
type traffic struct {
	*record
	// prefix begins the identifiers of the requests; empty means r.
	prefix string
	// path is the path up to the number of a request, with which each path ends.
	method, path, body string
	// key is the API key, or empty for apiKey.
	key string
	// uplink is the number of bytes a second that a client sends of a body; 0 means no limit.
	uplink int
	// timeout is how long a client waits, or 0 for clientTimeout.
	timeout time.Duration
	// header returns further lines of the head of the request with a number, each with its line
	// end. It may be nil.
	header func(number int64) string

	// fixedPath makes path the whole path of each request.
	fixedPath bool
	// pause is the time between the answer to a request and the next one; 0 means clientPause,
	// with variation.
	pause time.Duration
	// untilExit ends the clients of a daemon whose process has ended.
	untilExit bool

	next     atomic.Int64
	stopping atomic.Bool
	wait     sync.WaitGroup
	mu       sync.Mutex
	requests []*sent
}

// clientPause is the mean time between the answer to a client's request and its next request.
const clientPause = 30 * time.Millisecond

// pause waits between two requests. The time varies, so that clients do not fall into step.
func pause() { time.Sleep(rand.N(2 * clientPause)) }

// clientTimeout is how long a client waits for an answer, which it also tells the daemon.
const clientTimeout = 3 * time.Second

// start starts n clients of a daemon. Each keeps its connection for many requests, and each
// request is sent once. They end with finish, or when the daemon refuses a connection.
func (t *traffic) start(d *daemon, n int) {
	for range n {
		t.wait.Go(func() { t.client(d) })
	}
}

// finish ends all clients and returns their requests.
func (t *traffic) finish() []*sent {
	t.stopping.Store(true)
	t.wait.Wait()
	return t.requests
}

func (t *traffic) client(d *daemon) {
	var c net.Conn
	var in *bufio.Reader
	kept := false
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for !t.stopping.Load() {
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", d.front, time.Second); err != nil {
				c = nil
				if t.untilExit && d.hasExited() {
					return
				}
				pause()
				continue
			}
			in, kept = bufio.NewReader(c), false
		}
		reusable := t.exchange(d, c, in, kept)
		kept = true
		if !reusable {
			c.Close()
			c = nil
		}
		if t.pause > 0 {
			time.Sleep(t.pause)
		} else {
			pause()
		}
	}
}

// exchange sends a request and reads the answer. It reports whether the connection can be used
// again.
func (t *traffic) exchange(d *daemon, c net.Conn, in *bufio.Reader, kept bool) bool {
	number, timeout := t.next.Add(1), cmp.Or(t.timeout, clientTimeout)
	s := &sent{id: fmt.Sprintf("%s%06d", cmp.Or(t.prefix, "r"), number), daemon: d, at: time.Now(), kept: kept}
	t.mu.Lock()
	t.requests = append(t.requests, s)
	t.mu.Unlock()
	defer func() {
		s.ended = time.Now()
		t.add("client: %s at %s ends with status %d, complete %t", s.id, d.name, s.status, s.complete)
	}()
	path := t.path
	if !t.fixedPath {
		path += strconv.FormatInt(number, 10)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		t.method, path, hostName, s.id, timeout.Milliseconds(), cmp.Or(t.key, apiKey))
	if t.body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(t.body))
	}
	if t.header != nil {
		b.WriteString(t.header(number))
	}
	b.WriteString("\r\n")
	t.add("client: %s is sent to %s (%s %s)", s.id, d.name, t.method, path)
	_ = c.SetDeadline(s.at.Add(timeout + time.Second)) // a late answer still counts
	if err := t.write(c, b.String()); err != nil {
		t.add("client: %s is not written: %v", s.id, err)
		return false
	}
	s.whole = true
	r, err := http.ReadResponse(in, &http.Request{Method: t.method})
	if err != nil {
		t.add("client: %s gets no answer: %v", s.id, err)
		return false
	}
	defer r.Body.Close()
	s.status, s.header = r.StatusCode, r.Header
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		t.add("client: %s gets an answer that breaks off: %v", s.id, err)
		return false
	}
	s.complete = true
	return !r.Close
}

// writeInterval is the time between two writes of a body by a client with a limited uplink.
const writeInterval = 20 * time.Millisecond

// write writes the head and the body of a request.
func (t *traffic) write(c net.Conn, head string) error {
	body := t.body
	if t.uplink == 0 {
		_, err := io.WriteString(c, head+body)
		return err
	}
	if _, err := io.WriteString(c, head); err != nil {
		return err
	}
	size := int(float64(t.uplink) * writeInterval.Seconds())
	for len(body) > 0 {
		n := min(size, len(body))
		if _, err := io.WriteString(c, body[:n]); err != nil {
			return err
		}
		body = body[n:]
		time.Sleep(writeInterval)
	}
	return nil
}
