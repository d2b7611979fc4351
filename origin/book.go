package origin

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// HoldTime is how long a VM holds back a version that is new to a service unless all hubs have
	// been told of it. It is longer than the age up to which a VM's copy of the registrations
	// counts as fresh, so that each fresh copy shows the version by then.
	HoldTime = 2500 * time.Millisecond
	// maxHoldTime is how long a VM holds it back while it cannot tell half of the hubs. Most hubs
	// may be cut off from the store and from this VM; they take the versions that they know for
	// all, since they are most. It is bounded for networks that carry no calls between VMs.
	maxHoldTime = 30 * time.Second
)

// version is a software version of a service.
type version struct {
	service, software string
	// registered is true while an endpoint with it is registered, and lastSeen the time since
	// boot at which one last was, or at which a peer named the version.
	registered bool
	lastSeen   time.Duration
	// cleared is true once an announcement of the version is over. Until then the version is held,
	// which means that it is not used, unless it was the only one when it was first registered.
	cleared, held bool
}

// Group holds streams that began at one software version of a service.
type Group struct {
	Service, Software string
	// Streams holds the keys of the streams.
	Streams []uint64
}

// Announcement is what a VM tells all hubs when it has seen a further version of a service.
type Announcement struct {
	// Groups holds the versions of the service, with the streams of this VM whose homes have not
	// been told.
	Groups []Group
	// began is the time since boot at which it began.
	began    time.Duration
	versions []*version
}

// Answer is what a VM knows of a stream.
type Answer struct {
	// Known reports whether it knows the version at which the stream began, which is Software.
	Known    bool
	Software string
	// Versions holds, in ascending order, the versions of the service at which the stream may
	// have begun, as far as the VM has seen them.
	Versions []string
}

// Book is what one VM knows of versions and streams. Times are since boot. It is not safe for
// concurrent use.
type Book struct {
	// lifetime is how long after its beginning a stream may be taken up.
	lifetime time.Duration
	services map[string]map[string]*version
	// unannounced holds the services with a version that was not announced.
	unannounced map[string]bool
	streams     streams
	// expiredAt is the time of the last removal of versions.
	expiredAt time.Duration
}

// expiryInterval is the time between two removals of versions. One that is kept too long costs
// calls only.
const expiryInterval = time.Second

// NewBook returns an empty book with streams that may be taken up for the given time.
func NewBook(lifetime time.Duration) *Book {
	return &Book{
		lifetime: lifetime, services: make(map[string]map[string]*version), unannounced: make(map[string]bool),
		streams: streams{limit: maxStreams},
	}
}

// Key returns the key of the stream that the request id began.
func Key(service string, id lagoonhead.RequestID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(service) // WriteString never fails
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}

// SetLifetime sets how long after its beginning a stream may be taken up.
func (b *Book) SetLifetime(d time.Duration) { b.lifetime = d }

// Observe takes over the versions of the registered endpoints and reports whether there is
// something to announce. A version of a service with others is held until it is cleared.
func (b *Book) Observe(now time.Duration, list []lagoonhead.Endpoint) bool {
	b.expire(now)
	seen := make(map[*version]bool)
	for _, e := range list {
		seen[b.add(now, e.Serves(), e.Software())] = true
	}
	for v := range seen {
		switch {
		case v.cleared || v.held:
		case len(b.services[v.service]) == 1:
			v.cleared = true
		default:
			v.held = true
			b.unannounced[v.service] = true
		}
	}
	for _, s := range b.services {
		for _, v := range s {
			if v.registered || seen[v] {
				v.registered, v.lastSeen = seen[v], now
			}
		}
	}
	return len(b.unannounced) > 0
}

// Usable returns the endpoints whose version is not held.
func (b *Book) Usable(list []lagoonhead.Endpoint) []lagoonhead.Endpoint {
	out := make([]lagoonhead.Endpoint, 0, len(list))
	for _, e := range list {
		if v := b.services[e.Serves()][e.Software()]; v == nil || !v.held {
			out = append(out, e)
		}
	}
	return out
}

// Begin notes that a stream begins at this VM and reports whether its homes are to be told.
func (b *Book) Begin(now time.Duration, service, software string, key uint64) (tell bool) {
	b.expire(now)
	v := b.add(now, service, software)
	v.lastSeen = now
	tell = len(b.services[service]) > 1
	b.streams.put(now, key, v, true, tell)
	return tell
}

// Untold notes that the homes of a stream could not be told, since no other hub was known.
func (b *Book) Untold(key uint64) {
	if e, ok := b.streams.get(key); ok {
		e.told = false
		b.streams.byKey[key] = e
	}
}

// HubsChanged reports whether there is something to announce to hubs that were not known before.
func (b *Book) HubsChanged() bool {
	for name, s := range b.services {
		if len(s) > 1 {
			b.unannounced[name] = true
		}
	}
	return len(b.unannounced) > 0
}

// Record takes over what a peer tells and reports whether there is something to announce.
func (b *Book) Record(now time.Duration, groups []Group) bool {
	b.expire(now)
	for _, g := range groups {
		v := b.add(now, g.Service, g.Software)
		v.lastSeen = now
		for _, key := range g.Streams {
			b.streams.put(now, key, v, false, false)
		}
	}
	return len(b.unannounced) > 0
}

// add returns a version of a service. If it is unknown and there are others, the service is to be
// announced.
func (b *Book) add(now time.Duration, service, software string) *version {
	s := b.services[service]
	if v := s[software]; v != nil {
		return v
	}
	if s == nil {
		s = make(map[string]*version)
		b.services[service] = s
	}
	v := &version{service: service, software: software, lastSeen: now}
	s[software] = v
	if len(s) > 1 {
		b.unannounced[service] = true
	}
	return v
}

// Announce returns what is to be told to all hubs, or nil if there is nothing.
func (b *Book) Announce(now time.Duration) *Announcement {
	if len(b.unannounced) == 0 {
		return nil
	}
	a := &Announcement{began: now}
	for _, service := range slices.Sorted(maps.Keys(b.unannounced)) {
		untold := b.streams.takeUntold(service)
		for _, software := range slices.Sorted(maps.Keys(b.services[service])) {
			v := b.services[service][software]
			a.Groups = append(a.Groups, Group{service, software, untold[v]})
			a.versions = append(a.versions, v)
		}
	}
	clear(b.unannounced)
	return a
}

// Versions returns the versions of an announcement by service, in ascending order.
func (a *Announcement) Versions() map[string][]string {
	list := make(map[string][]string)
	for _, g := range a.Groups {
		list[g.Service] = append(list[g.Service], g.Software)
	}
	return list
}

// Over reports whether an announcement is over, when the given number of the hubs know it. Those
// that do not have had the time to see the versions in the registrations.
func (a *Announcement) Over(now time.Duration, told, hubs int) bool {
	took := now - a.began
	return (told >= hubs && hubs > 0) || (took >= HoldTime && 2*told >= hubs) || took >= maxHoldTime
}

// Announced ends an announcement and clears its versions.
func (b *Book) Announced(a *Announcement) {
	for _, v := range a.versions {
		v.cleared, v.held = true, false
	}
}

// Learn takes over versions by service that another VM has cleared.
func (b *Book) Learn(now time.Duration, versions map[string][]string) {
	for service, list := range versions {
		for _, software := range list {
			v := b.add(now, service, software)
			v.lastSeen, v.cleared, v.held = now, true, false
		}
	}
}

// Answer returns what this VM knows of a stream.
func (b *Book) Answer(now time.Duration, service string, key uint64) Answer {
	b.expire(now)
	if e, ok := b.streams.get(key); ok && !e.ambiguous && e.version.service == service {
		return Answer{Known: true, Software: e.version.software}
	}
	return Answer{Versions: slices.Sorted(maps.Keys(b.services[service]))}
}

// Versions returns the versions of the services that have served with several lately.
func (b *Book) Versions(now time.Duration) (list []Group) {
	b.expire(now)
	for name, s := range b.services {
		for software := range s {
			if len(s) > 1 {
				list = append(list, Group{Service: name, Software: software})
			}
		}
	}
	return list
}

// Held returns the number of versions that are held.
func (b *Book) Held() (n int) {
	for _, s := range b.services {
		for _, v := range s {
			if v.held {
				n++
			}
		}
	}
	return n
}

// Registered reports whether a version is registered.
func (b *Book) Registered(service, software string) bool {
	v := b.services[service][software]
	return v != nil && v.registered
}

// Mixed returns the services that have served with several versions lately, with the versions that
// are cleared, in ascending order.
func (b *Book) Mixed(now time.Duration) map[string][]string {
	b.expire(now)
	list := make(map[string][]string)
	for name, s := range b.services {
		if len(s) <= 1 {
			continue
		}
		list[name] = nil
		for _, software := range slices.Sorted(maps.Keys(s)) {
			if s[software].cleared {
				list[name] = append(list[name], software)
			}
		}
	}
	return list
}

// Len returns the number of streams, and Evicted the number of those that were removed before
// their time to make room.
func (b *Book) Len() int { return len(b.streams.byKey) }

// Evicted is explained at Len.
func (b *Book) Evicted() int64 { return b.streams.evicted }

// expire forgets the streams that cannot be taken up any more and the versions at which none of
// the others can have begun.
func (b *Book) expire(now time.Duration) {
	before := now - b.lifetime
	b.streams.expire(before)
	if now < b.expiredAt+expiryInterval {
		return
	}
	b.expiredAt = now
	for name, s := range b.services {
		maps.DeleteFunc(s, func(_ string, v *version) bool { return !v.registered && v.lastSeen < before })
		if len(s) == 0 {
			delete(b.services, name)
		}
	}
}
