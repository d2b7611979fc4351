package outlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLineBytes bounds a line that is read. A longer one is broken.
const maxLineBytes = 1 << 20

// Line is a line of a daemon's log.
type Line struct {
	Time    time.Time
	Level   string
	Message string
	// VM is the daemon that wrote it.
	VM string
	// Fields are the others, as JSON has them.
	Fields map[string]any
}

// Text returns a field that is a string, or "".
func (l *Line) Text(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

// Number returns a field that is a number, or 0.
func (l *Line) Number(name string) float64 {
	n, _ := l.Fields[name].(float64)
	return n
}

// Texts returns a field that is a list of strings.
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

// Read calls f for each line of a log, and returns the number of lines that are broken:
// those with the beginning of an object that cannot be decoded. Text in front of the
// object, such as what a collector of logs adds, is passed over, and so are lines without
// one. The error is that of the reader.
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

// readLine returns the next line; whole is false for the beginning of one that is too
// long.
func readLine(in *bufio.Reader) (line []byte, whole bool, err error) {
	for whole = true; ; {
		part, err := in.ReadSlice('\n')
		if room := maxLineBytes - len(line); len(part) > room {
			part, whole = part[:room], false
		}
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, whole, err
		}
	}
}

// parseLine decodes the object in a line. found tells that there is the beginning of one.
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
