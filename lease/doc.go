// Package lease decides which daemon holds a duty, such as sending engine orders or
// reporting usage. A daemon keeps one lease in the store, its Session, and acquires
// duties by creating keys that are attached to it. A duty comes with an epoch that grows
// with each acquisition.
//
// The holder computes the end of its lease from the time before it sent the renewal, less a
// margin, so it stops before the store lets another daemon acquire the duty.
package lease
