package origin

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonhead/lagoonhead"
)

// HoldTime is how long a VM holds back a version that is new to a service unless all hubs have
// been told of it. It is longer than the age up to which a VM's copy of the registrations counts
// as fresh, so that each fresh copy shows the version by then.
const HoldTime = 2500 * time.Millisecond

// version is a software version of a service.
type version struct {
	service, software string
	// registered is true while an endpoint with it is registered, and lastSeen the time since
	// boot at which one last was, or at which a peer named the version.
	registered bool
	lastSeen   time.Duration
	// cleared is true once each hub knows the version or it was held for HoldTime. held is true
	// while it is not used, which is until heldUntil at the latest.
	cleared, held bool
	heldUntil     time.Duration
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
	// End is the time since boot after which versions are used although hubs do not respond.
	End      time.Duration
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
	// observed is true once endpoints have been observed.
	observed bool
	streams  streams
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
// something to announce. A version that is new to a service with another one is held, except
// those of the first observation: a VM that starts cannot tell which of them is the new one.
func (b *Book) Observe(now time.Duration, list []lagoonhead.Endpoint) bool {
	b.expire(now)
	first := !b.observed
	b.observed = b.observed || len(list) > 0
	seen := make(map[*version]bool)
	for _, e := range list {
		seen[b.add(now, e.Serves(), e.Software())] = true
	}
	for v := range seen {
		switch {
		case v.cleared || v.held:
		case first || len(b.services[v.service]) == 1:
			v.cleared = true
		default:
			v.held, v.heldUntil = true, now+HoldTime
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
func (b *Book) Usable(now time.Duration, list []lagoonhead.Endpoint) []lagoonhead.Endpoint {
	out := make([]lagoonhead.Endpoint, 0, len(list))
	for _, e := range list {
		if v := b.services[e.Serves()][e.Software()]; v == nil || !v.held || now >= v.heldUntil {
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
	a := &Announcement{End: now + HoldTime}
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

// Announced ends an announcement and releases its versions: if all hubs have been told, else those
// that have been held for HoldTime.
func (b *Book) Announced(now time.Duration, a *Announcement, all bool) {
	for _, v := range a.versions {
		if all || (v.held && now >= v.heldUntil) {
			v.cleared, v.held = true, false
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

// Mixed returns the services that have served with several versions lately, with the versions in
// ascending order.
func (b *Book) Mixed(now time.Duration) map[string][]string {
	b.expire(now)
	list := make(map[string][]string)
	for name, s := range b.services {
		if len(s) > 1 {
			list[name] = slices.Sorted(maps.Keys(s))
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
