package order

import (
	"context"

	"github.com/lagoonhead/lagoonhead"
)

// Send delivers a recorded order to its target. It must check the authority right
// before it writes.
type Send func(ctx context.Context, r Record) error

// Deliver records content for target, sends it and settles the record. A nil error
// means that the target has the order. KindExhausted and KindInvalid mean that the
// target refused it for good; any other error leaves the record open, and the same
// call may be repeated.
//
// An order that is confirmed already is not sent again: it would reach the target
// behind the back of a later one.
func (l *Ledger) Deliver(ctx context.Context, target string, content []byte, once bool, send Send) error {
	r, err := l.record(ctx, target, content, once)
	if err != nil {
		return err
	}
	if r.State() == Confirmed {
		return nil
	}
	return l.Resend(ctx, r, send)
}

// Resend sends an open record and settles it.
func (l *Ledger) Resend(ctx context.Context, r Record, send Send) error {
	sendErr := send(ctx, r)
	s := Confirmed
	switch {
	case sendErr == nil:
	case lagoonhead.IsKind(sendErr, lagoonhead.KindExhausted), lagoonhead.IsKind(sendErr, lagoonhead.KindInvalid):
		s = Refused
	default:
		return sendErr
	}
	if _, err := l.Settle(ctx, r, s); err != nil && sendErr == nil {
		return err
	}
	return sendErr
}
