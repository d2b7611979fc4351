package overload

import (
	"io"
	"os"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/timer"
)

// pipe measures how long a goroutine waits for input that is ready. The Go scheduler runs a
// goroutine whose timer has ended before the others, and polls for input when nothing else is
// left to run, so the delay of a timer does not show a backlog that requests, the store and
// peers wait behind.
type pipe struct {
	timer   timer.Timer
	r, w    *os.File
	arrived chan time.Duration // time since boot at which each byte was read
	failure error              // of reading; it is set before arrived is closed
}

func newPipe(t timer.Timer) (*pipe, error) {
	r, w, err := os.Pipe()
	if err != nil {
		return nil, &Error{Fault: lagoonhead.Fault{Op: "overload.pipe", Kind: lagoonhead.KindUnavailable, Err: err}}
	}
	p := &pipe{timer: t, r: r, w: w, arrived: make(chan time.Duration, 1)}
	go p.read()
	return p, nil
}

// read runs until the pipe is closed.
func (p *pipe) read() {
	b := make([]byte, 1)
	for {
		if _, err := io.ReadFull(p.r, b); err != nil {
			p.failure = err
			close(p.arrived)
			return
		}
		p.arrived <- p.timer.Now()
	}
}

// delay returns the time from a write until a goroutine that waits for it runs.
func (p *pipe) delay() (time.Duration, error) {
	sent := p.timer.Now()
	if _, err := p.w.Write([]byte{0}); err != nil {
		return 0, &Error{Fault: lagoonhead.Fault{Op: "overload.delay", Kind: lagoonhead.KindUnavailable, Err: err}}
	}
	at, ok := <-p.arrived
	if !ok {
		return 0, &Error{Fault: lagoonhead.Fault{Op: "overload.delay", Kind: lagoonhead.KindUnavailable, Err: p.failure}}
	}
	return at - sent, nil
}

func (p *pipe) close() {
	_ = p.w.Close() // ends read, which closes nothing else
	_ = p.r.Close()
}
