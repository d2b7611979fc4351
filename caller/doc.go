// Package caller is the HTTP server for callers, the clients of the system. It serves
// an OpenAI-style API for completions, routes to plain services, and health checks.
// For each request it checks that the configuration of the daemon is recent enough and
// that the API key is valid, reserves tokens, chooses an endpoint and retries where
// that is safe. The header Lagoonhead-Run of each error response says whether an
// endpoint can have run the request: no, yes or unknown.
package caller
