package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/fakeplatform"
	"github.com/lagoonhead/lagoonhead/platform"
	"github.com/lagoonhead/lagoonhead/platform/fakewire"
	"github.com/lagoonhead/lagoonhead/timer"
)

// platformGrace is the grace time of daemons that run with -platform.
const platformGrace = 4 * time.Second

// platformFleet is a fake platform with one endpoint, for daemons that run with -platform.
type platformFleet struct {
	storeAddress, cloudAddress string
	endpoint                   *fakewire.Endpoint
}

// newPlatformFleet starts the platform and the endpoint, which serves bookings.
func newPlatformFleet(t *testing.T, e *fakewire.Endpoint) *platformFleet {
	t.Helper()
	listen := func(h http.Handler) string {
		s := httptest.NewServer(h)
		t.Cleanup(func() {
			s.CloseClientConnections()
			s.Close()
		})
		return strings.TrimPrefix(s.URL, "http://")
	}
	kv := fakeplatform.NewKV(&timer.System{})
	f := &platformFleet{endpoint: e, storeAddress: listen((&fakewire.Store{KV: kv}).Handler()), cloudAddress: listen(new(fakewire.Cloud).Handler())}
	configuration, err := json.Marshal(map[string]any{
		"version": 1, "services": []any{map[string]any{"name": "plain"}}, "limits": map[string]any{"max_body_bytes": 1 << 20},
		"routes": []any{map[string]any{
			"name": "book", "host": "h.example", "path_prefix": "/book/", "route_kind": "non_idempotent", "service": "plain",
			"timeout_ms": 3000, "slo_ms": 500, "priority": 1, "max_attempts": 1,
		}},
		"tenants": []any{map[string]any{"name": "w", "api_keys": []string{frontDeskKey}}},
	})
	require.NoError(t, err)
	for k, v := range map[string][]byte{
		platform.ConfigurationKey:      configuration,
		platform.EndpointPrefix + e.ID: e.Registration("plain", listen(e), "a", "ready"),
	} {
		_, err := kv.Put(t.Context(), lagoonhead.PutRequest{Key: k, Value: v, IfRevision: lagoonhead.AnyRevision})
		require.NoError(t, err)
	}
	return f
}

// startDaemon starts a daemon and waits until it is ready. Its address is that for callers.
func (f *platformFleet) startDaemon(t *testing.T) *process {
	t.Helper()
	ports := freePorts(t, 3)
	settings, err := json.Marshal(map[string]any{
		"node_name": "vm1", "ip": "127.0.0.1", "zone": "a",
		"listen":   map[string]any{"front_addr": ports[0], "ready_addr": ports[1], "control_plane": ports[2]},
		"limits":   map[string]any{"memory_mb": 500, "max_fds": 1000, "cpu_share": 1},
		"platform": map[string]any{"address": f.storeAddress, "ttl_min_ms": 1000}, "cloud_api": map[string]any{"address": f.cloudAddress},
		"bounds": map[string]any{"grace_s": platformGrace.Seconds(), "lease_ms": 3000, "report_window_s": 5, "fencing_enabled": true},
	})
	require.NoError(t, err)
	p := newProcess("daemon", "vm1", "-platform")
	p.address = ports[0]
	p.cmd.Env = append(p.cmd.Env, platform.SettingsVariable+"="+writeFile(t, "settings.json", string(settings)))
	log, err := p.cmd.StdoutPipe()
	require.NoError(t, err)
	p.log = log
	p.start(t)
	go func() { _, _ = io.Copy(p.output, log) }() // until the process ends or closeLog
	eventually(t, "the daemon is ready", func() bool {
		r, err := http.Get("http://" + ports[1] + "/-/readyz") //nolint:noctx // The address is a child process on loopback.
		if err != nil {
			return false
		}
		r.Body.Close()
		return r.StatusCode == http.StatusOK
	})
	return p
}

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
	f := newPlatformFleet(t, &fakewire.Endpoint{ID: "s1", Pause: 100 * time.Millisecond})
	p := f.startDaemon(t)
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
	require.Empty(t, b.cutOff(f.endpoint), "bookings that ran and were not answered")
	require.Greater(t, len(f.endpoint.Runs()), 20)
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
	f := newPlatformFleet(t, &fakewire.Endpoint{ID: "s1", Pause: 50 * time.Millisecond})
	p := f.startDaemon(t)
	require.NoError(t, p.log.Close())
	var b bookings
	b.start(p, 2)
	time.Sleep(500 * time.Millisecond)
	p.signal(t, syscall.SIGTERM)
	b.wait.Wait()
	require.NoError(t, p.cmd.Wait())
	require.Empty(t, b.cutOff(f.endpoint), "bookings that ran and were not answered")
	require.Greater(t, len(f.endpoint.Runs()), 5)
}

// Guards against bookings that are still running at the end of a planned stop and whose connections
// end without an answer.
func TestBookingsRunningAtTheEndOfAStopAreAnswered(t *testing.T) {
	f := newPlatformFleet(t, &fakewire.Endpoint{ID: "s1", Pause: 1800 * time.Millisecond})
	p := f.startDaemon(t)
	var b bookings
	for range 8 {
		b.start(p, 1)
		time.Sleep(200 * time.Millisecond)
	}
	p.signal(t, syscall.SIGTERM)
	b.wait.Wait()
	require.NoError(t, p.cmd.Wait())
	require.Empty(t, b.cutOff(f.endpoint), "bookings that ran and were not answered")
	require.Greater(t, len(f.endpoint.Runs()), 8)
}
