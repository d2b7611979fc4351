// Package service is the client towards plain services, which serve bookings,
// loans and look-ups. Idempotent calls are retried on another endpoint within a
// retry budget. Other calls get exactly one attempt on a connection of their own,
// so that net/http cannot repeat them.
package service
