package store_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/fakeplatform"
	"github.com/lagoonhead/lagoonhead/jsoncall"
	"github.com/lagoonhead/lagoonhead/platform"
	"github.com/lagoonhead/lagoonhead/platform/fakewire"
	"github.com/lagoonhead/lagoonhead/store"
	"github.com/lagoonhead/lagoonhead/timer"
)

// step is an operation of a case with the expected result. Revisions and leases are saved
// under names for later steps.
type step struct {
	Op         string
	Key        string
	Value      string
	Size       int    // bytes of the value to put, if not 0
	If         int64  // PutRequest.IfRevision, unless IfSaved is set
	IfSaved    string `yaml:"ifSaved"`
	AfterSaved string `yaml:"afterSaved"`
	LeaseSaved string `yaml:"leaseSaved"`
	Save       string
	Want       string
	Kind       string
	TTLMs      int64 `yaml:"ttlMs"`
	Ms         int64 // time by which the clock advances
	N          int   // number of writes whose response is lost
	On         bool  // whether an outage begins; otherwise it ends
}

// runner runs the steps of a case.
type runner struct {
	store lagoonhead.Store
	// fake is the store behind every implementation, where faults are set.
	fake  *fakeplatform.KV
	clock *timer.Manual
	// revisions and leases are the saved ones by name.
	revisions map[string]int64
	leases    map[string]lagoonhead.LeaseID
}

// Guards against implementations of the store that differ in their handling of
// conditions and leases or in their error kinds.
func TestContract(t *testing.T) {
	raw, err := os.ReadFile("testdata/contract.yaml")
	require.NoError(t, err)
	var cases []struct {
		Name  string
		Steps []step
	}
	require.NoError(t, yaml.Unmarshal(raw, &cases))
	for _, c := range cases {
		for name, newStore := range implementations {
			t.Run(c.Name+" "+name, func(t *testing.T) {
				r := newRunner(t, newStore)
				for i, st := range c.Steps {
					r.run(t, i, st)
				}
			})
		}
	}
}

// implementations holds the implementations of the store by name.
var implementations = map[string]func(t *testing.T, p *fakeplatform.Platform) lagoonhead.Store{
	"in process": func(_ *testing.T, p *fakeplatform.Platform) lagoonhead.Store { return p.KV },
	"over HTTP": func(t *testing.T, p *fakeplatform.Platform) lagoonhead.Store {
		return &store.Client{Platform: jsoncall.Client{BaseURL: listen(t, p.Handler()), Timeout: time.Minute}}
	},
	"in the platform's form": func(t *testing.T, p *fakeplatform.Platform) lagoonhead.Store {
		s := &fakewire.Store{KV: p.KV}
		c := platform.NewStore(strings.TrimPrefix(listen(t, s.Handler()), "http://"), time.Second)
		c.SetCallTimeout(time.Minute) // a busy machine takes a second to encode the largest values
		return c
	},
}

// listen serves h until the end of the test and returns the base URL.
func listen(t *testing.T, h http.Handler) string {
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return srv.URL
}

func newRunner(t *testing.T, newStore func(*testing.T, *fakeplatform.Platform) lagoonhead.Store) *runner {
	clock := timer.NewManual(time.Hour, time.Unix(0, 0))
	p := fakeplatform.New(clock, 0)
	r := &runner{
		store: newStore(t, p), fake: p.KV, clock: clock,
		revisions: make(map[string]int64), leases: make(map[string]lagoonhead.LeaseID),
	}
	return r
}

func (r *runner) run(t *testing.T, i int, st step) {
	t.Helper()
	got, err := r.do(t.Context(), st)
	kind := ""
	if err != nil {
		kind = lagoonhead.KindOf(err).String()
	}
	require.Equal(t, st.Kind, kind, "step %d: %s: %v", i, st.Op, err)
	if st.Want != "" {
		require.Equal(t, st.Want, got, "step %d: %s", i, st.Op)
	}
}

func (r *runner) do(ctx context.Context, st step) (string, error) {
	switch st.Op {
	case "put":
		return "", r.put(ctx, st)
	case "get":
		e, err := r.store.Get(ctx, st.Key)
		return string(e.Value), err
	case "list":
		l, revision, err := r.store.List(ctx, st.Key)
		r.revisions[st.Save] = revision
		return describe(l), err
	case "delete":
		return "", r.store.Delete(ctx, st.Key, r.condition(st))
	case "watch":
		ev, _, err := r.store.Watch(ctx, st.Key, r.revisions[st.AfterSaved])
		return describeEvents(ev), err
	case "grant":
		id, err := r.store.GrantLease(ctx, time.Duration(st.TTLMs)*time.Millisecond)
		r.leases[st.Save] = id
		return "", err
	case "renew":
		return "", r.store.RenewLease(ctx, r.leases[st.LeaseSaved])
	case "revoke":
		return "", r.store.RevokeLease(ctx, r.leases[st.LeaseSaved])
	case "advance":
		r.clock.Advance(time.Duration(st.Ms) * time.Millisecond)
	case "lose":
		r.fake.Faults.LoseAnswers(st.N)
	case "outage":
		r.fake.Faults.SetOutage(st.On)
	default:
		panic("unknown operation " + st.Op)
	}
	return "", nil
}

func (r *runner) condition(st step) int64 {
	if st.IfSaved != "" {
		return r.revisions[st.IfSaved]
	}
	return st.If
}

func (r *runner) put(ctx context.Context, st step) error {
	value := []byte(st.Value)
	if st.Size > 0 {
		value = make([]byte, st.Size)
	}
	rev, err := r.store.Put(ctx, lagoonhead.PutRequest{
		Key: st.Key, Value: value, IfRevision: r.condition(st), Lease: r.leases[st.LeaseSaved],
	})
	if st.Save != "" {
		r.revisions[st.Save] = rev
	}
	return err
}

// describe returns the entries as KEY=VALUE, separated by spaces.
func describe(list []lagoonhead.Entry) string {
	var parts []string
	for _, e := range list {
		parts = append(parts, e.Key+"="+string(e.Value))
	}
	return strings.Join(parts, " ")
}

func describeEvents(list []lagoonhead.Event) string {
	var parts []string
	for _, e := range list {
		if e.Deleted {
			parts = append(parts, e.Entry.Key+" deleted")
			continue
		}
		parts = append(parts, e.Entry.Key+"="+string(e.Entry.Value))
	}
	return strings.Join(parts, " ")
}
