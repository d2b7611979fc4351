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

// readLoop reads the store regularly at the watchers, and at any daemon to which no
// confirmation comes from elsewhere.
func (r *Runner) readLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		if !r.shouldRead() {
			_ = r.Timer.Sleep(ctx, idleInterval)
			continue
		}
		at, err := r.readStore(ctx)
		if err == nil && r.isWatcher() {
			r.awaitChange(ctx, at)
			continue
		}
		_ = r.Timer.Sleep(ctx, fallbackInterval)
	}
	return ctx.Err()
}

func (r *Runner) isWatcher() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.watch
}

func (r *Runner) shouldRead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	age := r.view.ProofAge(r.Timer.Now())
	return r.watch || age < 0 || age > fallbackAge
}

// awaitChange waits until the manifest changes after the store's revision at, at
// most watchTime.
func (r *Runner) awaitChange(ctx context.Context, at int64) {
	began := r.Timer.Now()
	watch, cancel := context.WithTimeout(ctx, watchTime)
	defer cancel()
	events, _, err := r.Store.Watch(watch, ManifestKey, at)
	if err == nil && len(events) > 0 {
		return
	}
	// A watch that ends early without a change must not make a busy loop.
	if rest := watchTime - (r.Timer.Now() - began); rest > 0 {
		_ = r.Timer.Sleep(ctx, rest)
	}
}

// readStore reads the manifest and the parts that are not at hand, and returns the
// store's revision of the manifest.
func (r *Runner) readStore(ctx context.Context) (at int64, err error) {
	raw, at, since, err := r.readManifest(ctx)
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
	believed := false
	r.change(func(v *View, now time.Duration) { believed = v.StoreAnswered(now, since, revision) })
	if !believed {
		r.vars.Add("storeStale", 1)
		return 0, fail("readStore", lagoonhead.KindStale, fmt.Errorf("the store answered with old revision %d", revision))
	}
	held := r.heldBundle()
	if m == nil || (held != nil && m.Revision <= held.manifest.Revision) {
		return at, nil
	}
	bodies, err := r.fetchParts(ctx, m, held)
	if err != nil {
		return 0, err
	}
	return at, r.take(raw, bodies)
}

// readManifest returns the stored manifest, or nil when there is none, with the time
// before the read.
func (r *Runner) readManifest(ctx context.Context) (raw []byte, at int64, since time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	since = r.Timer.Now()
	e, err := r.Store.Get(ctx, ManifestKey)
	switch {
	case err == nil:
		return e.Value, e.Revision, since, nil
	case lagoonhead.IsKind(err, lagoonhead.KindNotFound):
		return nil, 0, since, nil
	default:
		return nil, 0, since, fail("readManifest", lagoonhead.KindOf(err), err)
	}
}

// fetchParts reads the parts that the held revision does not have.
func (r *Runner) fetchParts(ctx context.Context, m *inventory.Manifest, held *bundle) (map[string][]byte, error) {
	var mu sync.Mutex
	bodies := make(map[string][]byte)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(fetches)
	for _, ref := range m.Parts {
		if _, ok := findBody(ref.Hash, nil, held); ok {
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
