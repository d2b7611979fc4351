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
	// lines is the number of lines that wait. At 500 bytes a line the ring holds 1 MB.
	lines = 2048
	// flushTimeout bounds the writing of what waits at the end of the process.
	flushTimeout = 500 * time.Millisecond
)

// Sink takes the lines of a logger and writes them in the background. Create it with New.
type Sink struct {
	out    io.Writer
	ring   *ring.Ring[*buffer.Buffer]
	vars   expvar.Map
	routed expvar.Int
	lost   expvar.Int
	failed expvar.Int
}

// New returns a sink that writes to out once Run runs.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, ring: ring.New[*buffer.Buffer](lines)}
	s.vars.Set("routineLinesDropped", &s.routed)
	s.vars.Set("linesDropped", &s.lost)
	s.vars.Set("linesNotWritten", &s.failed)
	return s
}

// Vars returns the counters of lines that were dropped or could not be written.
func (s *Sink) Vars() *expvar.Map { return &s.vars }

// Logger returns a logger of lines at the level or above. Lines below a warning are
// routine.
func (s *Sink) Logger(level zapcore.Level) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	c.EncodeDuration = zapcore.MillisDurationEncoder
	return zap.New(&core{LevelEnabler: level, encoder: zapcore.NewJSONEncoder(c), sink: s})
}

// Run writes lines until ctx ends, then what still waits, for a short time at most.
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
	end := time.After(flushTimeout)
	for {
		select {
		case b := <-s.ring.C():
			s.write(b)
		case <-end:
			return
		default:
			return
		}
	}
}

func (s *Sink) write(b *buffer.Buffer) {
	if _, err := s.out.Write(b.Bytes()); err != nil {
		// There is no other place to tell of it.
		s.failed.Add(1)
	}
	b.Free()
}

// push queues a line. Routine lines leave half of the ring to the others.
func (s *Sink) push(b *buffer.Buffer, routine bool) {
	if routine && s.ring.Len() >= lines/2 {
		s.routed.Add(1)
		b.Free()
		return
	}
	if !s.ring.Push(b) {
		s.lost.Add(1)
		b.Free()
	}
}

// core encodes lines for a Sink.
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

// Check adds the core when the level is logged.
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

// Sync does nothing: a line never waits for its reader.
func (c *core) Sync() error { return nil }
