// Package outlog writes structured log lines to standard output. Logging never blocks,
// even if nothing reads the output: lines are queued in a bounded ring. As it fills up,
// routine lines (those below warnings) are dropped first, and dropped lines are counted.
// Read parses such lines.
package outlog
