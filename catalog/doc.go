// Package catalog holds the routes, services and workspaces that operators have put
// in force, as the data path reads them. A Catalog is immutable.
package catalog
