package mirror

import (
	"strings"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// Split is a Follower that passes each entry to the follower for the prefix of its key.
// Entries under none of the prefixes are dropped. Contact and Lost go to all followers.
type Split map[string]Follower

var _ Follower = Split{}

// follower returns the follower for a key, or nil.
func (s Split) follower(key string) Follower {
	for prefix, f := range s {
		if strings.HasPrefix(key, prefix) {
			return f
		}
	}
	return nil
}

// Put implements Follower.
func (s Split) Put(e lagoonhead.Entry) {
	if f := s.follower(e.Key); f != nil {
		f.Put(e)
	}
}

// Removed implements Follower.
func (s Split) Removed(key string) {
	if f := s.follower(key); f != nil {
		f.Removed(key)
	}
}

// Contact implements Follower.
func (s Split) Contact(at time.Duration) {
	for _, f := range s {
		f.Contact(at)
	}
}

// Lost implements Follower.
func (s Split) Lost(at time.Duration, err error) {
	for _, f := range s {
		f.Lost(at, err)
	}
}
