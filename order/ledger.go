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

// State is how far an order has come.
type State string

// The states of an order.
const (
	// Open means that the order may or may not have reached its target.
	Open State = "open"
	// Confirmed means that the target has taken the order.
	Confirmed State = "confirmed"
	// Refused means that the target has answered that it will not take the order.
	Refused State = "refused"
)

// keyPrefix is where records are kept in the store.
const keyPrefix = "order/"

// maxReadBack is how often a lost answer is read back before the outcome stays
// unknown.
const maxReadBack = 3

// body is the stored form of a record.
type body struct {
	Sequence int64           `json:"sequence"`
	Content  json.RawMessage `json:"content"`
	State    State           `json:"state"`
	Epoch    int64           `json:"epoch"`
	Writer   string          `json:"writer"`
	Nonce    string          `json:"nonce"`
}

// Record is an order as the store has it.
type Record struct {
	target   string
	body     body
	revision int64
}

// Target returns what the order is for.
func (r Record) Target() string { return r.target }

// Sequence returns the fencing number.
func (r Record) Sequence() int64 { return r.body.Sequence }

// Content returns the JSON of the order.
func (r Record) Content() []byte { return r.body.Content }

// State returns how far the order has come.
func (r Record) State() State { return r.body.State }

// Authority is the right to give orders, such as a lease.Tenure.
type Authority interface {
	// Epoch returns the number of the tenure.
	Epoch() int64
	// Check returns nil while orders may be sent.
	Check() error
}

// Ledger records orders of one duty. It is safe for concurrent use on different
// targets.
type Ledger struct {
	// Store keeps the records.
	Store lagoonhead.Store
	// Authority is checked before each write and must be checked again right before
	// each send.
	Authority Authority
	// Writer names this process in records.
	Writer string
}

// Open returns the records under a prefix that are open, after rewriting each one
// under the epoch of this ledger. A new holder calls it before its first order.
func (l *Ledger) Open(ctx context.Context, prefix string) ([]Record, error) {
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

// Record records an order for a target and returns the record to send. The same
// content as an open or confirmed record returns that record. KindConflict means
// that a different order is still open.
func (l *Ledger) Record(ctx context.Context, target string, content []byte) (Record, error) {
	return l.record(ctx, target, content, false)
}

// RecordOnce records the only order that a target ever gets. KindConflict means
// that it already has a different one.
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
	if err := l.newer(r); err != nil {
		return Record{}, err
	}
	if r.revision == 0 {
		return l.next(ctx, r, content)
	}
	if r.body.State != Refused && bytes.Equal(r.body.Content, content) {
		return l.adopt(ctx, r)
	}
	if once {
		return Record{}, fail("record", lagoonhead.KindConflict, "target %s already has its only order", target)
	}
	if r.body.State == Open {
		return Record{}, fail("record", lagoonhead.KindConflict, "order %d for %s is not settled", r.body.Sequence, target)
	}
	return l.next(ctx, r, content)
}

// newer refuses a record that a later holder has written.
func (l *Ledger) newer(r Record) error {
	if r.body.Epoch > l.Authority.Epoch() {
		return fail("record", lagoonhead.KindStale, "order for %s was written in epoch %d, after %d", r.target, r.body.Epoch, l.Authority.Epoch())
	}
	return nil
}

func (l *Ledger) adopt(ctx context.Context, r Record) (Record, error) {
	if r.body.State != Open || r.body.Epoch == l.Authority.Epoch() {
		return r, nil
	}
	return l.write(ctx, r, Open)
}

func (l *Ledger) next(ctx context.Context, r Record, content []byte) (Record, error) {
	r.body.Sequence++
	r.body.Content = content
	return l.write(ctx, r, Open)
}

// Settle marks a record as confirmed or refused. KindConflict means that another
// holder has the record now.
func (l *Ledger) Settle(ctx context.Context, r Record, s State) (Record, error) {
	return l.write(ctx, r, s)
}

// write stores the record under the epoch of this ledger. After a lost answer it
// reads the record back and compares the nonce.
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

func (l *Ledger) readBack(ctx context.Context, want Record) (Record, error) {
	var err error
	for range maxReadBack {
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

// Differs reports whether the target has a record with other content that is not
// refused. It tells whether a write-once target has had its only order.
func (l *Ledger) Differs(ctx context.Context, target string, content []byte) (bool, error) {
	r, err := l.get(ctx, target)
	if err != nil {
		return false, err
	}
	return r.revision != 0 && r.body.State != Refused && !bytes.Equal(r.body.Content, content), nil
}
