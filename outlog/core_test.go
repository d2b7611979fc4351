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

// Guards against a daemon that waits for the reader of its log, and against warnings that
// are lost to routine lines.
func TestAStuckReaderBlocksNobody(t *testing.T) {
	r, w := io.Pipe() // nobody reads
	defer r.Close()
	s := New(w)
	log := s.Logger(zapcore.InfoLevel)
	for range 2 * lines {
		log.Info("routine")
	}
	require.Equal(t, int64(2*lines-lines/2), s.routed.Value())
	for range lines / 2 {
		log.Warn("failure")
	}
	require.Zero(t, s.lost.Value(), "warnings had room")
	log.Warn("one more")
	require.Equal(t, int64(1), s.lost.Value())
}

// Guards against lines that are lost at the end of the process, and against fields that are
// not in them.
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
