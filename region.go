package lagoonhead

import "slices"

// RegionSet restricts the endpoints of a request to some regions. The zero value allows every
// endpoint, also one in no region.
type RegionSet struct {
	names   []string
	limited bool
}

// LimitRegions returns a set that allows only the endpoints in one of the named regions. Without
// names it allows every endpoint.
func LimitRegions(names []string) RegionSet {
	return RegionSet{names: names, limited: len(names) > 0}
}

// Intersect returns the set that allows what both sets allow, which may be nothing.
func (s RegionSet) Intersect(o RegionSet) RegionSet {
	switch {
	case !o.limited:
		return s
	case !s.limited:
		return o
	}
	both := RegionSet{limited: true}
	for _, n := range s.names {
		if slices.Contains(o.names, n) {
			both.names = append(both.names, n)
		}
	}
	return both
}

// Limited reports whether some endpoints are not allowed.
func (s RegionSet) Limited() bool { return s.limited }

// Allows reports whether the request may be sent to e.
func (s RegionSet) Allows(e Endpoint) bool {
	return !s.limited || (e.Region() != "" && slices.Contains(s.names, e.Region()))
}

// Names returns the allowed regions. The caller must not change them.
func (s RegionSet) Names() []string { return s.names }
