// Package explain tells operators why something was done. Record keeps the recent
// decisions of a running daemon with their reasons; Timeline joins what the logs of all
// VMs say of one request.
package explain
