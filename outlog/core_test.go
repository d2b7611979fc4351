package outlog

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Guards against logging that blocks when nothing reads the log, and against warnings that
// are dropped because routine lines have filled the ring.
func TestLoggingNeverBlocks(t *testing.T) {
	r, w := io.Pipe() // nobody reads
	defer r.Close()
	s := New(w)
	log := s.Logger(zapcore.InfoLevel)
	for range 2 * ringLines {
		log.Info("routine")
	}
	require.Equal(t, int64(2*ringLines-ringLines/2), s.routineDropped.Value())
	for range ringLines / 2 {
		log.Warn("failure")
	}
	require.Zero(t, s.dropped.Value(), "the ring has space for warnings")
	log.Warn("one more")
	require.Equal(t, int64(1), s.dropped.Value())
}

// Guards against lines that are not written at the end of the process, and against fields
// that are missing in them.
func TestLinesAreWritten(t *testing.T) {
	var out bytes.Buffer
	s := New(&out)
	log := s.Logger(zapcore.InfoLevel).With(zap.String("vm", "a"))
	log.Debug("not logged")
	log.Info("request served", zap.Int("runs", 1))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, s.Run(ctx))
	all := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, all, 1)
	var line map[string]any
	require.NoError(t, json.Unmarshal([]byte(all[0]), &line))
	require.Equal(t, "request served", line["msg"])
	require.Equal(t, "a", line["vm"])
	require.InDelta(t, 1, line["runs"], 0)
}

func BenchmarkLine(b *testing.B) {
	s := New(io.Discard)
	go func() { _ = s.Run(b.Context()) }() // it never fails
	log := s.Logger(zapcore.InfoLevel)
	b.ReportAllocs()
	for b.Loop() {
		log.Info("request served", zap.String("request", "1"), zap.Int("runs", 1))
	}
}
