// Package fair holds the queue in which requests of many workspaces wait for
// something scarce. It is pure: time comes in as an argument.
//
// The queue serves the workspace that has been served the fewest tokens in
// relation to its weight, counted by a virtual counter per workspace. A workspace
// that sends several times its rate therefore delays only itself. A workspace
// that comes back after a pause starts at the level of those that wait, so that
// it cannot save up service.
//
// Priority works at two levels. Within a workspace, interactive requests go
// before normal ones; a workspace gains nothing against others by calling all its
// work interactive. Deferrable requests are served only while no other request
// can be.
package fair
