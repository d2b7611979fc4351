// Package jsoncall holds what the adapters to interfaces of the form that
// fakeplatform speaks share: JSON calls over HTTP, the wire form of errors, and the
// rule which failures leave the outcome unknown. The packages store, ordering, usage
// and vmlist are thin adapters over it.
package jsoncall
