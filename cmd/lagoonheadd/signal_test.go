package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead/platform/fakewire"
)

// bookings sends bookings to a daemon from clients that keep using their connections, until
// the daemon accepts none.
type bookings struct {
	wait sync.WaitGroup
	sent atomic.Int64

	mu sync.Mutex
	// unanswered holds the IDs of bookings whose connection ended without a complete answer.
	unanswered []string
}

func (b *bookings) start(p *process, clients int) {
	for range clients {
		b.wait.Go(func() {
			pool := &http.Transport{MaxIdleConnsPerHost: 1}
			defer pool.CloseIdleConnections()
			for failures := 0; failures < 2; {
				failures++
				if b.send(p, &http.Client{Transport: pool}) {
					failures = 0
				}
			}
		})
	}
}

// send reports whether the daemon answered.
func (b *bookings) send(p *process, c *http.Client) bool {
	id := fmt.Sprint("booking-", b.sent.Add(1))
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, p.url()+"/book/x", strings.NewReader(booking))
	if err == nil {
		r.Host = "h.example"
		r.Header.Set("X-Request-Id", id)
		r.Header.Set("Authorization", "Bearer "+frontDeskKey)
		var resp *http.Response
		if resp, err = c.Do(r); err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	}
	if err != nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.unanswered = append(b.unanswered, id)
	}
	return err == nil
}

// cutOff returns the IDs of the bookings that the endpoint ran and whose client got no answer.
func (b *bookings) cutOff(e *fakewire.Endpoint) []string {
	ran := make(map[string]bool)
	for _, r := range e.Runs() {
		ran[r.Header.Get("X-Request-Id")] = true
	}
	var list []string
	for _, id := range b.unanswered {
		if ran[id] {
			list = append(list, id)
		}
	}
	return list
}

// Guards against a daemon that ends by a SIGHUP, before it drains or while it does, with
// requests in progress.
func TestHangupsEndNoRequest(t *testing.T) {
	e := &fakewire.Endpoint{ID: "s1", Pause: 100 * time.Millisecond}
	p := newPlatformFleet(t, e).startDaemon(t, "vm1")
	var b bookings
	b.start(p, 6)
	for _, s := range []syscall.Signal{
		syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP,
	} {
		time.Sleep(200 * time.Millisecond)
		p.signal(t, s)
	}
	b.wait.Wait()
	require.NoError(t, p.cmd.Wait())
	require.Empty(t, b.cutOff(e), "bookings that ran and were not answered")
	require.Greater(t, len(e.Runs()), 20)
}

// Guards against a daemon of the project's own interface that ends by a SIGHUP.
func TestHangupEndsNoStream(t *testing.T) {
	f := newFleet(t, 1, 1)
	d := f.daemons[0]
	began := make(chan struct{})
	stream := make(chan *events, 1)
	go func() {
		once := sync.OnceFunc(func() { close(began) })
		stream <- readStream(context.Background(), d, frontDeskKey, streamBody("hangup", 400), "", func(*events) bool {
			once()
			return false
		})
	}()
	<-began
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		d.signal(t, s)
		time.Sleep(100 * time.Millisecond)
	}
	e := <-stream
	require.True(t, e.done, e.failure)
	require.Equal(t, expected(t, "hangup", 400), e.text.String())
	require.NoError(t, d.cmd.Wait())
}

// Guards against a daemon that ends by a SIGPIPE, with requests in progress, once nothing reads
// its log any more.
func TestALogWithoutReaderEndsNoRequest(t *testing.T) {
	e := &fakewire.Endpoint{ID: "s1", Pause: 50 * time.Millisecond}
	p := newPlatformFleet(t, e).startDaemon(t, "vm1")
	require.NoError(t, p.log.Close())
	var b bookings
	b.start(p, 2)
	time.Sleep(500 * time.Millisecond)
	p.signal(t, syscall.SIGTERM)
	b.wait.Wait()
	require.NoError(t, p.cmd.Wait())
	require.Empty(t, b.cutOff(e), "bookings that ran and were not answered")
	require.Greater(t, len(e.Runs()), 5)
}

// Guards against bookings that are still running at the end of a planned stop and whose connections
// end without an answer.
func TestBookingsRunningAtTheEndOfAStopAreAnswered(t *testing.T) {
	e := &fakewire.Endpoint{ID: "s1", Pause: 1800 * time.Millisecond}
	p := newPlatformFleet(t, e).startDaemon(t, "vm1")
	var b bookings
	for range 8 {
		b.start(p, 1)
		time.Sleep(200 * time.Millisecond)
	}
	p.signal(t, syscall.SIGTERM)
	b.wait.Wait()
	require.NoError(t, p.cmd.Wait())
	require.Empty(t, b.cutOff(e), "bookings that ran and were not answered")
	require.Greater(t, len(e.Runs()), 8)
}
