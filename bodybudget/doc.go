// Package bodybudget bounds the memory that callers' request bodies take together.
//
// Bytes are counted before they are read into memory, and stay counted until the request ends. When
// the budget runs out, bodies that make no progress give their bytes back first; then the group that
// holds most yields to one that holds less; otherwise the newcomer is refused. Part of the budget is
// kept for small bodies, so that large ones do not keep ordinary requests out. The decisions are in
// ledger.go, which needs neither a clock nor a network.
package bodybudget
