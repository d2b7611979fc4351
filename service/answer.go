package service

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

// answerBody is the body of a response. It limits the length and ends the placement
// when it is closed.
type answerBody struct {
	body      io.ReadCloser
	remaining int64 // bytes up to the limit
	placement lagoonhead.Placement
	failed    bool
	once      sync.Once
}

// Read returns an error of KindInternal when the body is longer than the limit, and
// one of KindUnknown when the connection fails.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return b.readPastLimit(p)
	}
	if int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.body.Read(p)
	b.remaining -= int64(n)
	if err != nil && !errors.Is(err, io.EOF) {
		b.failed = true
		err = fault("service.read", lagoonhead.KindUnknown, err)
	}
	return n, err
}

// readPastLimit reads one byte beyond the limit, to tell a body that ends there from
// one that is too long.
func (b *answerBody) readPastLimit(p []byte) (int, error) {
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

// Close closes the body and, at the first call, ends the placement.
func (b *answerBody) Close() error {
	err := b.body.Close()
	b.once.Do(func() {
		b.placement.Done(lagoonhead.Outcome{Failed: b.failed, Kind: lagoonhead.KindUnknown})
	})
	return err
}
