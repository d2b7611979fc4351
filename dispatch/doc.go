// Package dispatch carries a request of a caller from its arrival to the end of its
// answer: it finds the route and the workspace, reserves tokens, has endpoints chosen,
// makes attempts, resumes streams, and tells the accounting what ran. It knows no wire
// format; an ingress hands it calls and sinks, and a lagoonhead.Sender makes the
// attempts.
package dispatch
