// Package store is the client of the platform's key-value store, in the form that
// package fakeplatform serves.
package store
