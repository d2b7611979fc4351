// Package admit holds each workspace to its rate and burst. It runs the pure
// packages limit and fair: a request takes its tokens from the daemon's own
// bucket; otherwise it waits in the fair queue while the daemon borrows from its
// peers. Nothing in the data path waits for the store.
//
// A request counts as dispatched when Admit returns. A caller that waits long
// between Admit and the first byte to the endpoint shifts the use of the tokens
// into a later window.
package admit
