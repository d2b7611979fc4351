// Package settings holds what one daemon is told when it starts: who and where it
// is, where it listens, how to reach the platform, and its times and limits. The
// YAML form is strict; everything that can have a default has one. Secrets are
// read from files and are never part of a printed value.
package settings
