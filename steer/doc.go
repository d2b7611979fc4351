// Package steer chooses the endpoint of each request from the work of this daemon and its
// peers, the prompt parts that each engine has prefilled recently, and the outcomes of its
// work. It does no I/O and never blocks. Points in time are durations since boot; the
// current one is an argument of the methods.
//
// It is made for loads in which long prompts share parts: such a prompt goes to the engine
// that has its shared part cached, unless waiting in that engine's queue costs more than
// prefilling the part again. All daemons choose the same engine for a part without
// communicating, by rendezvous hashing of the part over the engines that prefill.
package steer
