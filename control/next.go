package control

import (
	"fmt"

	"github.com/lagoonhead/lagoonhead"
)

// Verb is the next step of a role change.
type Verb string

// The steps of a role change.
const (
	// None means that there is nothing to do.
	None Verb = "rest"
	// Wait means that a condition for the next step does not hold yet.
	Wait Verb = "wait"
	// Mark takes the engine out of service by marking it as changing in the
	// configuration.
	Mark Verb = "mark"
	// Order sends the engine the order to change its role.
	Order Verb = "order"
	// Unmark returns the engine to service by clearing the mark.
	Unmark Verb = "unmark"
)

// EngineView is the known state of one engine.
type EngineView struct {
	// Endpoint is the engine as the configuration in force has it.
	Endpoint lagoonhead.Endpoint
	// Wanted is the role that the engine should have, according to the configuration.
	Wanted lagoonhead.Role
	// Changing is true if the engine is marked as changing in the configuration in
	// force.
	Changing bool
	// Report is the newest load report. Reported is false if there is no valid one; a
	// report of a marked engine must be newer than the mark.
	Report   lagoonhead.LoadReport
	Reported bool
	// Confirmed is true if every listed VM has confirmed a configuration with the mark.
	Confirmed bool
	// InFlight is the number of requests in flight to the engine, summed over the VMs.
	InFlight int
	// OrderUsed is true if the engine has no fencing and the only order that this incarnation
	// can get was for another role.
	OrderUsed bool
	// OthersChanging is the number of other engines in the failure domain that are
	// marked as changing.
	OthersChanging int
}

// Step is the decision for one engine.
type Step struct {
	Verb   Verb
	Reason string
}

// maxChanging bounds the engines of one failure domain that change at the same time.
const maxChanging = 1

// Next returns the next step for one engine.
func Next(v EngineView) Step {
	if !v.Reported {
		return Step{waitOrNone(v), "no recent load report of the engine"}
	}
	if v.Report.Role == v.Wanted {
		return atWantedRole(v)
	}
	if v.OrderUsed {
		return Step{Wait, "engine has no fencing and this incarnation was already ordered another role; it needs a restart"}
	}
	if !v.Changing {
		return beginChange(v)
	}
	return advanceChange(v)
}

// waitOrNone returns the step for an engine without a recent load report.
func waitOrNone(v EngineView) Verb {
	if v.Changing || v.Report.Role != v.Wanted {
		return Wait
	}
	return None
}

// atWantedRole returns the step for an engine that has the wanted role.
func atWantedRole(v EngineView) Step {
	if v.Changing {
		return Step{Unmark, fmt.Sprintf("engine reports role %s", v.Wanted)}
	}
	return Step{None, "engine has the wanted role"}
}

// beginChange returns the step for an engine that has another role and is not marked.
func beginChange(v EngineView) Step {
	if v.OthersChanging >= maxChanging {
		return Step{Wait, fmt.Sprintf("%d engines of failure domain %s are being changed", v.OthersChanging, v.Endpoint.FailureDomain())}
	}
	return Step{Mark, fmt.Sprintf("role %s is wanted, engine has %s", v.Wanted, v.Report.Role)}
}

// advanceChange returns the step for a marked engine that still has another role.
func advanceChange(v EngineView) Step {
	if !v.Confirmed {
		return Step{Wait, "not every listed VM has confirmed that it sends the engine no more requests"}
	}
	if n := max(v.InFlight, v.Report.Running); n > 0 {
		return Step{Wait, fmt.Sprintf("%d requests still run on the engine", n)}
	}
	return Step{Order, "engine is drained"}
}
