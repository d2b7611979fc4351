// Package settings loads the configuration that one daemon reads when it starts: the
// identity and location of its VM, its listen addresses, the URLs of the platform,
// and its timeouts and limits. Unknown fields in the YAML text are rejected; every
// setting that can have a default has one. Secrets are read from separate files, so
// that printed settings never contain them.
package settings
