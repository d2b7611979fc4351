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
	// commitTimeout bounds one commit with its repeats.
	commitTimeout = 10 * time.Second
	// retryInterval is the time before a store call is repeated.
	retryInterval = 100 * time.Millisecond
	// rebases is how often an edit of the newest revision is made again after another
	// commit came first.
	rebases = 8
)

// NoRevision as the revision of an edit means that there must be no configuration
// yet.
const NoRevision int64 = -1

// Edit returns a changed inventory. It must not change the one that it is given; it
// may be called again when another commit came first.
type Edit func(inv *inventory.Inventory) (*inventory.Inventory, error)

// Committer changes the configuration. Set the exported fields before use. It is
// safe for concurrent use.
type Committer struct {
	Store lagoonhead.Store
	// Runner takes what was committed and knows the VM list.
	Runner *Runner
	Peers  Peers
	Timer  timer.Timer

	vars expvar.Map
}

// Vars returns the counters: committed, conflicts, unknown, repeated, accepted,
// notAccepted and partsLeft.
func (c *Committer) Vars() *expvar.Map { return &c.vars }

// base is the revision that an edit is made on. The manifest is nil before the first
// revision.
type base struct {
	manifest  *inventory.Manifest
	inventory *inventory.Inventory
	// at is the store's revision of the manifest.
	at int64
}

func (b base) revision() int64 {
	if b.manifest == nil {
		return 0
	}
	return b.manifest.Revision
}

// Commit makes an edit of the given revision, of the newest one when that is 0, or
// of none when that is NoRevision, and returns the new revision; an edit that changes nothing returns the one that it
// was made on. An error of KindConflict has a *Conflict as its cause, one of
// KindInvalid lists the faults of the inventory, and one of KindUnknown means that
// the edit may have been committed.
func (c *Committer) Commit(ctx context.Context, on int64, edit Edit) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	for try := 0; ; try++ {
		revision, err := c.commitOnce(ctx, on, edit)
		if on == 0 && try < rebases && lagoonhead.IsKind(err, lagoonhead.KindConflict) {
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

func conflict(on, current int64) error {
	return fail("commit", lagoonhead.KindConflict, &Conflict{Base: on, Current: current})
}

func (c *Committer) commitOnce(ctx context.Context, on int64, edit Edit) (int64, error) {
	b, err := c.load(ctx)
	if err != nil {
		return 0, err
	}
	if on != 0 && max(on, 0) != b.revision() {
		return 0, conflict(max(on, 0), b.revision())
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

// load reads the newest revision with its parts.
func (c *Committer) load(ctx context.Context) (base, error) {
	raw, at, _, err := c.Runner.readManifest(ctx)
	if err != nil {
		return base{}, err
	}
	held := c.Runner.heldBundle()
	if raw == nil && held != nil {
		err := fmt.Errorf("the store has no configuration, but revision %d exists", held.manifest.Revision)
		return base{}, fail("load", lagoonhead.KindUnavailable, err)
	}
	if raw == nil {
		return base{inventory: &inventory.Inventory{}}, nil
	}
	m, err := inventory.DecodeManifest(raw)
	if err != nil {
		return base{}, fail("load", lagoonhead.KindOf(err), err)
	}
	if held != nil && m.Revision < held.manifest.Revision {
		err := fmt.Errorf("the store answered with revision %d, older than %d", m.Revision, held.manifest.Revision)
		return base{}, fail("load", lagoonhead.KindUnavailable, err)
	}
	if held != nil && m.Nonce == held.manifest.Nonce {
		return base{manifest: m, inventory: held.inventory, at: at}, nil
	}
	bodies, err := c.Runner.fetchParts(ctx, m, held)
	if err != nil {
		return base{}, err
	}
	inv, err := inventory.Join(m, func(h string) ([]byte, bool) { return findBody(h, bodies, held) })
	if err != nil {
		return base{}, fail("load", lagoonhead.KindOf(err), err)
	}
	return base{manifest: m, inventory: inv, at: at}, nil
}

// write stores the parts and then the manifest, and takes the new revision.
func (c *Committer) write(ctx context.Context, b base, inv *inventory.Inventory) (int64, error) {
	m, parts, err := inventory.Split(inv, b.manifest, string(c.Runner.Self), nonce())
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
		c.remove(ctx, names(parts))
		return 0, err
	}
	if err := c.putManifest(ctx, b, m, raw); err != nil {
		if !lagoonhead.IsKind(err, lagoonhead.KindUnknown) {
			c.remove(ctx, names(parts))
		}
		return 0, err
	}
	bodies := make(map[string][]byte, len(parts))
	for _, p := range parts {
		bodies[p.Hash] = p.Body
	}
	// The daemon takes its own commit at once, and its first revision needs a
	// confirmation. A failure here is made good by the next read or pull.
	_ = c.Runner.take(raw, bodies)
	_, _ = c.Runner.readStore(ctx)
	c.remove(ctx, m.Deletable())
	return m.Revision, nil
}

// nonce returns 128 random bits. They identify a commit after a lost answer.
func nonce() string {
	u := uuid.New()
	return hex.EncodeToString(u[:])
}

func names(parts []inventory.Part) []string {
	out := make([]string, len(parts))
	for i, p := range parts {
		out[i] = p.Hash
	}
	return out
}

// putParts writes the parts. Their names are unique to this commit, so a part that
// exists was written by an earlier try whose answer was lost.
func (c *Committer) putParts(ctx context.Context, parts []inventory.Part) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(fetches)
	for _, p := range parts {
		g.Go(func() error { return c.putPart(ctx, p) })
	}
	return g.Wait()
}

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

func (c *Committer) put(ctx context.Context, r lagoonhead.PutRequest) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return c.Store.Put(ctx, r)
}

// putManifest writes the manifest by compare-and-swap. After a lost answer or a
// conflict it reads back whether the commit or another one took effect; while
// neither shows, the write is repeated, which is safe since it has the same
// condition.
func (c *Committer) putManifest(ctx context.Context, b base, m *inventory.Manifest, raw []byte) error {
	sent := false
	for {
		_, err := c.put(ctx, lagoonhead.PutRequest{Key: ManifestKey, Value: raw, IfRevision: b.at})
		if err == nil {
			return nil
		}
		sent = sent || !withoutEffect(err)
		if !sent {
			return fail("commit", lagoonhead.KindOf(err), err)
		}
		decided, result := c.readBack(ctx, b, m)
		if decided {
			return result
		}
		if c.Timer.Sleep(ctx, retryInterval) != nil {
			return fail("commit", lagoonhead.KindUnknown,
				errors.New("the store did not tell whether the configuration was written"))
		}
	}
}

// withoutEffect reports whether the store certainly did nothing. A conflict can be
// the answer to a repeat of a write that took effect.
func withoutEffect(err error) bool {
	switch lagoonhead.KindOf(err) {
	case lagoonhead.KindUnavailable, lagoonhead.KindTimeout, lagoonhead.KindInvalid, lagoonhead.KindExhausted,
		lagoonhead.KindUnauthenticated, lagoonhead.KindForbidden:
		return true
	default:
		return false
	}
}

// readBack reads whether the commit took effect. decided is false when the store
// gives no answer, or still has the revision before the commit.
func (c *Committer) readBack(ctx context.Context, b base, m *inventory.Manifest) (decided bool, err error) {
	raw, _, _, err := c.Runner.readManifest(ctx)
	if err != nil || raw == nil {
		return false, nil
	}
	now, err := inventory.DecodeManifest(raw)
	if err != nil || now.Revision <= b.revision() {
		return false, nil
	}
	done, known := now.Committed(m.Nonce, b.revision())
	switch {
	case done:
		return true, nil
	case known:
		return true, conflict(b.revision(), now.Revision)
	default:
		err := fmt.Errorf("revision %d no longer tells what became of an edit of revision %d", now.Revision, b.revision())
		return true, fail("commit", lagoonhead.KindUnknown, err)
	}
}

// remove deletes parts that no manifest names. A part that cannot be deleted stays
// and is counted.
func (c *Committer) remove(ctx context.Context, hashes []string) {
	for _, h := range hashes {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		err := c.Store.Delete(ctx, PartPrefix+h, lagoonhead.AnyRevision)
		cancel()
		if err != nil && !lagoonhead.IsKind(err, lagoonhead.KindNotFound) {
			c.vars.Add("partsLeft", 1)
		}
	}
}
