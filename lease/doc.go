// Package lease decides which daemon has a duty, such as sending engine orders or
// reporting usage. A daemon keeps one lease in the store, its Session, and takes
// duties by creating keys that hang on it. A duty comes with an epoch that grows
// with each holder.
//
// On the holder's side a lease is counted from before its renewal was sent, less a
// margin, so the holder stops before the store lets another one in.
package lease
