// Package retry bounds the sends beyond the first of each request over a sliding window.
// It is pure: time comes in with each call.
package retry
