// Package lease decides which daemon holds a duty, such as sending engine orders or
// reporting usage. A daemon keeps one lease in the store, its Session, and acquires
// duties by creating keys that are attached to it. A duty comes with an epoch that grows
// with each acquisition.
//
// The holder measures the TTL of its lease from before it sent the request to grant or renew
// it, and subtracts a margin, so it stops before the store lets another daemon acquire the duty.
package lease
