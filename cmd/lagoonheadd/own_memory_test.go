package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// ownHead returns a function that returns the header section of a request of the project's own interface.
func ownHead(path string) func(id string, more ...string) string {
	return func(id string, more ...string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nIdempotency-Key: %s\r\nAuthorization: Bearer %s\r\n%s\r\n\r\n",
			path, strings.ReplaceAll(id, " ", "-"), frontDeskKey, strings.Join(more, "\r\n"))
	}
}

// askOwn sends an ordinary completion of another workspace and reports whether it was answered.
func askOwn(t *testing.T, p *process) bool {
	t.Helper()
	body := `{"model":"reader","messages":[{"role":"user","content":"` + strings.Repeat("word ", 100) + `"}],"max_tokens":4}`
	return complete(t, p, branchKey, strings.NewReader(body)) == http.StatusOK
}

// complete sends a completion and returns the status of its answer, or 0.
func complete(t *testing.T, p *process, key string, body io.Reader) int {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, p.url()+"/v1/chat/completions", body)
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+key)
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// Guards against limits that a caller without others beside it meets: the largest body, at the least
// memory that the settings allow.
func TestTheLargestBodyOfTheOwnInterfaceIsServed(t *testing.T) {
	processMemory.Lock()
	defer processMemory.Unlock()
	f := newFleetWithoutDaemons(t, 1, 1)
	f.program, f.limits = buildDaemon(t), ", maxBody: 1MiB, memory: 64MiB"
	d := f.startDaemon(t, 0)
	f.daemons = append(f.daemons, d)
	f.awaitReady(t)
	begin, end := `{"model":"reader","max_tokens":4,"messages":[{"role":"user","content":"`, `"}]}`
	body := begin + strings.Repeat("x", largestBody-len(begin)-len(end)) + end
	for name, r := range map[string]io.Reader{"with its length": strings.NewReader(body), "in chunks": struct{ io.Reader }{strings.NewReader(body)}} {
		require.Equal(t, http.StatusOK, complete(t, d, frontDeskKey, r), name)
	}
	require.NotContains(t, d.output.String(), "bodies of callers refused")
}

// Guards against callers of the project's own interface that end a daemon by its memory, or keep it from
// serving others: bodies of legal size that come all at once or do not end, and bodies over the limit.
func TestCallersOfTheOwnInterfaceDoNotTakeTheMemory(t *testing.T) {
	processMemory.Lock()
	defer processMemory.Unlock()
	program := buildDaemon(t)
	for name, loads := range map[string][]load{
		"completions": bodyLoads(ownHead("/v1/chat/completions"), `{"model":"reader","messages":[{"role":"user","content":"`, `"}]}`),
		"bookings":    bodyLoads(ownHead("/services/crates/bookings"), "", ""),
	} {
		for _, l := range loads {
			t.Run(name+" with "+l.name, func(t *testing.T) {
				f := newFleetWithoutDaemons(t, 1, 1)
				f.program, f.limits = program, fmt.Sprintf(", maxBody: 1MiB, memory: %dMiB", memoryLimitMB)
				d := f.startDaemon(t, 0)
				f.daemons = append(f.daemons, d)
				f.awaitReady(t)
				u := &usage{pid: d.cmd.Process.Pid, callers: hexPort(t, d.address)}
				u.measure(t)
				l.play(t, d.address)
				eventually(t, "an ordinary request is answered", func() bool { return askOwn(t, d) })
				u.requireBounded(t, memoryLimitMB)
			})
		}
	}
}
