package config

import (
	"context"
	"encoding/hex"
	"errors"
	"expvar"
	"fmt"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/inventory"
	"github.com/lagoonhead/lagoonhead/timer"
)

const (
	// commitTimeout bounds one commit, retries included.
	commitTimeout = 10 * time.Second
	// retryInterval is the pause before a store call is retried.
	retryInterval = 100 * time.Millisecond
	// maxRebases bounds how often an edit of the newest revision is redone on a newer
	// one after a conflict with another commit.
	maxRebases = 8
)

// NoRevision as the base revision of an edit requires that no configuration exists
// yet.
const NoRevision int64 = -1

// Edit returns a changed copy of an inventory. It must not modify its argument, and
// it may be called again, with a newer inventory, after a conflict with another
// commit.
type Edit func(inv *inventory.Inventory) (*inventory.Inventory, error)

// Committer commits new revisions of the configuration. Set the exported fields
// before use. It is safe for concurrent use.
type Committer struct {
	Store lagoonhead.Store
	// Runner puts committed revisions in force on this daemon and provides the VM list.
	Runner *Runner
	Peers  Peers
	Timer  timer.Timer

	vars expvar.Map
}

// Vars returns the counters: committed, conflicts, unknown (outcome of the write not
// known), repeated (edits redone after a conflict), accepted, notAccepted and
// partsLeft (unused parts that could not be deleted).
func (c *Committer) Vars() *expvar.Map { return &c.vars }

// base is the revision that an edit is made on. The manifest is nil if there is no
// revision yet.
type base struct {
	manifest  *inventory.Manifest
	inventory *inventory.Inventory
	// storeRevision is the revision that the store gave to the manifest's key.
	storeRevision int64
}

func (b base) revision() int64 {
	if b.manifest == nil {
		return 0
	}
	return b.manifest.Revision
}

// Commit applies an edit to the configuration and returns the new revision, or the
// base revision if the edit changes nothing. The base revision must be the newest one;
// 0 stands for the newest one, whichever that is, and NoRevision requires that no
// configuration exists yet. An error of KindConflict has a *Conflict as its cause, one of
// KindInvalid lists the faults of the inventory, and one of KindUnknown means that
// the edit may have been committed.
func (c *Committer) Commit(ctx context.Context, baseRevision int64, edit Edit) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	for attempt := 0; ; attempt++ {
		revision, err := c.commitOnce(ctx, baseRevision, edit)
		if baseRevision == 0 && attempt < maxRebases && lagoonhead.IsKind(err, lagoonhead.KindConflict) {
			c.vars.Add("repeated", 1)
			continue
		}
		switch {
		case err == nil:
			c.vars.Add("committed", 1)
		case lagoonhead.IsKind(err, lagoonhead.KindConflict):
			c.vars.Add("conflicts", 1)
		case lagoonhead.IsKind(err, lagoonhead.KindUnknown):
			c.vars.Add("unknown", 1)
		}
		return revision, err
	}
}

// conflict returns the error of an edit whose base is not the newest revision.
func conflict(baseRevision, current int64) error {
	return fail("commit", lagoonhead.KindConflict, &Conflict{Base: baseRevision, Current: current})
}

// commitOnce tries a commit without redoing the edit after a conflict.
func (c *Committer) commitOnce(ctx context.Context, baseRevision int64, edit Edit) (int64, error) {
	b, err := c.load(ctx)
	if err != nil {
		return 0, err
	}
	if baseRevision != 0 && max(baseRevision, 0) != b.revision() {
		return 0, conflict(max(baseRevision, 0), b.revision())
	}
	inv, err := edit(b.inventory)
	if err != nil {
		return 0, fail("commit", lagoonhead.KindOf(err), err)
	}
	if err := inventory.Validate(inv); err != nil {
		return 0, fail("commit", lagoonhead.KindOf(err), err)
	}
	if b.manifest != nil && len(inventory.Diff(b.inventory, inv.Normalize())) == 0 {
		return b.revision(), nil
	}
	return c.write(ctx, b, inv)
}

// load reads the newest revision from the store, except for the parts that this daemon
// has already.
func (c *Committer) load(ctx context.Context) (base, error) {
	raw, storeRevision, _, err := c.Runner.readManifest(ctx)
	if err != nil {
		return base{}, err
	}
	local := c.Runner.localBundle()
	if raw == nil && local != nil {
		err := fmt.Errorf("the store has no configuration, although revision %d was committed", local.manifest.Revision)
		return base{}, fail("load", lagoonhead.KindUnavailable, err)
	}
	if raw == nil {
		return base{inventory: &inventory.Inventory{}}, nil
	}
	m, err := inventory.DecodeManifest(raw)
	if err != nil {
		return base{}, fail("load", lagoonhead.KindOf(err), err)
	}
	if local != nil && m.Revision < local.manifest.Revision {
		err := fmt.Errorf("the store returned revision %d, which is older than the known revision %d", m.Revision, local.manifest.Revision)
		return base{}, fail("load", lagoonhead.KindUnavailable, err)
	}
	if local != nil && m.Nonce == local.manifest.Nonce {
		return base{manifest: m, inventory: local.inventory, storeRevision: storeRevision}, nil
	}
	bodies, err := c.Runner.fetchParts(ctx, m, local)
	if err != nil {
		return base{}, err
	}
	inv, err := inventory.Join(m, func(h string) ([]byte, bool) { return findBody(h, bodies, local) })
	if err != nil {
		return base{}, fail("load", lagoonhead.KindOf(err), err)
	}
	return base{manifest: m, inventory: inv, storeRevision: storeRevision}, nil
}

// write stores the parts and then the manifest, installs the new revision on this
// daemon and deletes parts that are no longer used.
func (c *Committer) write(ctx context.Context, b base, inv *inventory.Inventory) (int64, error) {
	m, parts, err := inventory.Split(inv, b.manifest, string(c.Runner.Self), newNonce())
	if err != nil {
		return 0, fail("commit", lagoonhead.KindOf(err), err)
	}
	raw, err := m.Encode()
	if err != nil {
		return 0, fail("commit", lagoonhead.KindOf(err), err)
	}
	if len(raw) > lagoonhead.MaxValueBytes {
		err := fmt.Errorf("the manifest has %d bytes, more than %d", len(raw), lagoonhead.MaxValueBytes)
		return 0, fail("commit", lagoonhead.KindExhausted, err)
	}
	if err := c.putParts(ctx, parts); err != nil {
		c.deleteParts(ctx, partHashes(parts))
		return 0, err
	}
	if err := c.putManifest(ctx, b, m, raw); err != nil {
		if !lagoonhead.IsKind(err, lagoonhead.KindUnknown) {
			c.deleteParts(ctx, partHashes(parts))
		}
		return 0, err
	}
	bodies := make(map[string][]byte, len(parts))
	for _, p := range parts {
		bodies[p.Hash] = p.Body
	}
	// Install the commit on this daemon at once. The read of the store is the
	// confirmation that a daemon's first revision needs. After an error here the next
	// read or pull installs the revision.
	_ = c.Runner.install(raw, bodies)
	_, _ = c.Runner.readStore(ctx)
	c.deleteParts(ctx, m.Deletable())
	return m.Revision, nil
}

// newNonce returns a random UUID, which has 122 random bits, in hexadecimal. It
// identifies a commit when the manifest is read back after a lost answer.
func newNonce() string {
	u := uuid.New()
	return hex.EncodeToString(u[:])
}

func partHashes(parts []inventory.Part) []string {
	out := make([]string, len(parts))
	for i, p := range parts {
		out[i] = p.Hash
	}
	return out
}

// putParts writes the parts in parallel. Their keys are unique to this commit, so a
// key that exists already was written by an earlier attempt whose answer was lost.
func (c *Committer) putParts(ctx context.Context, parts []inventory.Part) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxFetches)
	for _, p := range parts {
		g.Go(func() error { return c.putPart(ctx, p) })
	}
	return g.Wait()
}

// putPart writes one part and retries while the outcome is not known.
func (c *Committer) putPart(ctx context.Context, p inventory.Part) error {
	for {
		_, err := c.put(ctx, lagoonhead.PutRequest{Key: PartPrefix + p.Hash, Value: p.Body})
		switch {
		case err == nil || lagoonhead.IsKind(err, lagoonhead.KindConflict):
			return nil
		case !lagoonhead.IsKind(err, lagoonhead.KindUnknown):
			return fail("putPart", lagoonhead.KindOf(err), err)
		}
		if c.Timer.Sleep(ctx, retryInterval) != nil {
			return fail("putPart", lagoonhead.KindUnavailable, err)
		}
	}
}

// put makes one call to the store, bounded by storeTimeout.
func (c *Committer) put(ctx context.Context, r lagoonhead.PutRequest) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return c.Store.Put(ctx, r)
}

// putManifest writes the manifest by compare-and-swap. After a lost answer or a
// conflict it reads the manifest back to learn whether this commit or another one
// took effect. While the store shows neither, it retries the write, which is safe
// since the compare-and-swap condition is the same.
func (c *Committer) putManifest(ctx context.Context, b base, m *inventory.Manifest, raw []byte) error {
	mayHaveWritten := false
	for {
		_, err := c.put(ctx, lagoonhead.PutRequest{Key: ManifestKey, Value: raw, IfRevision: b.storeRevision})
		if err == nil {
			return nil
		}
		mayHaveWritten = mayHaveWritten || !hadNoEffect(err)
		if !mayHaveWritten {
			return fail("commit", lagoonhead.KindOf(err), err)
		}
		decided, result := c.readBack(ctx, b, m)
		if decided {
			return result
		}
		if c.Timer.Sleep(ctx, retryInterval) != nil {
			return fail("commit", lagoonhead.KindUnknown,
				errors.New("it is not known whether the store wrote the configuration"))
		}
	}
}

// hadNoEffect reports whether a write that failed with err certainly changed nothing
// in the store. That excludes conflicts: a retry conflicts with an earlier attempt
// that took effect.
func hadNoEffect(err error) bool {
	switch lagoonhead.KindOf(err) {
	case lagoonhead.KindUnavailable, lagoonhead.KindTimeout, lagoonhead.KindInvalid, lagoonhead.KindExhausted,
		lagoonhead.KindUnauthenticated, lagoonhead.KindForbidden:
		return true
	default:
		return false
	}
}

// readBack reads the manifest to find out whether the commit took effect. decided is
// false when the read fails, or still returns the base revision or an older one. If
// decided is true, err is the result of the commit.
func (c *Committer) readBack(ctx context.Context, b base, m *inventory.Manifest) (decided bool, err error) {
	raw, _, _, err := c.Runner.readManifest(ctx)
	if err != nil || raw == nil {
		return false, nil
	}
	current, err := inventory.DecodeManifest(raw)
	if err != nil || current.Revision <= b.revision() {
		return false, nil
	}
	committed, known := current.Committed(m.Nonce, b.revision())
	switch {
	case committed:
		return true, nil
	case known:
		return true, conflict(b.revision(), current.Revision)
	default:
		err := fmt.Errorf("the history in revision %d no longer shows whether an edit of revision %d was committed", current.Revision, b.revision())
		return true, fail("commit", lagoonhead.KindUnknown, err)
	}
}

// deleteParts deletes parts that no manifest refers to. Parts that cannot be deleted
// stay in the store and are counted.
func (c *Committer) deleteParts(ctx context.Context, hashes []string) {
	for _, h := range hashes {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		err := c.Store.Delete(ctx, PartPrefix+h, lagoonhead.AnyRevision)
		cancel()
		if err != nil && !lagoonhead.IsKind(err, lagoonhead.KindNotFound) {
			c.vars.Add("partsLeft", 1)
		}
	}
}
