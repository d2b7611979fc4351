// Package retry bounds the number of retries in a sliding window. Retries are all sends
// of a request after the first. The package reads no clock: each call passes the time.
package retry
