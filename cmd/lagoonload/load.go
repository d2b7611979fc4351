package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lagoonhead/lagoonhead/timer"
)

const (
	// longestLatency bounds the histograms, in microseconds.
	longestLatency = int64(10 * time.Minute / time.Microsecond)
	// significantDigits is the precision of the histograms.
	significantDigits = 3
	// maxLineBytes bounds a line of an event stream.
	maxLineBytes = 1 << 20
)

// load is one run.
type load struct {
	options options
	timer   timer.Timer
	client  *http.Client

	mu     sync.Mutex
	result result
	first  *hdrhistogram.Histogram
	gap    *hdrhistogram.Histogram
}

// result counts how requests ended. Latencies are in milliseconds.
type result struct {
	Sent     int            `json:"sent"`
	Answered int            `json:"answered"`
	Failed   int            `json:"failed"`
	Skipped  int            `json:"skipped"`
	Tokens   int            `json:"tokens"`
	Statuses map[string]int `json:"statuses"`
	First    latencies      `json:"firstTokenMs"`
	Between  latencies      `json:"betweenTokensMs"`
}

// latencies are percentiles in milliseconds.
type latencies struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

func newLoad(o options, t timer.Timer) *load {
	tr := &http.Transport{MaxIdleConnsPerHost: o.most, MaxConnsPerHost: 0}
	return &load{
		options: o, timer: t, client: &http.Client{Transport: tr},
		result: result{Statuses: make(map[string]int)},
		first:  hdrhistogram.New(1, longestLatency, significantDigits),
		gap:    hdrhistogram.New(1, longestLatency, significantDigits),
	}
}

// run starts requests at random intervals and waits for all answers.
func (l *load) run(ctx context.Context) result {
	r := rand.New(rand.NewPCG(l.options.seed, 0))
	end := l.timer.Now() + l.options.length
	open := make(chan struct{}, l.options.most)
	var wait sync.WaitGroup
	for i := range l.options.requests {
		pause := time.Duration(r.ExpFloat64() / l.options.rate * float64(time.Second))
		if l.timer.Sleep(ctx, pause) != nil || l.timer.Now() > end {
			break
		}
		text := prompt(r, i, l.options.promptTokens)
		select {
		case open <- struct{}{}:
		default:
			l.count(func(r *result) { r.Skipped++ })
			continue
		}
		wait.Go(func() {
			l.one(ctx, text)
			<-open
		})
	}
	wait.Wait()
	l.result.First = percentiles(l.first)
	l.result.Between = percentiles(l.gap)
	return l.result
}

func percentiles(h *hdrhistogram.Histogram) latencies {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return latencies{P50: ms(50), P95: ms(95), P99: ms(99)}
}

func (l *load) count(f func(*result)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.result)
}

func (l *load) one(ctx context.Context, text string) {
	l.count(func(r *result) { r.Sent++ })
	start := l.timer.Now()
	resp, err := l.send(ctx, text)
	if err != nil {
		l.fail("connection")
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		l.fail(strconv.Itoa(resp.StatusCode))
		return
	}
	l.read(resp.Body, start)
}

func (l *load) fail(status string) {
	l.count(func(r *result) {
		r.Failed++
		r.Statuses[status]++
	})
}

type completion struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (l *load) send(ctx context.Context, text string) (*http.Response, error) {
	body, err := json.Marshal(completion{
		Model: l.options.model, Messages: []message{{Role: "user", Content: text}},
		MaxTokens: l.options.maxTokens, Stream: true,
	})
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, l.options.url+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+l.options.key)
	if l.options.priority != "" {
		r.Header.Set("Lagoonhead-Priority", l.options.priority)
	}
	return l.client.Do(r)
}

var (
	dataPrefix = []byte("data: ")
	doneMark   = []byte("[DONE]")
)

// read takes the events of one answer and counts it as answered when it has its
// end mark.
func (l *load) read(body io.Reader, start time.Duration) {
	s := bufio.NewScanner(body)
	s.Buffer(nil, maxLineBytes)
	last, events := start, 0
	for s.Scan() {
		data, ok := bytes.CutPrefix(s.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		if bytes.Equal(data, doneMark) {
			l.count(func(r *result) {
				r.Answered++
				r.Tokens += events
				r.Statuses["200"]++
			})
			return
		}
		now := l.timer.Now()
		l.latency(events == 0, now-last)
		last = now
		events++
	}
	l.fail("incomplete")
}

func (l *load) latency(first bool, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.gap
	if first {
		h = l.first
	}
	// A value above the range of the histogram is counted as the largest one.
	_ = h.RecordValue(min(d.Microseconds(), longestLatency))
}

func (r result) print(out io.Writer) {
	fmt.Fprintf(out, "sent %d, answered %d, failed %d, skipped %d, tokens %d\n", r.Sent, r.Answered, r.Failed, r.Skipped, r.Tokens)
	fmt.Fprintf(out, "%-16s %10s %10s %10s\n", "milliseconds", "p50", "p95", "p99")
	for _, row := range []struct {
		name string
		l    latencies
	}{{"first token", r.First}, {"between tokens", r.Between}} {
		fmt.Fprintf(out, "%-16s %10.2f %10.2f %10.2f\n", row.name, row.l.P50, row.l.P95, row.l.P99)
	}
	for s, n := range r.Statuses {
		fmt.Fprintf(out, "status %-12s %7d\n", s, n)
	}
}
