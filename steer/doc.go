// Package steer decides which endpoint gets a request, from what this daemon and its
// peers have under way, what each engine has read lately, and how its work went. It is
// pure: time comes in with each call, and nothing here waits or talks.
//
// It answers loads in which long prompts share parts: such a prompt goes to the engine
// that has read its shared part unless that engine's queue costs more than reading the
// part anew. All daemons agree on that engine without talking, by rendezvous hashing
// of the part over the engines that prefill.
package steer
