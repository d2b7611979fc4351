package engine

import (
	"bytes"
	"encoding/json"
	"io"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// parseAll returns all events of r, each as its id, a zero byte and its data, and the
// error that ended the parse.
func parseAll(r io.Reader, maxEventBytes int) (events []string, err error) {
	p := newParser(r, maxEventBytes)
	for {
		if err := p.next(); err != nil {
			return events, err
		}
		events = append(events, string(p.id)+"\x00"+string(p.data))
	}
}

// Guards against a result that depends on how the input is split into reads, against
// events larger than the bound, and against panics on any input.
func FuzzParser(f *testing.F) {
	for _, s := range []string{
		"id: r/0\ndata: a\n\n", ": c\n\nid: r/1\r\ndata: a\r\ndata: b\r\n\r\n", "data\n\n", "id: x\n\n", "data: a",
		"event: e\ndata:a\n\n\n\n", "id: r/99999999999999999999\ndata: [DONE]\n\n",
	} {
		f.Add([]byte(s))
	}
	const maxEventBytes = 64
	f.Fuzz(func(t *testing.T, b []byte) {
		whole, wholeErr := parseAll(bytes.NewReader(b), maxEventBytes)
		cut, cutErr := parseAll(iotest.OneByteReader(bytes.NewReader(b)), maxEventBytes)
		require.Equal(t, whole, cut)
		require.Equal(t, wholeErr, cutErr)
		for _, v := range whole {
			require.Less(t, len(v), 2*maxEventBytes)
		}
		_, _ = eventOffset(b, "r")
	})
}

// Guards against an output that loses or duplicates a field of the input, or that is
// not valid JSON.
func FuzzStreamingBody(f *testing.F) {
	for _, s := range []string{
		testBody, `{}`, ` { "stream" : false , "a":[1,{"stream":2}] } `, `{"stream":true,"stream_options":{"include_usage":true}}`,
		`{"stream_options":null,"stream":null}`, `{"\u0073tream":false,"b":"\"}"}`, `{"a":1,}`, `[]`, `{"stream":tru`, `{"a"}`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		out, err := streamingBody(b)
		var in map[string]json.RawMessage
		if json.Unmarshal(b, &in) != nil || in == nil {
			return
		}
		require.NoError(t, err)
		var got map[string]json.RawMessage
		require.NoError(t, json.Unmarshal(out, &got), string(out))
		require.Equal(t, "true", string(got["stream"]))
		require.True(t, requestsUsage(got["stream_options"]))
		delete(got, "stream")
		delete(got, "stream_options")
		delete(in, "stream")
		delete(in, "stream_options")
		require.Equal(t, in, got)
	})
}

// Guards against an allocation per event in the parser.
func TestParserDoesNotAllocate(t *testing.T) {
	text := bytes.Repeat([]byte("id: r/1\ndata: {\"choices\":[]}\n\n"), 100)
	p := newParser(nil, 0)
	r := bytes.NewReader(nil)
	p.source = r
	n := testing.AllocsPerRun(100, func() {
		r.Reset(text)
		p.sourceErr = nil
		for p.next() == nil {
		}
	})
	require.Zero(t, n)
}

// Guards against a keep-alive or an incomplete event that is taken for a buffered event,
// which would delay the flush of the events before it.
func TestBuffered(t *testing.T) {
	for text, want := range map[string]bool{
		"": false, ": keep-alive\n\n": false, "id: r/1\ndata: a\n": false, "id: r/1\n\n": false,
		"id: r/1\ndata: a\n\n": true, ": c\n\nid: r/1\r\ndata: a\r\n\r\n": true,
	} {
		p := newParser(bytes.NewReader([]byte("data: first\n\n"+text)), 0)
		require.NoError(t, p.next())
		require.Equal(t, want, p.buffered(), "%q", text)
	}
}
