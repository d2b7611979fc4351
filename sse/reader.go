package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

// bufferBytes holds a usual event; a larger one grows its own buffer.
const bufferBytes = 2 << 10

// Error is the error type of the package.
type Error struct{ lagoonhead.Fault }

// Event is one event as it came. It is valid until the next call of Next.
type Event struct {
	// Raw holds the lines of the event with the empty line that ends it.
	Raw []byte
	// ID is the identifier of the event, or empty.
	ID string
}

// Reader reads events. Create it with NewReader.
type Reader struct {
	in   *bufio.Reader
	most int
	raw  []byte
}

// NewReader returns a Reader of r that refuses events of more than most bytes.
func NewReader(r io.Reader, most int) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, bufferBytes), most: most}
}

// Ready reports whether the next event is there without waiting. A part of one does not
// count: what was read before it must not wait for the rest.
func (r *Reader) Ready() bool {
	b, err := r.in.Peek(r.in.Buffered())
	return err == nil && (bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\n\r\n")))
}

// Next returns the next whole event. io.EOF means that the stream ended behind an
// event; a stream that ends inside of one is an io.ErrUnexpectedEOF. An event that is
// too large is an error of KindInvalid.
func (r *Reader) Next() (Event, error) {
	r.raw = r.raw[:0]
	var id string
	for {
		begin := len(r.raw)
		if err := r.line(); err != nil {
			return Event{}, r.ended(err)
		}
		line := bytes.TrimRight(r.raw[begin:], "\r\n")
		if len(line) == 0 && begin > 0 {
			return Event{Raw: r.raw, ID: id}, nil
		}
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(v))
		}
	}
}

// line appends the next line with its end to r.raw.
func (r *Reader) line() error {
	for {
		part, err := r.in.ReadSlice('\n')
		r.raw = append(r.raw, part...)
		if len(r.raw) > r.most {
			return &Error{lagoonhead.Fault{Op: "sse.next", Kind: lagoonhead.KindInvalid, Err: errors.Newf("event has more than %d bytes", r.most)}}
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

func (r *Reader) ended(err error) error {
	if errors.Is(err, io.EOF) && len(bytes.TrimSpace(r.raw)) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}
