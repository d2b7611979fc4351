// Package lagoonhead is the root of a serving system that routes the requests of
// callers to a limited fleet of endpoints: engines, which run language models, and
// plain services.
//
// The package holds the identifiers, the data types, the error kinds and the
// interfaces that the other packages share. It has no behaviour beyond small
// accessors; the implementations are in its subpackages, and packages daemon and
// entry build processes from them. docs/design.md describes the whole system.
package lagoonhead
