package engine

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

var (
	errNotObject = errors.New("the body is not a JSON object")
	streamTrue   = []byte(`true`)
	usageTrue    = []byte(`{"include_usage":true}`)
)

// sentBody is a request body that lets go of its bytes once they are read. A
// prompt of 100,000 tokens would otherwise be held twice while its answer runs.
type sentBody struct{ left []byte }

// Read reads the next bytes.
func (b *sentBody) Read(p []byte) (int, error) {
	if len(b.left) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.left)
	if b.left = b.left[n:]; len(b.left) == 0 {
		b.left = nil
	}
	return n, nil
}

// Close does nothing: net/http may call it while another goroutine still reads.
func (b *sentBody) Close() error { return nil }

// setStreamingBody sets the body of a completion. net/http asks for the body
// again only when it found a kept connection closed before a byte was written.
func setStreamingBody(r *http.Request, body []byte) error {
	b, err := streamingBody(body)
	if err != nil {
		return err
	}
	r.Body, r.ContentLength = &sentBody{left: b}, int64(len(b))
	r.GetBody = func() (io.ReadCloser, error) {
		b, err := streamingBody(body)
		return &sentBody{left: b}, err
	}
	return nil
}

// span is a part of a body.
type span struct{ from, to int }

// streamingBody returns the completion's body with stream set and usage asked
// for, whatever the caller chose: the relay collects an answer that is not to be
// streamed, and the usage is counted in either case. Only the top level is read;
// decoding a prompt of 100,000 tokens would take longer than the relay may add.
func streamingBody(body []byte) ([]byte, error) {
	var stream, options span
	end, err := eachField(body, func(key []byte, v span) {
		switch string(key) {
		case "stream":
			stream = v
		case "stream_options":
			options = v
		}
	})
	if err != nil {
		return nil, err
	}
	streamed := stream.to > 0 && bytes.Equal(body[stream.from:stream.to], streamTrue)
	if streamed && options.to > 0 && asksUsage(body[options.from:options.to]) {
		return body, nil
	}
	out := make([]byte, 0, len(body)+len(`,"stream":true,"stream_options":{"include_usage":true}`))
	out = splice(out, body[:end], stream, streamTrue, options, usageTrue)
	if stream.to == 0 {
		out = appendField(out, "stream", streamTrue)
	}
	if options.to == 0 {
		out = appendField(out, "stream_options", usageTrue)
	}
	return append(out, body[end:]...), nil
}

func asksUsage(options []byte) bool {
	var o struct {
		IncludeUsage bool `json:"include_usage"`
	}
	return json.Unmarshal(options, &o) == nil && o.IncludeUsage
}

// splice appends body with the spans a and b, where they are not empty, replaced.
func splice(out, body []byte, a span, av []byte, b span, bv []byte) []byte {
	if b.from < a.from {
		a, av, b, bv = b, bv, a, av
	}
	at := 0
	if a.to > 0 {
		out = append(append(out, body[:a.from]...), av...)
		at = a.to
	}
	if b.to > 0 {
		out = append(append(out, body[at:b.from]...), bv...)
		at = b.to
	}
	return append(out, body[at:]...)
}

func appendField(out []byte, key string, v []byte) []byte {
	if t := bytes.TrimRight(out, " \t\r\n"); t[len(t)-1] != '{' {
		out = append(out, ',')
	}
	out = append(out, '"')
	out = append(append(out, key...), '"', ':')
	return append(out, v...)
}

// eachField calls f with the unquoted key and the value's span of each field of
// the object at the top level, and returns the position of its closing brace. It
// checks only as much of the syntax as it needs to find the fields.
func eachField(b []byte, f func(key []byte, v span)) (end int, err error) {
	i := skipSpace(b, 0)
	if i >= len(b) || b[i] != '{' {
		return 0, errNotObject
	}
	i = skipSpace(b, i+1)
	for i < len(b) && b[i] != '}' {
		from := i
		if i = skipString(b, i); i < 0 {
			return 0, errNotObject
		}
		key := unquote(b[from:i])
		if i = skipSpace(b, i); i >= len(b) || b[i] != ':' {
			return 0, errNotObject
		}
		from = skipSpace(b, i+1)
		if i = skipValue(b, from); i <= from {
			return 0, errNotObject
		}
		f(key, span{from, i})
		if i = skipSpace(b, i); i < len(b) && b[i] == ',' {
			i = skipSpace(b, i+1)
		}
	}
	if i >= len(b) || skipSpace(b, i+1) != len(b) {
		return 0, errNotObject
	}
	return i, nil
}

func unquote(quoted []byte) []byte {
	if bytes.IndexByte(quoted, '\\') < 0 {
		return quoted[1 : len(quoted)-1]
	}
	var s string
	if json.Unmarshal(quoted, &s) != nil {
		return nil
	}
	return []byte(s)
}

func skipSpace(b []byte, i int) int {
	for i < len(b) && (b[i] == ' ' || b[i] == '\t' || b[i] == '\r' || b[i] == '\n') {
		i++
	}
	return i
}

// skipString returns the position after the string at i, or -1.
func skipString(b []byte, i int) int {
	if i >= len(b) || b[i] != '"' {
		return -1
	}
	for i++; i < len(b); i++ {
		switch b[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return -1
}

// skipValue returns the position after the value at i, or -1.
func skipValue(b []byte, i int) int {
	depth := 0
	for i >= 0 && i < len(b) {
		switch b[i] {
		case '"':
			if i = skipString(b, i); depth == 0 || i < 0 {
				return i
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 {
				return i
			}
			if depth--; depth == 0 {
				return i + 1
			}
		case ',', ' ', '\t', '\r', '\n':
			if depth == 0 {
				return i
			}
		}
		i++
	}
	return -1
}
