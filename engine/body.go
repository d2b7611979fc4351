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

// releasingBody is a request body that drops its reference to the bytes once they have
// been sent. Otherwise two copies of a prompt of 100,000 tokens would stay in memory
// until its response is complete.
type releasingBody struct{ unread []byte }

// Read implements io.Reader.
func (b *releasingBody) Read(p []byte) (int, error) {
	if len(b.unread) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.unread)
	if b.unread = b.unread[n:]; len(b.unread) == 0 {
		b.unread = nil
	}
	return n, nil
}

// Close does nothing; net/http calls it when the request has been written.
func (b *releasingBody) Close() error { return nil }

// setStreamingBody sets the body of a completion request.
func setStreamingBody(r *http.Request, body []byte) error {
	b, err := streamingBody(body)
	if err != nil {
		return err
	}
	r.Body, r.ContentLength = &releasingBody{unread: b}, int64(len(b))
	return nil
}

// byteRange is the part of a body from index from up to, but not including, to. It is
// missing if to is 0.
type byteRange struct{ from, to int }

// streamingBody returns the completion's body with stream and
// stream_options.include_usage set to true, whatever the caller chose: package relay
// builds a non-streamed response from the events, and the usage is recorded in either
// case. Only the top level is parsed, because decoding a prompt of 100,000 tokens would
// add too much latency.
func streamingBody(body []byte) ([]byte, error) {
	var stream, options byteRange
	end, err := eachField(body, func(key []byte, v byteRange) {
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
	if streamed && options.to > 0 && requestsUsage(body[options.from:options.to]) {
		return body, nil
	}
	out := make([]byte, 0, len(body)+len(`,"stream":true,"stream_options":{"include_usage":true}`))
	out = replaceRanges(out, body[:end], stream, streamTrue, options, usageTrue)
	if stream.to == 0 {
		out = appendField(out, "stream", streamTrue)
	}
	if options.to == 0 {
		out = appendField(out, "stream_options", usageTrue)
	}
	return append(out, body[end:]...), nil
}

func requestsUsage(options []byte) bool {
	var o struct {
		IncludeUsage bool `json:"include_usage"`
	}
	return json.Unmarshal(options, &o) == nil && o.IncludeUsage
}

// replaceRanges appends body to out, with the range a replaced by av and the range b by
// bv. A missing range is not replaced.
func replaceRanges(out, body []byte, a byteRange, av []byte, b byteRange, bv []byte) []byte {
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

// appendField appends a field to the unclosed object in out.
func appendField(out []byte, key string, v []byte) []byte {
	if t := bytes.TrimRight(out, " \t\r\n"); t[len(t)-1] != '{' {
		out = append(out, ',')
	}
	out = append(out, '"')
	out = append(append(out, key...), '"', ':')
	return append(out, v...)
}

// eachField calls f with the unquoted key and the byte range of the value for each
// field of the top-level object, and returns the index of its closing brace. It checks
// the syntax only as far as needed to find the fields.
func eachField(b []byte, f func(key []byte, v byteRange)) (end int, err error) {
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
		f(key, byteRange{from, i})
		if i = skipSpace(b, i); i < len(b) && b[i] == ',' {
			i = skipSpace(b, i+1)
		}
	}
	if i >= len(b) || skipSpace(b, i+1) != len(b) {
		return 0, errNotObject
	}
	return i, nil
}

// unquote returns the text of a JSON string, or nil if it is malformed.
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

// skipString returns the index after the string at i, or -1.
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

// skipValue returns the index after the value at i, or -1.
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
