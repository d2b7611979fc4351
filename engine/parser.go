package engine

import (
	"bytes"
	"io"
)

const (
	// firstBufferBytes is the first size of the parser's buffer. Most events are a
	// few hundred bytes; the buffer grows when one is larger.
	firstBufferBytes = 2048
	// defaultMaxEventBytes bounds one event.
	defaultMaxEventBytes = 1 << 20
)

var (
	fieldID   = []byte("id")
	fieldData = []byte("data")
)

// parser reads server-sent events. It keeps at most one event and reuses its
// buffers, so that it allocates nothing per event.
type parser struct {
	source io.Reader
	most   int

	buf        []byte
	start, end int
	// failed is the error of source; it is reported once the buffer is used up.
	failed error

	id    []byte
	data  []byte
	hasID bool
	// inEvent is true when a line of an event has been read and its blank line not.
	inEvent bool
}

func newParser(source io.Reader, most int) *parser {
	if most <= 0 {
		most = defaultMaxEventBytes
	}
	return &parser{source: source, most: most, buf: make([]byte, min(firstBufferBytes, most))}
}

// next reads the next event that has data into id and data. It returns the error
// of the source as it is; inEvent then tells whether an event was begun.
func (p *parser) next() error {
	p.id, p.data, p.hasID, p.inEvent = p.id[:0], p.data[:0], false, false
	hasData := false
	for {
		line, err := p.line()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			if hasData {
				p.inEvent = false
				return nil
			}
			if p.hasID {
				return ErrMalformed
			}
			p.inEvent = false
			continue
		}
		if line[0] == ':' {
			continue
		}
		p.inEvent = true
		if hasData, err = p.field(line, hasData); err != nil {
			return err
		}
	}
}

// field takes one line of an event. Fields that the protocol does not use are
// skipped.
func (p *parser) field(line []byte, hasData bool) (bool, error) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	if len(value) > 0 && value[0] == ' ' {
		value = value[1:]
	}
	switch {
	case bytes.Equal(name, fieldID):
		if p.hasID {
			return hasData, ErrMalformed
		}
		p.id, p.hasID = append(p.id, value...), true
	case bytes.Equal(name, fieldData):
		if len(p.data)+len(value) >= p.most {
			return hasData, ErrOversized
		}
		if hasData {
			p.data = append(p.data, '\n')
		}
		p.data = append(p.data, value...)
		hasData = true
	}
	return hasData, nil
}

// line returns the next line without its end. It is valid until the next call.
func (p *parser) line() ([]byte, error) {
	seen := p.start
	for {
		if i := bytes.IndexByte(p.buf[seen:p.end], '\n'); i >= 0 {
			line := p.buf[p.start : seen+i]
			p.start = seen + i + 1
			return bytes.TrimSuffix(line, []byte{'\r'}), nil
		}
		seen = p.end - p.start
		if p.failed != nil {
			p.inEvent = p.inEvent || seen > 0
			return nil, p.failed
		}
		if err := p.fill(); err != nil {
			return nil, err
		}
	}
}

// fill moves the rest of the buffer to its front, grows the buffer when it is
// full, and reads once.
func (p *parser) fill() error {
	if p.start > 0 {
		copy(p.buf, p.buf[p.start:p.end])
		p.start, p.end = 0, p.end-p.start
	}
	if p.end == len(p.buf) {
		if len(p.buf) >= p.most {
			return ErrOversized
		}
		p.buf = append(p.buf, make([]byte, min(len(p.buf), p.most-len(p.buf)))...)
	}
	n, err := p.source.Read(p.buf[p.end:])
	p.end += n
	p.failed = err
	return nil
}

// eventOffset checks an event id, `<request id>/<offset>`, against the request and
// returns the offset.
func eventOffset(id []byte, request string) (int64, error) {
	slash := bytes.LastIndexByte(id, '/')
	if slash < 0 {
		return 0, ErrMalformed
	}
	if string(id[:slash]) != request {
		return 0, ErrWrongRequest
	}
	return parseOffset(id[slash+1:])
}

// maxOffsetDigits keeps an offset below the largest int64.
const maxOffsetDigits = 18

func parseOffset(b []byte) (int64, error) {
	if len(b) == 0 || len(b) > maxOffsetDigits || (b[0] == '0' && len(b) > 1) {
		return 0, ErrMalformed
	}
	var n int64
	for _, d := range b {
		if d < '0' || d > '9' {
			return 0, ErrMalformed
		}
		n = n*10 + int64(d-'0')
	}
	return n, nil
}

// buffered reports whether the buffer holds a whole event with data, so that next
// will not wait. Comments do not count: keep-alives may be all that is there.
func (p *parser) buffered() bool {
	b := p.buf[p.start:p.end]
	hasData := false
	for {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			return false
		}
		line := bytes.TrimSuffix(b[:i], []byte{'\r'})
		if len(line) == 0 && hasData {
			return true
		}
		hasData = hasData || bytes.HasPrefix(line, fieldData)
		b = b[i+1:]
	}
}
