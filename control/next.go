package control

import (
	"fmt"

	"github.com/lagoonhead/lagoonhead"
)

// Verb is the next step of a role change.
type Verb string

// The steps.
const (
	// Rest means that there is nothing to do.
	Rest Verb = "rest"
	// Wait means that the change goes on later.
	Wait Verb = "wait"
	// Mark takes the engine out of service by a configuration revision.
	Mark Verb = "mark"
	// Order sends the order.
	Order Verb = "order"
	// Unmark returns the engine to service.
	Unmark Verb = "unmark"
)

// View is what is known of one engine.
type View struct {
	// Endpoint is the engine as the configuration in force has it.
	Endpoint lagoonhead.Endpoint
	// Wanted is the role that the configuration wants.
	Wanted lagoonhead.Role
	// Changing is the mark in the configuration in force.
	Changing bool
	// Report is the newest load report. Reported is false when there is none that is
	// newer than the mark.
	Report   lagoonhead.LoadReport
	Reported bool
	// Confirmed is true when every listed VM holds the mark.
	Confirmed bool
	// InFlight is the number of requests on the engine, added up over the VMs.
	InFlight int
	// Spent is true when the engine has no fencing and this incarnation has had its
	// only order.
	Spent bool
	// OthersChanging is the number of other engines of the failure domain that are
	// being changed.
	OthersChanging int
}

// Step is the decision for one engine.
type Step struct {
	Verb   Verb
	Reason string
}

// maxChanging bounds the engines of one failure domain that are changed at once.
const maxChanging = 1

// Next returns the next step.
func Next(v View) Step {
	if !v.Reported {
		return Step{waitOrRest(v), "no recent load report of the engine"}
	}
	if v.Report.Role == v.Wanted {
		return arrived(v)
	}
	if v.Spent {
		return Step{Wait, "engine has no fencing and this incarnation has had its order; it needs a restart"}
	}
	if !v.Changing {
		return begin(v)
	}
	return advance(v)
}

func waitOrRest(v View) Verb {
	if v.Changing || v.Report.Role != v.Wanted {
		return Wait
	}
	return Rest
}

func arrived(v View) Step {
	if v.Changing {
		return Step{Unmark, fmt.Sprintf("engine reports role %s", v.Wanted)}
	}
	return Step{Rest, "engine has the wanted role"}
}

func begin(v View) Step {
	if v.OthersChanging >= maxChanging {
		return Step{Wait, fmt.Sprintf("%d engines of failure domain %s are being changed", v.OthersChanging, v.Endpoint.FailureDomain())}
	}
	return Step{Mark, fmt.Sprintf("role %s is wanted, engine has %s", v.Wanted, v.Report.Role)}
}

func advance(v View) Step {
	if !v.Confirmed {
		return Step{Wait, "not every listed VM has confirmed that it sends nothing more"}
	}
	if n := max(v.InFlight, v.Report.Running); n > 0 {
		return Step{Wait, fmt.Sprintf("%d requests still run", n)}
	}
	return Step{Order, "engine is drained"}
}
