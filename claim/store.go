package claim

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

// maxTries bounds the tries of one write, which follow each other at once. What
// remains open after them is left to the ring of late writes.
const maxTries = 3

// put writes r if the key has the given revision. KindConflict means that another
// record is there, KindUnavailable that the write has not taken effect and never
// will, and KindUnknown that it may have, or may do so later.
func (k *Keeper) put(ctx context.Context, key string, r record, ifRevision int64) (int64, error) {
	const op = "claim.put"
	req := lagoonhead.PutRequest{Key: key, Value: r.encode(), IfRevision: ifRevision}
	open := false // a former try may have taken effect
	var last error
	for range maxTries {
		rev, err := k.Store.Put(ctx, req)
		if err == nil {
			return rev, nil
		}
		last = err
		switch lagoonhead.KindOf(err) {
		case lagoonhead.KindUnavailable, lagoonhead.KindTimeout:
			if !open {
				return 0, fault(op, lagoonhead.KindUnavailable, err)
			}
			continue
		case lagoonhead.KindConflict:
		default:
			open = true
		}
		rev, settled, err := k.readBack(ctx, key, r, ifRevision)
		if settled {
			return rev, err
		}
	}
	return 0, fault(op, lagoonhead.KindUnknown, last)
}

// readBack tells by the nonce whether the write of r took effect. settled is false
// while the key is still as it was before the write, or cannot be read.
func (k *Keeper) readBack(ctx context.Context, key string, r record, before int64) (rev int64, settled bool, err error) {
	v, err := k.get(ctx, key)
	if lagoonhead.IsKind(err, lagoonhead.KindUnknown) {
		return 0, true, fault("claim.put", lagoonhead.KindConflict, err)
	}
	if err != nil {
		return 0, false, err
	}
	if v.Nonce == r.Nonce {
		k.vars.readBack.Add(1)
		return v.revision, true, nil
	}
	if v.revision == before {
		return 0, false, nil
	}
	return 0, true, fault("claim.put", lagoonhead.KindConflict, errors.New("the claim was changed by another holder"))
}

// get reads a claim. KindUnknown means that its record cannot be understood.
func (k *Keeper) get(ctx context.Context, key string) (version, error) {
	e, err := k.Store.Get(ctx, key)
	if err != nil {
		return version{}, fault("claim.get", lagoonhead.KindOf(err), err)
	}
	v, err := parse(e)
	if err != nil {
		return version{}, fault("claim.get", lagoonhead.KindUnknown, err)
	}
	return v, nil
}
