// Package explain shows operators why the system did what it did. Record keeps the
// recent decisions of a running daemon with their reasons; Timeline collects the lines
// about one request from the logs of all VMs.
package explain
