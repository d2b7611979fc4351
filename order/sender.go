package order

import (
	"context"

	"github.com/lagoonhead/lagoonhead"
)

// Send sends a recorded order to its target. It must check the authority right before
// it writes to the target.
type Send func(ctx context.Context, r Record) error

// Deliver records an order with the content for the target, sends it and settles the
// record. If once is true, the order is recorded as by RecordOnce. A nil error means
// that the target has accepted the order. If send fails with KindExhausted or
// KindInvalid, the target has refused the order for good; after any other error of
// send the record stays open and the call can be retried.
//
// An order that is already confirmed is not sent again, because it could reach the
// target after a later order.
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

// Resend sends an open record and settles it as Deliver does.
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
