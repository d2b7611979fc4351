package suspect

import "github.com/lagoonhead/lagoonhead"

// Spreading is a Table that sends each crash to the peers at once. A caller may retry its
// request within milliseconds, possibly at another daemon, long before the next regular
// heartbeat.
type Spreading struct {
	*Table
	// Urge sends a heartbeat to the peers immediately.
	Urge func()
}

var _ lagoonhead.SuspectWatch = Spreading{}

// Crashed records the crash and sends a heartbeat to the peers.
func (s Spreading) Crashed(fingerprint uint64, e lagoonhead.EndpointID) {
	s.Table.Crashed(fingerprint, e)
	s.Urge()
}
