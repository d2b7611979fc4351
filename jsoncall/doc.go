// Package jsoncall makes JSON calls over HTTP to the platform's interfaces in the form
// that package fakeplatform serves. It decodes errors and distinguishes failures that
// had no effect from those whose outcome is unknown. The packages store, ordering, usage
// and vmlist are thin adapters over it.
package jsoncall
