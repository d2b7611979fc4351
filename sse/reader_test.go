package sse

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
)

// readAll returns the events until the first error, with a limit of 64 bytes an event.
func readAll(t *testing.T, in io.Reader) (raws, ids []string, err error) {
	t.Helper()
	r := NewReader(in, 64)
	for {
		e, err := r.Next()
		if err != nil {
			return raws, ids, err
		}
		raws, ids = append(raws, string(e.Raw)), append(ids, e.ID)
	}
}

// Guards against events with changed bytes, and against a partial event that is returned as
// a complete one.
func TestNext(t *testing.T) {
	for _, c := range []struct {
		name, in string
		raws     []string
		ids      []string
		err      error
	}{
		{"whole events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, []string{"1", "2"}, io.EOF},
		{"carriage returns", "id:7\r\ndata: a\r\n\r\n", []string{"id:7\r\ndata: a\r\n\r\n"}, []string{"7"}, io.EOF},
		{"no identifier", "data: a\n\n", []string{"data: a\n\n"}, []string{""}, io.EOF},
		{"ends within an event", "id: 1\ndata: a\n\nid: 2\nda", []string{"id: 1\ndata: a\n\n"}, []string{"1"}, io.ErrUnexpectedEOF},
		{"ends before the empty line", "id: 1\ndata: a\n", nil, nil, io.ErrUnexpectedEOF},
		{"empty", "", nil, nil, io.EOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, in := range []io.Reader{strings.NewReader(c.in), iotest.OneByteReader(strings.NewReader(c.in))} {
				raws, ids, err := readAll(t, in)
				require.ErrorIs(t, err, c.err)
				require.Equal(t, c.raws, raws)
				require.Equal(t, c.ids, ids)
			}
		})
	}
}

// Guards against an endpoint that exhausts the memory with one large event.
func TestTooLarge(t *testing.T) {
	_, _, err := readAll(t, strings.NewReader("data: "+strings.Repeat("x", 100)+"\n\n"))
	var e *Error
	require.True(t, errors.As(err, &e))
	require.Equal(t, lagoonhead.KindInvalid, e.Kind)
}

// Guards against a delay of an event because a part of the next one is buffered.
func TestReady(t *testing.T) {
	for rest, want := range map[string]bool{"": false, "id: 2\nda": false, "id: 2\n": false, "id: 2\n\n": true, "id: 2\r\n\r\n": true} {
		r := NewReader(strings.NewReader("id: 1\n\n"+rest), 64)
		_, err := r.Next()
		require.NoError(t, err)
		require.Equal(t, want, r.Ready(), "%q", rest)
	}
}

// Checks that for any input the returned events, joined, are a prefix of it.
func FuzzNext(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n")
	f.Add("\n\n\n")
	f.Fuzz(func(t *testing.T, in string) {
		raws, _, _ := readAll(t, strings.NewReader(in))
		require.True(t, strings.HasPrefix(in, strings.Join(raws, "")))
	})
}
