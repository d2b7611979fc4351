package billing

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/lagoonhead/lagoonhead"
)

// TotalsPrefix is the prefix of the keys of stored totals; the incarnation follows it.
const TotalsPrefix = "usage/totals/"

// totals holds the cumulative usage per workspace.
type totals map[lagoonhead.WorkspaceID]lagoonhead.WorkspaceUsage

func (t totals) add(u lagoonhead.WorkspaceUsage) {
	s := t[u.Workspace]
	s.Workspace = u.Workspace
	s.PromptTokens += u.PromptTokens
	s.OutputTokens += u.OutputTokens
	s.Requests += u.Requests
	t[u.Workspace] = s
}

func (t totals) addAll(us []lagoonhead.WorkspaceUsage) {
	for _, u := range us {
		t.add(u)
	}
}

// merge keeps the larger of each pair of figures and reports whether any has grown.
func (t totals) merge(us []lagoonhead.WorkspaceUsage) bool {
	grew := false
	for _, u := range us {
		s := t[u.Workspace]
		n := lagoonhead.WorkspaceUsage{
			Workspace:    u.Workspace,
			PromptTokens: max(s.PromptTokens, u.PromptTokens),
			OutputTokens: max(s.OutputTokens, u.OutputTokens),
			Requests:     max(s.Requests, u.Requests),
		}
		if n != s {
			t[u.Workspace] = n
			grew = true
		}
	}
	return grew
}

// list returns the totals ordered by workspace.
func (t totals) list() []lagoonhead.WorkspaceUsage {
	l := make([]lagoonhead.WorkspaceUsage, 0, len(t))
	for _, u := range t {
		l = append(l, u)
	}
	slices.SortFunc(l, func(a, b lagoonhead.WorkspaceUsage) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return l
}

// storedTotals is the value stored under a key of TotalsPrefix.
type storedTotals struct {
	Usage []lagoonhead.WorkspaceUsage `json:"usage"`
	// Writer and Nonce identify the last write.
	Writer lagoonhead.Incarnation `json:"writer"`
	Nonce  string                 `json:"nonce"`
}

func decode(op string, value []byte, v any) error {
	if err := json.Unmarshal(value, v); err != nil {
		return wrap(op, lagoonhead.KindInvalid, err)
	}
	return nil
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic("billing: a record cannot be encoded: " + err.Error())
	}
	return b
}
