package admit

import (
	"cmp"
	"slices"

	"github.com/lagoonhead/lagoonhead"
)

// Status is the state of one recently active workspace at this daemon.
type Status struct {
	Workspace lagoonhead.WorkspaceID
	Quota     lagoonhead.Quota
	// Tokens is the number of tokens that a request could be charged now.
	Tokens int64
	// Refused counts the requests that this daemon refused for lack of tokens,
	// WronglyRefused those of them whose workspace was within its rate.
	Refused, WronglyRefused int64
}

// Statuses returns the workspaces recently active at this daemon, ordered by ID.
func (r *Runner) Statuses() []Status {
	r.init()
	now := r.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Status, 0, len(r.workspaces))
	for w, ws := range r.workspaces {
		list = append(list, Status{
			Workspace: w, Quota: ws.quota, Tokens: ws.bucket.Available(now),
			Refused: ws.refused, WronglyRefused: ws.wronglyRefused,
		})
	}
	slices.SortFunc(list, func(a, b Status) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return list
}
