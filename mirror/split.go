package mirror

import (
	"strings"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// Split passes entries on by the prefix of their key. Entries under no prefix are
// dropped; contact and loss go to all.
type Split map[string]Follower

var _ Follower = Split{}

func (s Split) of(key string) Follower {
	for prefix, f := range s {
		if strings.HasPrefix(key, prefix) {
			return f
		}
	}
	return nil
}

// Put passes the entry on.
func (s Split) Put(e lagoonhead.Entry) {
	if f := s.of(e.Key); f != nil {
		f.Put(e)
	}
}

// Removed passes the key on.
func (s Split) Removed(key string) {
	if f := s.of(key); f != nil {
		f.Removed(key)
	}
}

// Contact tells all followers.
func (s Split) Contact(at time.Duration) {
	for _, f := range s {
		f.Contact(at)
	}
}

// Lost tells all followers.
func (s Split) Lost(at time.Duration, err error) {
	for _, f := range s {
		f.Lost(at, err)
	}
}
