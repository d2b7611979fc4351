// Package mirror keeps a copy of the entries under one prefix of the store. It lists
// them once and then watches; when the history that it needs is gone it lists again
// and reports what differs. While the store is away the last copy stays.
package mirror
