package metrics

import (
	"bufio"
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
	"unicode"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the largest value that a histogram records; larger ones are clamped.
	maxLatency = time.Minute
	// significantDigits is the precision of a histogram in decimal digits. With 2 it takes
	// some kilobytes of memory.
	significantDigits = 2
)

// Latency is a histogram of latencies. It is safe for concurrent use. Create it with
// NewLatency.
type Latency struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram // in microseconds
	sum  time.Duration
}

// NewLatency returns an empty histogram.
func NewLatency() *Latency {
	return &Latency{hist: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)}
}

// Record adds one latency. Latencies of more than a minute count as a minute in the
// percentiles, but not in the sum.
func (l *Latency) Record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sum += d
	// No error is possible: the value is within the bounds of the histogram.
	_ = l.hist.RecordValue(max(1, min(d.Microseconds(), maxLatency.Microseconds())))
}

// summary is the exported form of a histogram. Times are in seconds.
type summary struct {
	Count int64   `json:"count"`
	Sum   float64 `json:"sum"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
}

// String returns the summary as JSON, so that Latency is an expvar.Var.
func (l *Latency) String() string {
	l.mu.Lock()
	percentile := func(q float64) float64 { return float64(l.hist.ValueAtQuantile(q)) / 1e6 }
	s := summary{Count: l.hist.TotalCount(), Sum: l.sum.Seconds(), P50: percentile(50), P95: percentile(95), P99: percentile(99)}
	l.mu.Unlock()
	b, err := json.Marshal(s)
	if err != nil {
		return "null" // cannot happen: all fields are numbers
	}
	return string(b)
}

// Handler serves the numbers in vars as text, one per line. The name of a number is the
// prefix and the keys on the path to it, joined by underscores.
func Handler(prefix string, vars *expvar.Map) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		out := bufio.NewWriter(w)
		defer out.Flush() //nolint:errcheck // the scraper has left
		writeVar(out, prefix, vars)
	})
}

// writeVar writes the numbers of one variable or map of variables.
func writeVar(w io.Writer, name string, v expvar.Var) {
	if m, ok := v.(*expvar.Map); ok {
		m.Do(func(kv expvar.KeyValue) { writeVar(w, name+"_"+sanitize(kv.Key), kv.Value) })
		return
	}
	var decoded any
	if err := json.Unmarshal([]byte(v.String()), &decoded); err != nil {
		return // not JSON, so it holds no number
	}
	writeNumbers(w, name, decoded)
}

// writeNumbers writes the numbers of a decoded JSON value and ignores everything else.
func writeNumbers(w io.Writer, name string, v any) {
	switch v := v.(type) {
	case float64:
		fmt.Fprintf(w, "%s %v\n", name, v)
	case map[string]any:
		for k, e := range v {
			writeNumbers(w, name+"_"+sanitize(k), e)
		}
	}
}

// sanitize turns a key into a part of a metric name: characters other than letters and
// digits become underscores.
func sanitize(key string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsLetter(r) || unicode.IsDigit(r) {
			return r
		}
		return '_'
	}, key)
}
