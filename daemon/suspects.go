package daemon

import (
	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/suspect"
)

// spreadingSuspects tells the peers of a crash at once. A caller sends its request
// again within milliseconds and perhaps to another daemon, long before the next
// regular heartbeat.
type spreadingSuspects struct {
	*suspect.Table
	urge func()
}

var _ lagoonhead.SuspectWatch = spreadingSuspects{}

// Crashed notes the crash and spreads the news.
func (s spreadingSuspects) Crashed(fingerprint uint64, e lagoonhead.EndpointID) {
	s.Table.Crashed(fingerprint, e)
	s.urge()
}
