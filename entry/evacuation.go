package entry

import (
	"expvar"
	"maps"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/mirror"
)

// evacuationTime is the time within which every VM that reaches the store, or a hub that does, has
// stopped to send to an evacuated failure domain. The list of an attached VM is at most maxUpdateAge
// old; after that it reads the store.
const evacuationTime = maxUpdateAge + WatchTimeout

var _ mirror.Follower = (*operatorKeys)(nil)

// operatorKeys follows the keys that operators write: the configuration and the evacuations of
// failure domains. Both come with one list or watch of their common prefix, so that a daemon that
// has a configuration also knows the evacuations of the same state of the store.
type operatorKeys struct {
	config      *configuration
	evacuations *evacuations
	// configurationKey and evacuationPrefix tell the keys apart. Others are ignored.
	configurationKey, evacuationPrefix string

	// pending is the configuration of the current series of changes. It comes into force after the
	// evacuations.
	pending *lagoonhead.Entry
}

// Restored passes the restore on.
func (o *operatorKeys) Restored(era int64, at time.Duration) { o.config.Restored(era, at) }

// Put keeps a configuration, or adds an evacuation.
func (o *operatorKeys) Put(e lagoonhead.Entry, _ mirror.Origin) {
	if e.Key == o.configurationKey {
		o.pending = &e
		return
	}
	if d, ok := o.domain(e.Key); ok {
		o.evacuations.set(d, true)
	}
}

// Removed ends an evacuation.
func (o *operatorKeys) Removed(key string, _ mirror.Origin) {
	if d, ok := o.domain(key); ok {
		o.evacuations.set(d, false)
	}
}

// domain returns the failure domain that a key evacuates.
func (o *operatorKeys) domain(key string) (d lagoonhead.FailureDomain, ok bool) {
	if o.evacuationPrefix == "" {
		return "", false
	}
	name, ok := strings.CutPrefix(key, o.evacuationPrefix)
	return lagoonhead.FailureDomain(name), ok && name != ""
}

// Applied puts the changes in force, the evacuations first.
func (o *operatorKeys) Applied() {
	o.evacuations.notify()
	if o.pending != nil {
		o.config.Put(*o.pending, mirror.Origin{})
		o.pending = nil
	}
}

// Synced does nothing; configuration and evacuations stay in force whatever their age.
func (o *operatorKeys) Synced(time.Duration) {}

// StoreLost does nothing; the last known state stays in force.
func (o *operatorKeys) StoreLost(time.Duration, error) {}

// evacuations holds the failure domains that get no more requests. It is safe for concurrent use.
type evacuations struct {
	log *zap.Logger
	// changed is called after a change of the domains.
	changed func()

	mu      sync.Mutex
	domains map[lagoonhead.FailureDomain]bool
	dirty   bool // since the last call of changed
	// begun and ended count the changes.
	begun, ended expvar.Int
}

func (v *evacuations) set(d lagoonhead.FailureDomain, on bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.domains[d] == on {
		return
	}
	v.dirty = true
	if !on {
		delete(v.domains, d)
		v.ended.Add(1)
		v.log.Warn("evacuation ended", zap.String("failureDomain", string(d)))
		return
	}
	if v.domains == nil {
		v.domains = make(map[lagoonhead.FailureDomain]bool)
	}
	v.domains[d] = true
	v.begun.Add(1)
	v.log.Warn("failure domain evacuated", zap.String("failureDomain", string(d)))
}

// notify calls changed if the domains have changed since the last call.
func (v *evacuations) notify() {
	v.mu.Lock()
	dirty := v.dirty
	v.dirty = false
	v.mu.Unlock()
	if dirty {
		v.changed()
	}
}

// current returns the evacuated failure domains.
func (v *evacuations) current() map[lagoonhead.FailureDomain]bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return maps.Clone(v.domains)
}

// vars returns the number of evacuated failure domains, and the counters of changes.
func (v *evacuations) vars() *expvar.Map {
	m := new(expvar.Map)
	m.Set("domains", expvar.Func(func() any { return len(v.current()) }))
	m.Set("begun", &v.begun)
	m.Set("ended", &v.ended)
	return m
}
