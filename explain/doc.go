// Package explain keeps the recent decisions of the daemon with their reasons, so
// that operators can ask why something was done.
package explain
