// Package operator is the protocol between the command line and a daemon. Commands
// change the configuration and Queries read state; each is a twirp service of its
// own. Server implements both over small interfaces that the daemon fills, Guard
// lets only operators in, and Client calls them.
package operator
