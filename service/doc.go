// Package service is the client of plain services, that is, of HTTP services that are
// not model engines, such as those for bookings, loans and look-ups. Idempotent calls
// are retried on another endpoint within a retry budget. Other calls get exactly one
// attempt on a new connection, so that a failure before the call is written is certain.
package service
