// Package control orders engines from the platform and changes their roles (prefill,
// decode or mixed). Each loop runs on one daemon at a time, which holds its duty.
//
// RoleController changes the roles of the engines of one shard without interrupting a
// request. Next decides the steps for one engine: mark it as changing in the configuration,
// wait until every listed VM has confirmed the mark and no request runs on the engine, send
// the order, wait for the engine to report the role, and clear the mark.
//
// TotalsController orders the planned numbers of endpoints and keeps the orders in a ledger.
// ServiceController orders the numbers and the roles of engines without a ledger: it
// announces a role change to the daemons ahead of the order. Sync adds and removes engines
// of the inventory according to the platform's list.
package control
