// Package entry assembles and runs a daemon for a platform on which endpoints register
// themselves in the store and operators write the configuration there. It uses the
// platform only through the fields of Platform. Package daemon is its counterpart for a
// platform whose endpoints are listed in an inventory.
package entry
