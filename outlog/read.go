package outlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLineBytes is the maximum length of a line. A longer one counts as broken.
const maxLineBytes = 1 << 20

// Line is a line of a daemon's log.
type Line struct {
	Time    time.Time
	Level   string
	Message string
	// VM is the VM whose daemon wrote the line.
	VM string
	// Fields are the other fields, as decoded from JSON.
	Fields map[string]any
}

// Text returns the value of a string field, or "" if there is no such field.
func (l *Line) Text(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

// Number returns the value of a number field, or 0 if there is no such field.
func (l *Line) Number(name string) float64 {
	n, _ := l.Fields[name].(float64)
	return n
}

// Texts returns the strings in a list field.
func (l *Line) Texts(name string) []string {
	list, _ := l.Fields[name].([]any)
	out := make([]string, 0, len(list))
	for _, v := range list {
		if s, ok := v.(string); ok {
			out = append(out, s)
		}
	}
	return out
}

// Read calls f for each line of a log and returns the number of broken lines: those with
// the beginning of a JSON object that cannot be decoded as a Line. Text before the object,
// such as a prefix added by a log collector, is ignored, and so are lines without an
// object. The error is that of the reader.
func Read(r io.Reader, f func(Line)) (broken int, err error) {
	in := bufio.NewReaderSize(r, 64<<10)
	for {
		raw, whole, err := readLine(in)
		if len(raw) > 0 {
			l, found, ok := parseLine(raw)
			switch {
			case !found:
			case ok && whole:
				f(l)
			default:
				broken++
			}
		}
		if errors.Is(err, io.EOF) {
			return broken, nil
		}
		if err != nil {
			return broken, err
		}
	}
}

// readLine returns the next line. If it is longer than maxLineBytes, only its beginning is
// returned and whole is false.
func readLine(in *bufio.Reader) (line []byte, whole bool, err error) {
	for whole = true; ; {
		part, err := in.ReadSlice('\n')
		if limit := maxLineBytes - len(line); len(part) > limit {
			part, whole = part[:limit], false
		}
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, whole, err
		}
	}
}

// parseLine decodes the object in a line. found is true if an object begins in the line,
// and ok if it could be decoded.
func parseLine(raw []byte) (l Line, found, ok bool) {
	i := bytes.IndexByte(raw, '{')
	if i < 0 {
		return l, false, false
	}
	var fields map[string]any
	if json.Unmarshal(bytes.TrimSpace(raw[i:]), &fields) != nil {
		return l, true, false
	}
	l.Fields = fields
	l.Level, l.Message, l.VM = l.Text("level"), l.Text("msg"), l.Text("vm")
	at, err := time.Parse(time.RFC3339Nano, l.Text("ts"))
	if err != nil || l.Message == "" {
		return l, true, false
	}
	l.Time = at
	for _, name := range []string{"level", "msg", "vm", "ts"} {
		delete(fields, name)
	}
	return l, true, true
}
