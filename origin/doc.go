// Package origin remembers at which software version of a service each stream began, so that a
// stream that a caller takes up at any VM goes on at that version.
//
// While a VM has seen one version of a service, it only notes its own streams. When it sees a
// second one, it tells all hubs of that version and, of the streams that began at it, each hub
// those that the hub is a home of. Only then does it use the new version. From then on it tells
// the homes of each stream before the caller gets the first event. The homes are two hubs in
// different failure domains, chosen by rendezvous hashing.
//
// A VM that does not know a stream asks the homes. If none of them knows it, the version is taken
// as known only if a hub whose copy of the registrations is fresh has seen no other version; else
// it is not known. A new version is held back until each hub knows it, or half of them do and HoldTime
// has passed.
// Fresh means younger than HoldTime, so a hub that has neither been told nor seen the version is
// not fresh once streams begin at it.
//
// Book holds the state and the rules and is pure; Tracker adds the calls between VMs.
package origin
