// Package operator implements the protocol between the operators' command-line tool
// and a daemon. Commands change the configuration and Queries read state; each is a
// separate twirp service. Server implements both on top of small interfaces that the
// daemon provides, Guard rejects requests of anyone but operators, and Client calls
// the services.
package operator
