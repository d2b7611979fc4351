package outlog

import (
	"context"
	"expvar"
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/buffer"
	"go.uber.org/zap/zapcore"

	"github.com/lagoonhead/lagoonhead/ring"
)

const (
	// ringLines is the capacity of the ring in lines. At 500 bytes a line it holds 1 MB.
	ringLines = 2048
	// flushTimeout is the time after the end of Run's context in which queued lines are
	// still taken from the ring and written.
	flushTimeout = 500 * time.Millisecond
)

// Sink queues the lines of its loggers and writes them in the background. Create it with
// New.
type Sink struct {
	out            io.Writer
	ring           *ring.Ring[*buffer.Buffer]
	vars           expvar.Map
	routineDropped expvar.Int // routine lines dropped because the ring was half full
	dropped        expvar.Int // lines dropped because the ring was full
	notWritten     expvar.Int // lines whose write failed
}

// New returns a sink whose Run writes to out.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, ring: ring.New[*buffer.Buffer](ringLines)}
	s.vars.Set("routineLinesDropped", &s.routineDropped)
	s.vars.Set("linesDropped", &s.dropped)
	s.vars.Set("linesNotWritten", &s.notWritten)
	return s
}

// Vars returns the counters of lines that were dropped or could not be written.
func (s *Sink) Vars() *expvar.Map { return &s.vars }

// Logger returns a logger of lines at the given level or above. Lines below the level of
// a warning are routine.
func (s *Sink) Logger(level zapcore.Level) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	c.EncodeDuration = zapcore.MillisDurationEncoder
	return zap.New(&core{LevelEnabler: level, encoder: zapcore.NewJSONEncoder(c), sink: s})
}

// Run writes lines until ctx ends, then the lines still queued, as far as flushTimeout
// allows. It returns nil.
func (s *Sink) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			s.flush()
			return nil
		case b := <-s.ring.C():
			s.write(b)
		}
	}
}

func (s *Sink) flush() {
	timeout := time.After(flushTimeout)
	for {
		select {
		case b := <-s.ring.C():
			s.write(b)
		case <-timeout:
			return
		default:
			return
		}
	}
}

func (s *Sink) write(b *buffer.Buffer) {
	if _, err := s.out.Write(b.Bytes()); err != nil {
		// The error is only counted, as there is no other place to report it.
		s.notWritten.Add(1)
	}
	b.Free()
}

// push queues a line or drops it. Routine lines are dropped when the ring is half full,
// so that the other half is left for warnings and errors.
func (s *Sink) push(b *buffer.Buffer, routine bool) {
	if routine && s.ring.Len() >= ringLines/2 {
		s.routineDropped.Add(1)
		b.Free()
		return
	}
	if !s.ring.Push(b) {
		s.dropped.Add(1)
		b.Free()
	}
}

// core is a zapcore.Core that encodes lines as JSON and queues them in a Sink.
type core struct {
	zapcore.LevelEnabler
	encoder zapcore.Encoder
	sink    *Sink
}

var _ zapcore.Core = (*core)(nil)

// With returns a core that adds the fields to each line.
func (c *core) With(fields []zapcore.Field) zapcore.Core {
	e := c.encoder.Clone()
	for _, f := range fields {
		f.AddTo(e)
	}
	return &core{LevelEnabler: c.LevelEnabler, encoder: e, sink: c.sink}
}

// Check adds the core if lines of the entry's level are logged.
func (c *core) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return ce.AddCore(e, c)
	}
	return ce
}

// Write queues one line.
func (c *core) Write(e zapcore.Entry, fields []zapcore.Field) error {
	b, err := c.encoder.EncodeEntry(e, fields)
	if err != nil {
		return err
	}
	c.sink.push(b, e.Level < zapcore.WarnLevel)
	return nil
}

// Sync does nothing: logging must not wait for the reader of the output.
func (c *core) Sync() error { return nil }
