// Package dispatch serves a request of a caller from its arrival to the end of its answer:
// it finds the route and the workspace, reserves tokens, chooses endpoints, makes attempts,
// resumes streams, and counts for billing what ran. It knows no wire format; an ingress
// passes it calls and sinks, and a lagoonhead.Sender makes the attempts.
package dispatch
