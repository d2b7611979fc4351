package suspect

import "github.com/lagoonhead/lagoonhead"

// Spreading tells the peers of a crash at once. A caller sends its request again within
// milliseconds and perhaps to another daemon, long before the next regular heartbeat.
type Spreading struct {
	*Table
	// Urge sends a heartbeat to the peers now.
	Urge func()
}

var _ lagoonhead.SuspectWatch = Spreading{}

// Crashed notes the crash and spreads the news.
func (s Spreading) Crashed(fingerprint uint64, e lagoonhead.EndpointID) {
	s.Table.Crashed(fingerprint, e)
	s.Urge()
}
