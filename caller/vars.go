package caller

import (
	"expvar"

	"github.com/lagoonhead/lagoonhead"
)

type counters struct {
	requests, completions, streams, resumes, serviceCalls expvar.Int
	retries, budgetEmpty, crashes, panics, callersGone    expvar.Int
	promptTokens, outputTokens, usageEstimated            expvar.Int
	suspectsRefused, notAccepted, cutOff, aborted         expvar.Int
	errors                                                expvar.Map
}

func (c *counters) countError(k lagoonhead.Kind) { c.errors.Add(k.String(), 1) }

func (c *counters) export(t *tracker) *expvar.Map {
	m := new(expvar.Map)
	m.Set("requests", &c.requests)
	m.Set("completions", &c.completions)
	m.Set("streams", &c.streams)
	m.Set("resumes", &c.resumes)
	m.Set("serviceCalls", &c.serviceCalls)
	m.Set("retries", &c.retries)
	m.Set("retryBudgetEmpty", &c.budgetEmpty)
	m.Set("endpointCrashes", &c.crashes)
	m.Set("panics", &c.panics)
	m.Set("callersGone", &c.callersGone)
	m.Set("promptTokens", &c.promptTokens)
	m.Set("outputTokens", &c.outputTokens)
	m.Set("usageEstimated", &c.usageEstimated)
	m.Set("suspectsRefused", &c.suspectsRefused)
	m.Set("notAccepted", &c.notAccepted)
	m.Set("responsesCutOff", &c.cutOff)
	m.Set("connectionsAborted", &c.aborted)
	m.Set("errors", &c.errors)
	m.Set("inFlight", expvar.Func(func() any { return t.count() }))
	return m
}
