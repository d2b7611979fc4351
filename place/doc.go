// Package place implements lagoonhead.Placer. Placer holds the state of all endpoints
// as this daemon knows it (package route) and the prefixes that engines have cached
// (package prefix). It processes load reports, cache events and outcomes, and queues
// requests while no endpoint can take them.
//
// As far as this daemon knows, an endpoint never runs more requests than it has slots.
// A leaving endpoint gets no new requests, and two suspect requests never run on the
// same endpoint.
package place
