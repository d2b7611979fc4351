package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead/inventory"
)

// answers counts the requests that were sent whole, by how they ended.
type answers struct {
	wait     sync.WaitGroup
	statuses [6]atomic.Int64 // by the first digit

	mu sync.Mutex
	// unanswered holds the errors of requests that ended without a complete response.
	unanswered []string
}

// start sends requests to a daemon until two in a row cannot be sent. With keepAlive the client
// uses one connection, else a new one for each request.
func (a *answers) start(p *process, key string, keepAlive bool) {
	a.wait.Go(func() {
		pool := &http.Transport{MaxIdleConnsPerHost: 1, DisableKeepAlives: !keepAlive}
		defer pool.CloseIdleConnections()
		for failures := 0; failures < 2; {
			failures++
			if a.send(p, key, pool) {
				failures = 0
			}
			time.Sleep(2 * time.Millisecond)
		}
	})
}

// send reports whether the whole request was sent.
func (a *answers) send(p *process, key string, pool *http.Transport) bool {
	body := `{"model":"reader","messages":[{"role":"user","content":"` + strings.Repeat("x", 900) + `"}],"max_tokens":4}`
	r, err := http.NewRequest(http.MethodPost, p.url()+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return false
	}
	r.Header.Set("Authorization", "Bearer "+key)
	var sent atomic.Bool
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		WroteRequest: func(i httptrace.WroteRequestInfo) { sent.Store(i.Err == nil) },
	}))
	resp, err := pool.RoundTrip(r)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	switch {
	case err == nil:
		a.statuses[resp.StatusCode/100].Add(1)
	case sent.Load():
		a.mu.Lock()
		defer a.mu.Unlock()
		a.unanswered = append(a.unanswered, err.Error())
	}
	return sent.Load()
}

// Guards against whole requests that get no answer beside changes of the configuration, SIGHUP
// and SIGTERM.
func TestWholeRequestsAreAnswered(t *testing.T) {
	f := newFleet(t, 2, 1)
	d := f.daemons[0]
	var a answers
	for i := range 12 {
		a.start(d, []string{frontDeskKey, branchKey, "lh-unknown-000000000000000000"}[i%3], i%2 == 0)
	}
	for i := range 10 {
		f.commitRetry(t, func(inv *inventory.Inventory) *inventory.Inventory {
			next := inv.Clone()
			for j := range 30 {
				next.Models = append(next.Models, inventory.Model{ID: fmt.Sprintf("m%d-%d", i, j)})
			}
			return next
		})
		d.signal(t, syscall.SIGHUP)
		time.Sleep(100 * time.Millisecond)
	}
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		d.signal(t, s)
		time.Sleep(50 * time.Millisecond)
	}
	a.wait.Wait()
	require.NoError(t, d.cmd.Wait())
	require.Empty(t, a.unanswered)
	t.Log("responses with 2xx, 4xx, 5xx:", a.statuses[2].Load(), a.statuses[4].Load(), a.statuses[5].Load())
	require.Greater(t, a.statuses[2].Load(), int64(10))
	require.Greater(t, a.statuses[4].Load(), int64(200))
}
