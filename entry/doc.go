// Package entry joins the parts of a daemon that runs on a platform where endpoints
// register themselves in the store and operators write their configuration there. It
// knows the platform only through the interfaces of its Parts.
package entry
