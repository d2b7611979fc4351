package order

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/lagoonhead/lagoonhead"
)

// Error is the error type of the package.
type Error struct{ lagoonhead.Fault }

func fail(op string, k lagoonhead.Kind, format string, args ...any) error {
	return &Error{lagoonhead.Fault{Op: "order." + op, Kind: k, Err: errors.Newf(format, args...)}}
}

// State is the delivery state of an order.
type State string

// The states of an order.
const (
	// Open means that the order is not settled: it may or may not have reached its target.
	Open State = "open"
	// Confirmed means that the target has accepted the order.
	Confirmed State = "confirmed"
	// Refused means that the target has rejected the order for good.
	Refused State = "refused"
)

// keyPrefix is the prefix of the keys of records in the store.
const keyPrefix = "order/"

// maxReadBacks is how many times a record is read back after a write whose response was
// lost, before the error is KindUnknown.
const maxReadBacks = 3

// body is the stored form of a record.
type body struct {
	Sequence int64           `json:"sequence"`
	Content  json.RawMessage `json:"content"`
	State    State           `json:"state"`
	Epoch    int64           `json:"epoch"`
	Writer   string          `json:"writer"`
	Nonce    string          `json:"nonce"`
}

// Record is an order as recorded in the store.
type Record struct {
	target   string
	body     body
	revision int64
}

// Target returns the identifier of the engine or platform resource that the order is
// for.
func (r Record) Target() string { return r.target }

// Sequence returns the sequence number of the order for its target, which serves as
// fencing number.
func (r Record) Sequence() int64 { return r.body.Sequence }

// Content returns the JSON of the order.
func (r Record) Content() []byte { return r.body.Content }

// State returns the delivery state of the order.
func (r Record) State() State { return r.body.State }

// Authority is the right of this process to send orders, such as a lease.Tenure.
type Authority interface {
	// Epoch returns a number that grows with each holder of the right.
	Epoch() int64
	// Check returns nil while orders may be sent.
	Check() error
}

// Ledger records the orders that are sent under one Authority. It is safe for
// concurrent use if each target is used by one goroutine at a time.
type Ledger struct {
	// Store stores the records.
	Store lagoonhead.Store
	// Authority is checked before orders are listed or recorded. A Send must check it
	// again right before it writes to the target.
	Authority Authority
	// Writer is the name of this process in records.
	Writer string
}

// AdoptOpen returns the open records of all targets that begin with the prefix, after
// rewriting those of other epochs under the epoch of this ledger. A new holder calls it
// before it records its first order.
func (l *Ledger) AdoptOpen(ctx context.Context, prefix string) ([]Record, error) {
	if err := l.Authority.Check(); err != nil {
		return nil, err
	}
	entries, _, err := l.Store.List(ctx, keyPrefix+prefix)
	if err != nil {
		return nil, err
	}
	var open []Record
	for _, e := range entries {
		r, err := decode(e)
		if err != nil {
			return nil, err
		}
		if r.body.State != Open {
			continue
		}
		if r.body.Epoch != l.Authority.Epoch() {
			if r, err = l.write(ctx, r, r.body.State); err != nil {
				return nil, err
			}
		}
		open = append(open, r)
	}
	return open, nil
}

// Record records an order for a target and returns the record to send. If the target
// has an open or confirmed record with the same content, Record returns that one.
// KindConflict means that a different order is still open.
func (l *Ledger) Record(ctx context.Context, target string, content []byte) (Record, error) {
	return l.record(ctx, target, content, false)
}

// RecordOnce is like Record for a target that gets only one order ever. KindConflict
// means that the target already has a different one, or that its order was refused.
func (l *Ledger) RecordOnce(ctx context.Context, target string, content []byte) (Record, error) {
	return l.record(ctx, target, content, true)
}

func (l *Ledger) record(ctx context.Context, target string, content []byte, once bool) (Record, error) {
	if err := l.Authority.Check(); err != nil {
		return Record{}, err
	}
	r, err := l.get(ctx, target)
	if err != nil {
		return Record{}, err
	}
	if err := l.checkEpoch(r); err != nil {
		return Record{}, err
	}
	if r.revision == 0 {
		return l.writeNext(ctx, r, content)
	}
	if r.body.State != Refused && bytes.Equal(r.body.Content, content) {
		return l.adopt(ctx, r)
	}
	if once {
		return Record{}, fail("record", lagoonhead.KindConflict, "target %s already has the only order that it may get", target)
	}
	if r.body.State == Open {
		return Record{}, fail("record", lagoonhead.KindConflict, "order %d for %s is still open", r.body.Sequence, target)
	}
	return l.writeNext(ctx, r, content)
}

// checkEpoch returns a KindStale error if a later holder has written the record.
func (l *Ledger) checkEpoch(r Record) error {
	if r.body.Epoch > l.Authority.Epoch() {
		return fail("record", lagoonhead.KindStale, "order for %s was written in epoch %d, after %d", r.target, r.body.Epoch, l.Authority.Epoch())
	}
	return nil
}

// adopt returns the record, rewritten under the epoch of this ledger if it is open and
// of another epoch.
func (l *Ledger) adopt(ctx context.Context, r Record) (Record, error) {
	if r.body.State != Open || r.body.Epoch == l.Authority.Epoch() {
		return r, nil
	}
	return l.write(ctx, r, Open)
}

// writeNext records the next order of the target.
func (l *Ledger) writeNext(ctx context.Context, r Record, content []byte) (Record, error) {
	r.body.Sequence++
	r.body.Content = content
	return l.write(ctx, r, Open)
}

// Settle marks a record as confirmed or refused. KindConflict means that the record has
// been rewritten since, for example by another holder.
func (l *Ledger) Settle(ctx context.Context, r Record, s State) (Record, error) {
	return l.write(ctx, r, s)
}

// write stores the record under the epoch of this ledger. If the store's response is
// lost, it reads the record back and compares the nonce.
func (l *Ledger) write(ctx context.Context, r Record, s State) (Record, error) {
	r.body.State = s
	r.body.Epoch = l.Authority.Epoch()
	r.body.Writer = l.Writer
	r.body.Nonce = uuid.NewString()
	value, err := json.Marshal(r.body)
	if err != nil {
		return Record{}, fail("write", lagoonhead.KindInvalid, "order for %s: %v", r.target, err)
	}
	rev, err := l.Store.Put(ctx, lagoonhead.PutRequest{Key: keyPrefix + r.target, Value: value, IfRevision: r.revision})
	if lagoonhead.IsKind(err, lagoonhead.KindUnknown) {
		return l.readBack(ctx, r)
	}
	if err != nil {
		return Record{}, err
	}
	r.revision = rev
	return r, nil
}

// readBack determines whether a write with an unknown outcome took effect. It returns
// the stored record if so.
func (l *Ledger) readBack(ctx context.Context, want Record) (Record, error) {
	var err error
	for range maxReadBacks {
		var r Record
		if r, err = l.get(ctx, want.target); err != nil {
			continue
		}
		if r.body.Nonce == want.body.Nonce {
			return r, nil
		}
		return Record{}, fail("write", lagoonhead.KindConflict, "order for %s was written by %s", want.target, r.body.Writer)
	}
	return Record{}, fail("write", lagoonhead.KindUnknown, "order for %s: %v", want.target, err)
}

// get returns the record of a target, with revision 0 when there is none.
func (l *Ledger) get(ctx context.Context, target string) (Record, error) {
	e, err := l.Store.Get(ctx, keyPrefix+target)
	if lagoonhead.IsKind(err, lagoonhead.KindNotFound) {
		return Record{target: target}, nil
	}
	if err != nil {
		return Record{}, err
	}
	return decode(e)
}

func decode(e lagoonhead.Entry) (Record, error) {
	r := Record{target: e.Key[len(keyPrefix):], revision: e.Revision}
	if err := json.Unmarshal(e.Value, &r.body); err != nil {
		return Record{}, fail("decode", lagoonhead.KindInternal, "key %s: %v", e.Key, err)
	}
	return r, nil
}

// HasDifferentOrder reports whether the target has an open or confirmed record with different
// content. If so, a target that gets only one order cannot get this one.
func (l *Ledger) HasDifferentOrder(ctx context.Context, target string, content []byte) (bool, error) {
	r, err := l.get(ctx, target)
	if err != nil {
		return false, err
	}
	return r.revision != 0 && r.body.State != Refused && !bytes.Equal(r.body.Content, content), nil
}
