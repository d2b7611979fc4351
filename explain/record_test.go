package explain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
)

// Guards against results that are out of order, do not match the query or are not the
// newest.
func TestFind(t *testing.T) {
	r := New(3)
	for i, s := range []string{"a", "b", "a", "c"} {
		r.RecordDecision(lagoonhead.Decision{At: time.Duration(i), Topic: "request", Subject: s})
	}
	r.RecordDecision(lagoonhead.Decision{At: 5, Topic: "role", Subject: "a"})
	subjects := func(q Query) (out []string) {
		for _, d := range r.Find(q) {
			out = append(out, d.Topic+" "+d.Subject)
		}
		return out
	}
	require.Equal(t, []string{"role a", "request c", "request a"}, subjects(Query{}))
	require.Equal(t, []string{"role a", "request a"}, subjects(Query{Subject: "a"}))
	require.Equal(t, []string{"request c"}, subjects(Query{Topic: "request", Limit: 1}))
	require.Empty(t, subjects(Query{Topic: "request", Subject: "b"}))
	require.Equal(t, `{"queries": 4, "recorded": 5}`, r.Vars().String())
}

// Guards against allocation on the data path.
func TestRecordAllocatesNothing(t *testing.T) {
	r := New(8)
	d := lagoonhead.Decision{Topic: "request", Subject: "s", Result: "placed", Reason: "least queued"}
	require.Zero(t, testing.AllocsPerRun(100, func() { r.RecordDecision(d) }))
}
