package admit

import (
	"cmp"
	"slices"

	"github.com/lagoonhead/lagoonhead"
)

// Status is what this daemon knows of one workspace that has been active here.
type Status struct {
	Workspace lagoonhead.WorkspaceID
	Quota     lagoonhead.Quota
	// Tokens is what a request could take here at once.
	Tokens int64
	// Refused counts refusals here for lack of tokens, WronglyRefused those of them
	// that were inside the rate.
	Refused, WronglyRefused int64
}

// Statuses returns the workspaces that have been active here lately, ordered.
func (r *Runner) Statuses() []Status {
	r.init()
	now := r.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Status, 0, len(r.books))
	for w, b := range r.books {
		list = append(list, Status{
			Workspace: w, Quota: b.quota, Tokens: b.bucket.Available(now),
			Refused: b.refused, WronglyRefused: b.wronglyRefused,
		})
	}
	slices.SortFunc(list, func(a, b Status) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return list
}
