package dispatch

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"testing"

	"github.com/lagoonhead/lagoonhead"
)

// eventBody is a stream of n events that returns one event per Read, as a connection to an
// engine does.
type eventBody struct {
	left int
	next []byte
}

var eventBytes = []byte("id: 1\ndata: {\"text\":\"some words of an answer, as long as usual\"}\n\n")

func (b *eventBody) Read(p []byte) (int, error) {
	if len(b.next) == 0 {
		if b.left == 0 {
			return 0, io.EOF
		}
		b.left--
		b.next = eventBytes
	}
	n := copy(p, b.next)
	b.next = b.next[n:]
	return n, nil
}

func (b *eventBody) Close() error { return nil }

// eventSender answers every send with a stream.
type eventSender struct {
	scriptedSender
	events int
}

func (s *eventSender) Send(context.Context, *lagoonhead.Attempt) (*lagoonhead.Answer, error) {
	return &lagoonhead.Answer{Status: http.StatusOK, Header: http.Header{}, Body: &eventBody{left: s.events}}, nil
}

type discardSink struct{}

func (discardSink) Start(int, http.Header) {}
func (discardSink) Write([]byte) error     { return nil }
func (discardSink) Flush() error           { return nil }
func (discardSink) Interrupt()             {}

func serveBench(b *testing.B, path string, events int, requests int) {
	d := scriptedDispatcher(&eventSender{events: events})
	u, err := url.Parse("http://h" + path)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range requests {
		if err := d.Serve(b.Context(), &Call{ID: "r", Method: http.MethodPost, Host: "h", URL: u}, discardSink{}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkEvent measures the cost of each event of a stream after the first.
func BenchmarkEvent(b *testing.B) { serveBench(b, "/resumable/x", b.N, 1) }

// BenchmarkStream measures the cost of a stream of ten events, without its connections.
func BenchmarkStream(b *testing.B) { serveBench(b, "/resumable/x", 10, b.N) }

// BenchmarkPlain measures the cost of a request with a single answer, without its connections.
func BenchmarkPlain(b *testing.B) { serveBench(b, "/plain/x", 1, b.N) }
