package mirror

import (
	"strings"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// PrefixMux is a Follower that passes each entry to the follower for the prefix of its key.
// Entries under none of the prefixes are dropped. Synced and StoreLost go to all followers.
type PrefixMux map[string]Follower

var _ Follower = PrefixMux{}

// follower returns the follower for a key, or nil.
func (m PrefixMux) follower(key string) Follower {
	for prefix, f := range m {
		if strings.HasPrefix(key, prefix) {
			return f
		}
	}
	return nil
}

// Put implements Follower.
func (m PrefixMux) Put(e lagoonhead.Entry) {
	if f := m.follower(e.Key); f != nil {
		f.Put(e)
	}
}

// Removed implements Follower.
func (m PrefixMux) Removed(key string) {
	if f := m.follower(key); f != nil {
		f.Removed(key)
	}
}

// Synced implements Follower.
func (m PrefixMux) Synced(at time.Duration) {
	for _, f := range m {
		f.Synced(at)
	}
}

// StoreLost implements Follower.
func (m PrefixMux) StoreLost(at time.Duration, err error) {
	for _, f := range m {
		f.StoreLost(at, err)
	}
}
