package httplimit

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newWriter returns the two ends of a connection with small buffers, and the writer of the first.
func newWriter(t *testing.T, c *Connections) (writer, reader net.Conn) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { inner.Close() })
	reader, err = net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { reader.Close() })
	require.NoError(t, reader.(*net.TCPConn).SetReadBuffer(4<<10))
	writer, err = c.Listen(inner).Accept()
	require.NoError(t, err)
	t.Cleanup(func() { writer.Close() })
	require.NoError(t, writer.(*limitedConn).Conn.(*net.TCPConn).SetWriteBuffer(64<<10))
	return writer, reader
}

func unlimited() *Connections {
	return New(Limits{}, func() bool { return false }, nil)
}

// Guards against answers that are held for ever for a caller that does not read.
func TestWritesToACallerThatDoesNotReadFail(t *testing.T) {
	c := unlimited()
	writer, _ := newWriter(t, c)
	_, err := writer.Write(make([]byte, 4<<20))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.EqualValues(t, 1, c.unread.Value())
}

// Guards against a slow caller that is taken for one that does not read, although a write takes longer
// than the time without progress.
func TestWritesToASlowCallerGoOn(t *testing.T) {
	t.Parallel()
	c := unlimited()
	writer, reader := newWriter(t, c)
	const size = 512 << 10
	written := make(chan error, 1)
	go func() {
		_, err := writer.Write(make([]byte, size))
		written <- err
	}()
	total := 0
	for end := time.Now().Add((maxStalledChecks + 2) * writeCheck); time.Now().Before(end); time.Sleep(writeCheck / 2) {
		n, err := io.ReadFull(reader, make([]byte, 16<<10))
		require.NoError(t, err)
		total += n
	}
	require.NoError(t, reader.(*net.TCPConn).SetReadBuffer(size))
	_, err := io.ReadFull(reader, make([]byte, size-total))
	require.NoError(t, err)
	require.NoError(t, <-written)
	require.Zero(t, c.unread.Value())
}

// Guards against a write that goes on although the memory of the answer is needed.
func TestInterruptedWritesFail(t *testing.T) {
	writer, _ := newWriter(t, unlimited())
	time.AfterFunc(50*time.Millisecond, func() { _ = writer.SetWriteDeadline(time.Unix(1, 0)) })
	began := time.Now()
	_, err := writer.Write(make([]byte, 4<<20))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.Less(t, time.Since(began), maxStalledChecks*writeCheck)
	_, err = writer.Write([]byte("x"))
	require.Error(t, err)
}

// Guards against connections and buffers that alone could take the memory, and against bounds that
// keep ordinary callers of the smallest VM out.
func TestConnectionsAreBoundedByMemory(t *testing.T) {
	for _, v := range []struct{ megabytes, descriptors, least int }{{144, 3075, 1000}, {284, 3075, 1500}, {64, 3075, 400}, {8, 0, minConnections}} {
		bytes := int64(v.megabytes) << 20
		c := New(Limits{MemoryBytes: bytes, Descriptors: v.descriptors}, nil, nil)
		require.GreaterOrEqual(t, c.most, int64(v.least))
		require.GreaterOrEqual(t, c.receiveBytes, minReceiveBytes)
		require.Less(t, c.crowdedFrom, c.most)
		if v.megabytes > 8 {
			require.LessOrEqual(t, c.most*int64(connectionBytes+c.receiveBytes/2), bytes*2/5)
			require.LessOrEqual(t, int64(c.queue*c.receiveBytes), bytes/10)
		}
	}
}
