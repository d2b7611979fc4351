package triage

import (
	"maps"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// CopyTo makes c, which must be new, a copy of the judge with the load of one service. It is for
// decisions on prompts that are not sent, which leave the judge as it is. The copy draws its own random
// numbers.
func (j *Judge) CopyTo(c *Judge, service string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	c.refused = j.refused
	c.refused.byFingerprint = maps.Clone(j.refused.byFingerprint)
	l := j.services[service]
	if l == nil {
		return
	}
	copied := *l
	copied.shares.uses = maps.Clone(l.shares.uses)
	for w, u := range copied.shares.uses {
		v := *u
		copied.shares.uses[w] = &v
	}
	c.services = map[string]*load{service: &copied}
}

// Yields returns the probability with which a prompt of a workspace yields to those of others. A
// request that comes back after a refusal yields less.
func (j *Judge) Yields(now time.Duration, service string, w lagoonhead.WorkspaceID) float64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	l := j.services[service]
	if l == nil {
		return 0
	}
	return l.shares.yields(now, w)
}
