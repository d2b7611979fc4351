package bodybudget

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/timer"
)

func source(r io.Reader, length int64) Source {
	return Source{Reader: r, Length: length, Limit: 4 * mib, Group: "a", Timeout: time.Minute, SetDeadline: func(time.Time) error { return nil }}
}

// Guards against bodies that change while they are read in parts, and against bytes that are counted
// after the end of their request.
func TestBodiesAreReadWhole(t *testing.T) {
	b := New(12*mib, &timer.System{}, nil)
	for _, size := range []int{0, 1, minSegment, minSegment + 1, 70_000, mib, 4*mib - 1, 4 * mib} {
		want := bytes.Repeat([]byte("0123456789abcdef"), size/16+1)[:size]
		for _, length := range []int64{int64(size), -1} {
			v, err := b.Read(t.Context(), source(iotest.HalfReader(bytes.NewReader(want)), length))
			require.NoError(t, err)
			require.True(t, bytes.Equal(want, v.Bytes()), "%d %d", size, length)
			if size > 0 && length > 0 {
				require.EqualValues(t, size, b.ledger.held)
			}
			v.End()
			require.Zero(t, b.ledger.held)
		}
	}
}

// Guards against bodies over the limit that are read, or that are taken for a lack of memory.
func TestBodiesOverTheLimit(t *testing.T) {
	b := New(12*mib, &timer.System{}, nil)
	for _, length := range []int64{4*mib + 1, -1} {
		_, err := b.Read(t.Context(), source(strings.NewReader(strings.Repeat("x", 4*mib+1)), length))
		require.True(t, IsTooLarge(err))
		require.Zero(t, b.ledger.held)
	}
}

// Guards against a body that ends early and is taken for a whole one.
func TestABodyThatEndsEarly(t *testing.T) {
	b := New(12*mib, &timer.System{}, nil)
	_, err := b.Read(t.Context(), source(strings.NewReader("short"), 10))
	require.True(t, lagoonhead.IsKind(err, lagoonhead.KindInvalid))
	require.Zero(t, b.ledger.held)
}

// Guards against a body that stands still and is not interrupted when another one needs its bytes.
func TestAStalledBodyIsInterrupted(t *testing.T) {
	b := New(8*mib, &timer.System{}, nil)
	client, server := net.Pipe()
	defer client.Close()
	failed := make(chan error, 1)
	go func() {
		s := source(server, 4*mib)
		s.SetDeadline = server.SetReadDeadline
		_, err := b.Read(t.Context(), s)
		failed <- err
	}()
	_, err := client.Write([]byte("x"))
	require.NoError(t, err)
	time.Sleep(stalledAfter)
	v, err := b.Read(t.Context(), source(bytes.NewReader(make([]byte, 3*mib)), 3*mib))
	require.NoError(t, err)
	defer v.End()
	var e *Error
	require.ErrorAs(t, <-failed, &e)
	require.Equal(t, lagoonhead.KindUnavailable, e.Kind)
	require.Positive(t, e.RetryAfter())
	require.EqualValues(t, 1, b.revoked.Value())
}

// Guards against a body that never ends although nobody else needs its bytes.
func TestABodyHasADeadline(t *testing.T) {
	b := New(8*mib, &timer.System{}, nil)
	client, server := net.Pipe()
	defer client.Close()
	s := source(server, 100)
	s.Timeout, s.SetDeadline = 10*time.Millisecond, server.SetReadDeadline
	_, err := b.Read(t.Context(), s)
	require.True(t, lagoonhead.IsKind(err, lagoonhead.KindTimeout))
	require.EqualValues(t, 1, b.late.Value())
}

// Guards against connections that are held by bodies without progress while connections are scarce.
func TestStalledBodiesAreSwept(t *testing.T) {
	m := &timer.Manual{}
	b := New(8*mib, m, nil)
	crowded := false
	b.Crowded = func() bool { return crowded }
	client, server := net.Pipe()
	defer client.Close()
	failed := make(chan error, 1)
	go func() {
		s := source(server, 100)
		s.SetDeadline = server.SetReadDeadline
		_, err := b.Read(t.Context(), s)
		failed <- err
	}()
	_, err := client.Write([]byte("x"))
	require.NoError(t, err)
	b.sweep(2 * sweptAfter)
	require.Zero(t, b.swept.Value())
	crowded = true
	b.sweep(2 * sweptAfter)
	require.True(t, lagoonhead.IsKind(<-failed, lagoonhead.KindUnavailable))
	require.EqualValues(t, 1, b.swept.Value())
}

// Guards against an answer whose caller does not read and that keeps others from being read, and
// against one that is ended although it makes progress.
func TestAnAnswerThatIsNotReadYields(t *testing.T) {
	b := NewForAnswers(12*mib, &timer.System{}, nil)
	read := func() *Body {
		s := source(bytes.NewReader(make([]byte, 4*mib)), 4*mib)
		s.Parts = true
		v, err := b.Read(t.Context(), s)
		require.NoError(t, err)
		return v
	}
	unread, slow := read(), read()
	interrupted, ended := make(chan struct{}), make(chan error, 2)
	go func() {
		ended <- unread.Deliver(func([]byte) error { <-interrupted; return io.ErrClosedPipe }, func() { close(interrupted) })
		unread.End()
	}()
	go func() {
		ended <- slow.Deliver(func([]byte) error { time.Sleep(20 * time.Millisecond); return nil }, func() { t.Error("interrupted") })
		slow.End()
	}()
	v := read() // waits for the bytes of the one that is not read
	defer v.End()
	require.ErrorIs(t, <-ended, io.ErrClosedPipe)
	require.NoError(t, <-ended)
	require.EqualValues(t, 1, b.revoked.Value())
	require.Zero(t, b.refused.Value())
}
