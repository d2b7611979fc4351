// Package outlog writes structured log lines to standard output without ever waiting for
// its reader. Lines wait in a bounded ring; when it fills, routine lines are dropped
// first, and what is dropped is counted. Read takes such lines back in.
package outlog
