package claim

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

// maxPutTries bounds the tries of one write, which follow each other without a delay.
// A write whose effect is still unknown after them becomes a late write.
const maxPutTries = 3

// put writes r if the key has the given revision. KindConflict means that the key has
// another record, KindUnavailable that the write has not taken effect and never will,
// and KindUnknown that it may have taken effect or may do so later.
func (k *Keeper) put(ctx context.Context, key string, r record, ifRevision int64) (int64, error) {
	const op = "claim.put"
	req := lagoonhead.PutRequest{Key: key, Value: r.encode(), IfRevision: ifRevision}
	maybeApplied := false // an earlier try may have taken effect or may do so later
	var last error
	for range maxPutTries {
		rev, err := k.Store.Put(ctx, req)
		if err == nil {
			return rev, nil
		}
		last = err
		switch lagoonhead.KindOf(err) {
		case lagoonhead.KindUnavailable, lagoonhead.KindTimeout:
			if !maybeApplied {
				return 0, fault(op, lagoonhead.KindUnavailable, err)
			}
			continue
		case lagoonhead.KindConflict:
		default:
			maybeApplied = true
		}
		rev, settled, err := k.readBack(ctx, key, r, ifRevision)
		if settled {
			return rev, err
		}
	}
	return 0, fault(op, lagoonhead.KindUnknown, last)
}

// readBack reads the claim and compares the nonce of its last write with that of r, to
// find out whether the write of r took effect. settled is false if the key still has its
// revision from before the write, or cannot be read.
func (k *Keeper) readBack(ctx context.Context, key string, r record, before int64) (rev int64, settled bool, err error) {
	v, err := k.get(ctx, key)
	if lagoonhead.IsKind(err, lagoonhead.KindUnknown) {
		return 0, true, fault("claim.put", lagoonhead.KindConflict, err)
	}
	if err != nil {
		return 0, false, err
	}
	if v.Nonce == r.Nonce {
		k.counters.readBack.Add(1)
		return v.revision, true, nil
	}
	if v.revision == before {
		return 0, false, nil
	}
	return 0, true, fault("claim.put", lagoonhead.KindConflict, errors.New("the claim was changed by another holder"))
}

// get reads a claim. KindUnknown means that its record cannot be decoded.
func (k *Keeper) get(ctx context.Context, key string) (storedRecord, error) {
	e, err := k.Store.Get(ctx, key)
	if err != nil {
		return storedRecord{}, fault("claim.get", lagoonhead.KindOf(err), err)
	}
	v, err := parse(e)
	if err != nil {
		return storedRecord{}, fault("claim.get", lagoonhead.KindUnknown, err)
	}
	return v, nil
}
