// Package ordering is the adapter to the platform's interface that orders
// endpoints by failure domain.
package ordering
