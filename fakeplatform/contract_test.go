package fakeplatform

import (
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/jsoncall"
	"github.com/lagoonhead/lagoonhead/ordering"
	"github.com/lagoonhead/lagoonhead/timer"
	"github.com/lagoonhead/lagoonhead/usage"
	"github.com/lagoonhead/lagoonhead/vmlist"
)

// testVMListLag is the lag of the VM list in all cases.
const testVMListLag = 3 * time.Second

// step is one operation of a case in fleet.yaml and the expected outcome.
type step struct {
	Op        string
	Interface string
	Domain    lagoonhead.FailureDomain
	Total     int
	Sequence  int64
	Window    string
	Tokens    int64
	ID        lagoonhead.VMID
	N         int
	Ms        int64
	On        bool
	Want      *string // expected result; nil means that any is accepted
	Kind      string  // expected error kind; empty means success
}

// script runs the steps of one case against the HTTP clients of the platform.
type script struct {
	fake      *Platform
	clock     *timer.Manual
	authority error
	orderer   lagoonhead.EndpointOrderer
	lister    lagoonhead.EndpointLister
	reporter  lagoonhead.UsageReporter
	vms       lagoonhead.VMLister
}

// Guards against clients and fakes of the platform that differ in the effect of a
// retried call, a lost response or a caller without authority (an expired lease).
func TestFleetContract(t *testing.T) {
	raw, err := os.ReadFile("testdata/fleet.yaml")
	require.NoError(t, err)
	var cases []struct {
		Name  string
		Steps []step
	}
	require.NoError(t, yaml.Unmarshal(raw, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			s := newScript(t)
			for i, st := range c.Steps {
				got, err := s.do(t.Context(), st)
				kind := ""
				if err != nil {
					kind = lagoonhead.KindOf(err).String()
				}
				require.Equal(t, st.Kind, kind, "step %d: %s: %v", i, st.Op, err)
				if st.Want != nil {
					require.Equal(t, *st.Want, got, "step %d: %s", i, st.Op)
				}
			}
		})
	}
}

func newScript(t *testing.T) *script {
	clock := timer.NewManual(time.Hour, time.Unix(0, 0))
	s := &script{fake: New(clock, testVMListLag), clock: clock}
	srv := httptest.NewServer(s.fake.Handler())
	t.Cleanup(srv.Close)
	c := jsoncall.Client{BaseURL: srv.URL, Timeout: time.Minute}
	authority := func() error { return s.authority }
	o := &ordering.Client{Platform: c, Authority: authority}
	s.orderer, s.lister = o, o
	s.reporter = &usage.Client{Platform: c, Authority: authority}
	s.vms = &vmlist.Client{Platform: c}
	return s
}

func (s *script) do(ctx context.Context, st step) (string, error) {
	switch st.Op {
	case "setTotal":
		return "", s.orderer.SetTotal(ctx, lagoonhead.TotalOrder{
			FailureDomain: st.Domain, Serves: "m", Supply: lagoonhead.SupplyFirm, Total: st.Total, Sequence: st.Sequence,
		})
	case "report":
		return "", s.reporter.Report(ctx, lagoonhead.UsageWindow{
			Window: st.Window, Usage: []lagoonhead.WorkspaceUsage{{Workspace: "w", PromptTokens: st.Tokens}},
		})
	case "endpoints":
		l, err := s.lister.Endpoints(ctx)
		var names []string
		for _, e := range l {
			names = append(names, fmt.Sprintf("%s@%s", e.ID, e.FailureDomain))
		}
		return strings.Join(names, " "), err
	case "vms":
		l, err := s.vms.VMs(ctx)
		var names []string
		for _, v := range l {
			name := string(v.ID())
			if v.Leaving() {
				name += " leaving"
			}
			names = append(names, name)
		}
		return strings.Join(names, " "), err
	}
	return s.control(st), nil
}

// control does the steps that call the fake directly: it sets faults and state and
// returns what the fake received.
func (s *script) control(st step) string {
	faults := map[string]*Faults{"ordering": &s.fake.Ordering.Faults, "usage": &s.fake.Usage.Faults, "vms": &s.fake.VMs.Faults}
	switch st.Op {
	case "total":
		return strconv.Itoa(s.fake.Ordering.Total(st.Domain, "m", lagoonhead.SupplyFirm))
	case "orders":
		return strconv.Itoa(len(s.fake.Ordering.Orders()))
	case "capacity":
		s.fake.Ordering.SetCapacity(st.Domain, "m", lagoonhead.SupplyFirm, st.Total)
	case "list":
		var l []lagoonhead.PlatformEndpoint
		for i := range st.N {
			l = append(l, lagoonhead.PlatformEndpoint{ID: lagoonhead.EndpointID(fmt.Sprintf("e%d", i)), FailureDomain: st.Domain})
		}
		s.fake.Ordering.SetEndpoints(l)
	case "billed":
		tokens, _, _ := s.fake.Usage.Billed("w")
		return strconv.FormatInt(tokens, 10)
	case "lose":
		faults[st.Interface].LoseAnswers(1)
	case "outage":
		faults[st.Interface].SetOutage(st.On)
	case "authority":
		s.authority = errors.New("the lease has lapsed")
	case "vm":
		s.fake.VMs.Set(lagoonhead.NewVM(st.ID, "a", "127.0.0.1:1", st.On))
	case "removeVM":
		s.fake.VMs.Remove(st.ID)
	case "advance":
		s.clock.Advance(time.Duration(st.Ms) * time.Millisecond)
	default:
		panic("unknown operation " + st.Op)
	}
	return ""
}
