// Package lagoonhead is the root of a serving system that stands between
// callers and a limited fleet of model engines and plain services.
//
// The package holds the identifiers, the entities and the interfaces that the
// other packages share. It has no behaviour of its own beyond small accessors;
// the implementations are in the packages below it, and package daemon joins
// them. docs/design.md describes the whole system.
package lagoonhead
