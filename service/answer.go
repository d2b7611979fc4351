package service

import (
	"io"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

// answerBody reads an answer up to a limit and ends the placement when it is
// closed.
type answerBody struct {
	body      io.ReadCloser
	left      int64
	placement lagoonhead.Placement
	failed    bool
	once      sync.Once
}

// Read returns an error of KindInternal behind the limit, and one of KindUnknown
// when the connection breaks.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return b.overrun(p)
	}
	if int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.body.Read(p)
	b.left -= int64(n)
	if err != nil && !errors.Is(err, io.EOF) {
		b.failed = true
		err = fault("service.read", lagoonhead.KindUnknown, err)
	}
	return n, err
}

// overrun reads one byte more to tell a full answer from one that is too long.
func (b *answerBody) overrun(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	n, err := b.body.Read(p[:1])
	if n == 0 {
		return 0, err
	}
	b.failed = true
	return 0, fault("service.read", lagoonhead.KindInternal, errors.New("answer is larger than the limit"))
}

// Close closes the answer and ends the placement.
func (b *answerBody) Close() error {
	err := b.body.Close()
	b.once.Do(func() {
		b.placement.Done(lagoonhead.Outcome{Failed: b.failed, Kind: lagoonhead.KindUnknown})
	})
	return err
}

// isClosed reports whether the peer closed or reset the connection.
func isClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
