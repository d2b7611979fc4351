package engine

import (
	"bytes"
	"io"
)

const (
	// firstBufferBytes is the initial size of the parser's buffer. Most events have a
	// few hundred bytes; the buffer grows for a larger one.
	firstBufferBytes = 2048
	// defaultMaxEventBytes bounds one event.
	defaultMaxEventBytes = 1 << 20
)

var (
	fieldID   = []byte("id")
	fieldData = []byte("data")
)

// parser parses server-sent events. It stores at most one event and reuses its buffers
// to avoid an allocation per event.
type parser struct {
	source        io.Reader
	maxEventBytes int

	// buf[start:end] has been read from source and not been parsed.
	buf        []byte
	start, end int
	// sourceErr is the error of the last read from source; it is returned once all lines
	// in the buffer have been parsed.
	sourceErr error

	id    []byte
	data  []byte
	hasID bool
	// inEvent is true between the first line of an event and its closing blank line.
	inEvent bool
}

// newParser returns a parser of source. If maxEventBytes is not positive, the default is
// used.
func newParser(source io.Reader, maxEventBytes int) *parser {
	if maxEventBytes <= 0 {
		maxEventBytes = defaultMaxEventBytes
	}
	return &parser{source: source, maxEventBytes: maxEventBytes, buf: make([]byte, min(firstBufferBytes, maxEventBytes))}
}

// next parses the next event that has data and sets p.id and p.data. It returns an
// error of the source unwrapped; inEvent then reports whether the source ended within
// an event.
func (p *parser) next() error {
	p.id, p.data, p.hasID, p.inEvent = p.id[:0], p.data[:0], false, false
	hasData := false
	for {
		line, err := p.readLine()
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
		if hasData, err = p.parseField(line, hasData); err != nil {
			return err
		}
	}
}

// parseField parses one line of an event and reports whether the event has data so far.
// Fields that the engine protocol does not use are skipped.
func (p *parser) parseField(line []byte, hasData bool) (bool, error) {
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
		if len(p.data)+len(value) >= p.maxEventBytes {
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

// readLine returns the next line without its line ending. It is valid until the next
// call.
func (p *parser) readLine() ([]byte, error) {
	scanned := p.start
	for {
		if i := bytes.IndexByte(p.buf[scanned:p.end], '\n'); i >= 0 {
			line := p.buf[p.start : scanned+i]
			p.start = scanned + i + 1
			return bytes.TrimSuffix(line, []byte{'\r'}), nil
		}
		scanned = p.end - p.start
		if p.sourceErr != nil {
			p.inEvent = p.inEvent || scanned > 0
			return nil, p.sourceErr
		}
		if err := p.fill(); err != nil {
			return nil, err
		}
	}
}

// fill moves the unparsed bytes to the front of the buffer, grows the buffer if it is
// full, and reads once from the source.
func (p *parser) fill() error {
	if p.start > 0 {
		copy(p.buf, p.buf[p.start:p.end])
		p.start, p.end = 0, p.end-p.start
	}
	if p.end == len(p.buf) {
		if len(p.buf) >= p.maxEventBytes {
			return ErrOversized
		}
		p.buf = append(p.buf, make([]byte, min(len(p.buf), p.maxEventBytes-len(p.buf)))...)
	}
	n, err := p.source.Read(p.buf[p.end:])
	p.end += n
	p.sourceErr = err
	return nil
}

// eventOffset returns the offset of an event id of the form `<request id>/<offset>`, and
// an error if the id has another form or belongs to another request.
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

// maxOffsetDigits keeps an offset below math.MaxInt64.
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

// buffered reports whether the buffer contains a complete event with data, so that next
// will not block. Comments, which are keep-alives, are not events.
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
