package suspect

import "github.com/lagoonhead/lagoonhead"

// NotifyingTable is a Table that sends each crash to the peers at once. A caller may retry
// its request within milliseconds, possibly at another daemon, long before the next regular
// heartbeat.
type NotifyingTable struct {
	*Table
	// SendHeartbeat sends a heartbeat to the peers immediately.
	SendHeartbeat func()
}

var _ lagoonhead.SuspectTracker = NotifyingTable{}

// Crashed records the crash and sends a heartbeat to the peers.
func (t NotifyingTable) Crashed(fingerprint uint64, e lagoonhead.EndpointID) {
	t.Table.Crashed(fingerprint, e)
	t.SendHeartbeat()
}
