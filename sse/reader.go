package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

// bufferBytes is the size of the read buffer, which is enough for most events. The lines of
// an event are collected in another buffer, which grows as needed.
const bufferBytes = 2 << 10

// maxKeptBytes is the size up to which the buffer of an event is used again for the next one.
const maxKeptBytes = 64 << 10

// Error is the error type of the package.
type Error struct{ lagoonhead.Fault }

// Event is one event as it was received. It is valid until the next call of Next.
type Event struct {
	// Raw holds the lines of the event, including the empty line that ends it.
	Raw []byte
	// ID is the identifier of the event, or empty.
	ID string
}

// Reader reads events. Create it with NewReader.
type Reader struct {
	in            *bufio.Reader
	maxEventBytes int
	raw           []byte // the event that is being read
}

// NewReader returns a Reader of r that refuses events of more than maxEventBytes bytes.
func NewReader(r io.Reader, maxEventBytes int) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, bufferBytes), maxEventBytes: maxEventBytes}
}

// Ready reports whether Next returns an event without waiting for input. It is false when
// only a part of the next event is buffered, so that a caller which flushes when Ready is
// false does not delay earlier events.
func (r *Reader) Ready() bool {
	b, err := r.in.Peek(r.in.Buffered())
	return err == nil && (bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\n\r\n")))
}

// Next returns the next complete event. The error is io.EOF when the stream ended after
// an event, io.ErrUnexpectedEOF when it ended within one, and has KindInvalid when the
// event is too large.
func (r *Reader) Next() (Event, error) {
	if cap(r.raw) > maxKeptBytes {
		r.raw = nil
	}
	r.raw = r.raw[:0]
	var id string
	for {
		start := len(r.raw)
		if err := r.line(); err != nil {
			return Event{}, r.endError(err)
		}
		line := bytes.TrimRight(r.raw[start:], "\r\n")
		if len(line) == 0 && start > 0 {
			return Event{Raw: r.raw, ID: id}, nil
		}
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(v))
		}
	}
}

// line appends the next line, including its line ending, to r.raw.
func (r *Reader) line() error {
	for {
		part, err := r.in.ReadSlice('\n')
		r.raw = append(r.raw, part...)
		if len(r.raw) > r.maxEventBytes {
			return &Error{lagoonhead.Fault{Op: "sse.next", Kind: lagoonhead.KindInvalid, Err: errors.Newf("event has more than %d bytes", r.maxEventBytes)}}
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// endError returns the error of Next for a read error.
func (r *Reader) endError(err error) error {
	if errors.Is(err, io.EOF) && len(bytes.TrimSpace(r.raw)) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}
