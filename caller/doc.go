// Package caller is the HTTP front towards callers: an OpenAI-style API for
// completions, routes to plain services, and health checks. For each request it
// checks the freshness of the daemon and the caller's key, admits and places the
// request, retries it where that is safe, and tells truthfully in the header
// Lagoonhead-Run of an error whether an endpoint can have run it.
package caller
