package config

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/inventory"
)

// readLoop reads the store periodically if this daemon is a watcher, or if it gets no
// recent confirmation from peers.
func (r *Runner) readLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		if !r.shouldRead() {
			_ = r.Timer.Sleep(ctx, idleInterval)
			continue
		}
		storeRevision, err := r.readStore(ctx)
		if err == nil && r.isWatcher() {
			r.awaitChange(ctx, storeRevision)
			continue
		}
		_ = r.Timer.Sleep(ctx, fallbackInterval)
	}
	return ctx.Err()
}

func (r *Runner) isWatcher() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.watcher
}

// shouldRead reports whether this daemon is a watcher, or has no confirmation by the
// store that is recent enough.
func (r *Runner) shouldRead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	age := r.view.ConfirmationAge(r.Timer.Now())
	return r.watcher || age < 0 || age > fallbackAge
}

// awaitChange waits until the manifest has a store revision after the given one, for
// at most watchTimeout.
func (r *Runner) awaitChange(ctx context.Context, storeRevision int64) {
	began := r.Timer.Now()
	watch, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	events, _, err := r.Store.Watch(watch, ManifestKey, storeRevision)
	if err == nil && len(events) > 0 {
		return
	}
	// Sleep for the rest of the time, so that a watch that ends early without a change
	// does not cause a busy loop.
	if rest := watchTimeout - (r.Timer.Now() - began); rest > 0 {
		_ = r.Timer.Sleep(ctx, rest)
	}
}

// readStore reads the manifest from the store. If its revision is newer than the local
// one, readStore also reads the missing parts and installs the revision. It returns the
// revision that the store gave to the manifest's key.
func (r *Runner) readStore(ctx context.Context) (storeRevision int64, err error) {
	raw, storeRevision, sent, err := r.readManifest(ctx)
	if err != nil {
		r.vars.Add("storeFailed", 1)
		return 0, err
	}
	r.vars.Add("storeRead", 1)
	revision := int64(0)
	var m *inventory.Manifest
	if raw != nil {
		if m, err = inventory.DecodeManifest(raw); err != nil {
			r.vars.Add("damaged", 1)
			return 0, fail("readStore", lagoonhead.KindInvalid, err)
		}
		revision = m.Revision
	}
	plausible := false
	r.update(func(v *View, now time.Duration) { plausible = v.RecordStoreAnswer(now, sent, revision) })
	if !plausible {
		r.vars.Add("storeStale", 1)
		return 0, fail("readStore", lagoonhead.KindStale, fmt.Errorf("the store returned revision %d, which is older than the known one", revision))
	}
	local := r.localBundle()
	if m == nil || (local != nil && m.Revision <= local.manifest.Revision) {
		return storeRevision, nil
	}
	bodies, err := r.fetchParts(ctx, m, local)
	if err != nil {
		return 0, err
	}
	return storeRevision, r.install(raw, bodies)
}

// readManifest returns the stored manifest, or nil if there is none, with the store
// revision of its key and the time at which the read was sent.
func (r *Runner) readManifest(ctx context.Context) (raw []byte, storeRevision int64, sent time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sent = r.Timer.Now()
	e, err := r.Store.Get(ctx, ManifestKey)
	switch {
	case err == nil:
		return e.Value, e.Revision, sent, nil
	case lagoonhead.IsKind(err, lagoonhead.KindNotFound):
		return nil, 0, sent, nil
	default:
		return nil, 0, sent, fail("readManifest", lagoonhead.KindOf(err), err)
	}
}

// fetchParts reads from the store the parts of m that the local revision does not have.
func (r *Runner) fetchParts(ctx context.Context, m *inventory.Manifest, local *bundle) (map[string][]byte, error) {
	var mu sync.Mutex
	bodies := make(map[string][]byte)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxFetches)
	for _, ref := range m.Parts {
		if _, ok := findBody(ref.Hash, nil, local); ok {
			continue
		}
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, storeTimeout)
			defer cancel()
			e, err := r.Store.Get(ctx, PartPrefix+ref.Hash)
			if err != nil {
				return fail("fetchParts", lagoonhead.KindOf(err), err)
			}
			mu.Lock()
			defer mu.Unlock()
			bodies[ref.Hash] = e.Value
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	return bodies, nil
}
