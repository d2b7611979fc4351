// Package control changes the roles of engines without cutting a request. Next is
// the pure decision for one engine: mark it as changing, wait until every listed
// VM has confirmed the mark and nothing runs there, send the order, wait for the
// engine to report the role, and clear the mark. Engines runs it for the engines
// of one shard while this daemon holds the duty.
package control
