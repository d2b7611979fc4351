// Package usage is the adapter to the platform's interface that takes usage
// reports.
package usage
