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
	// mostLatency is the longest latency that a histogram tells apart.
	mostLatency = time.Minute
	// digits is the precision of a histogram in decimal digits. Two keep it at some
	// kilobytes.
	digits = 2
)

// Latency is a histogram of times. It is safe for concurrent use. Create it with
// NewLatency.
type Latency struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
	sum  time.Duration
}

// NewLatency returns an empty histogram.
func NewLatency() *Latency {
	return &Latency{hist: hdrhistogram.New(1, mostLatency.Microseconds(), digits)}
}

// Record counts one time. A longer one than a minute counts as a minute.
func (l *Latency) Record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sum += d
	// The value is within the bounds of the histogram.
	_ = l.hist.RecordValue(max(1, min(d.Microseconds(), mostLatency.Microseconds())))
}

// summary is what a scraper gets of a histogram. Times are in seconds.
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
	at := func(q float64) float64 { return float64(l.hist.ValueAtQuantile(q)) / 1e6 }
	s := summary{Count: l.hist.TotalCount(), Sum: l.sum.Seconds(), P50: at(50), P95: at(95), P99: at(99)}
	l.mu.Unlock()
	b, err := json.Marshal(s)
	if err != nil {
		return "null" // a struct of numbers always has JSON
	}
	return string(b)
}

// Handler serves the variables as text, one line a number. Their names are the keys on
// the way to them, joined by underscores behind the prefix.
func Handler(prefix string, vars *expvar.Map) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		out := bufio.NewWriter(w)
		defer out.Flush() //nolint:errcheck // the scraper has left
		write(out, prefix, vars)
	})
}

func write(w io.Writer, name string, v expvar.Var) {
	if m, ok := v.(*expvar.Map); ok {
		m.Do(func(kv expvar.KeyValue) { write(w, name+"_"+clean(kv.Key), kv.Value) })
		return
	}
	var decoded any
	if err := json.Unmarshal([]byte(v.String()), &decoded); err != nil {
		return // a variable that is no JSON is no number either
	}
	number(w, name, decoded)
}

func number(w io.Writer, name string, v any) {
	switch v := v.(type) {
	case float64:
		fmt.Fprintf(w, "%s %v\n", name, v)
	case map[string]any:
		for k, e := range v {
			number(w, name+"_"+clean(k), e)
		}
	}
}

// clean turns a key into a part of a metric's name.
func clean(key string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsLetter(r) || unicode.IsDigit(r) {
			return r
		}
		return '_'
	}, key)
}
