// Package fair provides the queue in which requests of many workspaces wait for
// a limited resource. It is pure: time comes in as an argument.
//
// The queue serves the workspace that has received the fewest tokens of service in
// relation to its weight, according to a virtual counter per workspace. A workspace
// that sends several times its rate therefore delays only itself. A workspace
// that becomes active after a pause starts at the lowest counter of those that wait, so
// that it cannot accumulate a claim to service.
//
// Priority works at two levels. Within a workspace, interactive requests go
// before normal ones; a workspace gains nothing against others by marking all its
// requests as interactive. Deferrable requests are served only while no other request
// can be.
package fair
