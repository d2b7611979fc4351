// Package catalog holds the routes, services and workspaces of the configuration that
// operators have put in force, indexed for lookups by the data path. A Catalog is
// immutable.
package catalog
