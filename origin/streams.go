package origin

import "time"

// maxStreams bounds the streams that a VM remembers.
const maxStreams = 1 << 15

// stream is what is remembered of one stream.
type stream struct {
	version *version
	// at is the time since boot at which it was noted.
	at time.Duration
	// own is true if the stream began at this VM, and told if its homes were told.
	own, told bool
	// ambiguous is true if two versions were named. A caller that uses an identifier twice can
	// cause that. The version is not known then.
	ambiguous bool
}

// noted is the place of a stream in the order in which streams were noted.
type noted struct {
	key uint64
	at  time.Duration
}

// streams holds streams by their hash, at most limit of them. The zero value is empty; limit must
// be set before the first use.
type streams struct {
	limit int
	byKey map[uint64]stream
	// order[first:] holds the streams in the order in which they were noted.
	order []noted
	first int
	// evicted counts the streams that were removed before their time to make room.
	evicted int64
}

// put notes a stream, unless it is known.
func (s *streams) put(now time.Duration, key uint64, v *version, own, told bool) {
	if s.byKey == nil {
		s.byKey = make(map[uint64]stream)
	}
	if e, ok := s.byKey[key]; ok {
		e.own, e.told = e.own || own, e.told || told
		e.ambiguous = e.ambiguous || e.version.software != v.software
		s.byKey[key] = e
		return
	}
	if len(s.byKey) >= s.limit {
		s.removeFirst()
		s.evicted++
	}
	s.byKey[key] = stream{version: v, at: now, own: own, told: told}
	s.order = append(s.order, noted{key, now})
}

// get returns a stream.
func (s *streams) get(key uint64) (stream, bool) {
	e, ok := s.byKey[key]
	return e, ok
}

// expire removes the streams that were noted before a time.
func (s *streams) expire(before time.Duration) {
	for s.first < len(s.order) && s.order[s.first].at < before {
		s.removeFirst()
	}
}

func (s *streams) removeFirst() {
	delete(s.byKey, s.order[s.first].key)
	s.first++
	if s.first > len(s.order)/2 {
		s.order = append(s.order[:0], s.order[s.first:]...)
		s.first = 0
	}
}

// takeUntold returns the own streams of a service that began at each version and whose homes were
// not told, and marks them as told.
func (s *streams) takeUntold(service string) map[*version][]uint64 {
	list := make(map[*version][]uint64)
	for key, e := range s.byKey {
		if e.own && !e.told && e.version.service == service {
			e.told = true
			s.byKey[key] = e
			list[e.version] = append(list[e.version], key)
		}
	}
	return list
}
