// Package store is the adapter to the platform's key-value service.
package store
