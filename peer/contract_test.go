package peer

import (
	"context"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"
	"go.yaml.in/yaml/v3"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/timer"
)

// daemon implements the interfaces of Server and records the calls that it received.
type daemon struct {
	mu    sync.Mutex
	calls []string
	fail  bool
	// during is called while a heartbeat is handled.
	during func()
}

func (d *daemon) record(s string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls = append(d.calls, s)
}

func (d *daemon) Answer(h *Heartbeat) *Heartbeat {
	d.record("told " + h.GetVm())
	if d.during != nil {
		d.during()
	}
	return d.Heartbeat(lagoonhead.VMID(h.GetVm()))
}

func (d *daemon) Heartbeat(lagoonhead.VMID) *Heartbeat { return &Heartbeat{Vm: "vm1"} }

func (d *daemon) PullConfig(*PullConfigRequest) *PullConfigResponse {
	return &PullConfigResponse{Revision: 9}
}

func (d *daemon) RevisionState() *RevisionStateResponse { return &RevisionStateResponse{Revision: 9} }

func (d *daemon) Borrow(context.Context, *BorrowRequest) (*BorrowResponse, error) {
	if d.fail {
		return nil, errors.New("no table yet")
	}
	return &BorrowResponse{Tokens: 7}, nil
}

func (d *daemon) GiveBack(_ context.Context, r *GiveBackRequest) (*GiveBackResponse, error) {
	d.record("given back " + strconv.FormatInt(r.GetReturned(), 10))
	return &GiveBackResponse{}, nil
}

func (d *daemon) HandUsage(_ context.Context, r *HandUsageRequest) (*HandUsageResponse, error) {
	d.record("usage of " + r.GetVm())
	return &HandUsageResponse{}, nil
}

func (d *daemon) UsageCounts(r *UsageCountsRequest) *UsageCountsResponse {
	return &UsageCountsResponse{Counts: []*UsageCount{{Window: r.GetOldestWindow()}}}
}

func (d *daemon) TellStreams(r *TellStreamsRequest) *TellStreamsResponse {
	g := r.GetGroups()[0]
	d.record("streams " + g.GetService() + " " + g.GetSoftware() + " " + strconv.FormatUint(g.GetStreams()[0], 16) + " of " + r.GetVm())
	return &TellStreamsResponse{}
}

func (d *daemon) FindStream(r *FindStreamRequest) *FindStreamResponse {
	return &FindStreamResponse{Known: true, Software: r.GetService() + " " + strconv.FormatUint(r.GetStream(), 16)}
}

// serve starts a Server over d and returns its address host:port.
func serve(t *testing.T, d *daemon, token string) string {
	t.Helper()
	s := &Server{Config: d, Lender: d, Usage: d, Heartbeats: d, Counts: d, Streams: d, Token: token}
	srv := httptest.NewServer(s.Handler())
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// call makes one call and returns the field of the response that a test case compares.
func call(ctx context.Context, p *Pool, address, name string) (string, error) {
	c, q := p.Commands(address), p.Queries(address)
	switch name {
	case "exchange":
		h, err := c.Exchange(ctx, &Heartbeat{Vm: "vm2"})
		return h.GetVm(), err
	case "borrow":
		b, err := c.Borrow(ctx, &BorrowRequest{Tokens: 10})
		return strconv.FormatInt(b.GetTokens(), 10), err
	case "giveBack":
		_, err := c.GiveBack(ctx, &GiveBackRequest{Returned: 3})
		return "", err
	case "handUsage":
		_, err := c.HandUsage(ctx, &HandUsageRequest{Vm: "vm2"})
		return "", err
	case "pullConfig":
		r, err := q.PullConfig(ctx, &PullConfigRequest{})
		return strconv.FormatInt(r.GetRevision(), 10), err
	case "revisionState":
		r, err := q.RevisionState(ctx, &RevisionStateRequest{})
		return strconv.FormatInt(r.GetRevision(), 10), err
	case "usageCounts":
		r, err := q.UsageCounts(ctx, &UsageCountsRequest{OldestWindow: 8})
		if err != nil {
			return "", err
		}
		return strconv.FormatInt(r.GetCounts()[0].GetWindow(), 10), nil
	case "tellStreams":
		g := &StreamGroup{Service: "chat", Software: "v2", Streams: []uint64{0xfedcba9876543210}}
		_, err := c.TellStreams(ctx, &TellStreamsRequest{Vm: "vm2", Groups: []*StreamGroup{g}})
		return "", err
	case "findStream":
		r, err := q.FindStream(ctx, &FindStreamRequest{Service: "chat", Stream: 0xfedcba9876543210})
		return r.GetSoftware(), err
	case "tooLarge":
		_, err := c.Exchange(ctx, &Heartbeat{Vm: strings.Repeat("x", maxRequestBytes)})
		return "", err
	}
	panic("unknown call " + name)
}

// Guards against a peer listener that accepts calls without the token, and against
// calls that do not reach the interface that implements them.
func TestContract(t *testing.T) {
	raw, err := os.ReadFile("testdata/contract.yaml")
	require.NoError(t, err)
	var cases []struct {
		Name, Call, Token, Code, Want, Answer string
		Fail                                  bool
	}
	require.NoError(t, yaml.Unmarshal(raw, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			d := &daemon{fail: c.Fail}
			got, err := call(t.Context(), &Pool{Token: c.Token}, serve(t, d, "secret"), c.Call)
			if c.Code != "" {
				var e twirp.Error
				require.ErrorAs(t, err, &e)
				require.EqualValues(t, c.Code, e.Code())
				require.Empty(t, d.calls, "a rejected call has no effect")
				return
			}
			require.NoError(t, err)
			require.Equal(t, c.Answer, got)
			if c.Want != "" {
				require.Equal(t, []string{c.Want}, d.calls)
			}
		})
	}
}

// exchanger returns an exchanger with one peer.
func exchanger(clock timer.Timer, address string, answered func(*Heartbeat, time.Duration)) *Exchanger {
	return &Exchanger{
		Pool: &Pool{}, Timer: clock, Self: "vm2", Source: &daemon{}, OnResponse: answered,
		Peers: func() []lagoonhead.VM {
			return []lagoonhead.VM{lagoonhead.NewVM("vm2", "a", "127.0.0.1:1", false), lagoonhead.NewVM("vm1", "a", address, false)}
		},
		Fanout: DefaultFanout,
	}
}

// Guards against ages that are counted from the arrival of the response: its heartbeat
// may have been built as early as the request was sent.
func TestResponseAgeCountsFromItsRequest(t *testing.T) {
	clock := timer.NewManual(time.Hour, time.Unix(0, 0))
	d := &daemon{during: func() { clock.Advance(time.Minute) }}
	sent := make(chan time.Duration, 1)
	x := exchanger(clock, serve(t, d, ""), func(_ *Heartbeat, at time.Duration) { sent <- at })
	x.step(t.Context())
	require.Equal(t, time.Hour, <-sent)
}

// Guards against requests that accumulate at a peer that does not respond, and against
// an urgent heartbeat that waits for the end of such a request.
func TestOneExchangeAtATimeUnlessUrgent(t *testing.T) {
	clock := timer.NewManual(time.Hour, time.Unix(0, 0))
	arrived := make(chan struct{}, 10)
	release := make(chan struct{})
	d := &daemon{during: func() {
		arrived <- struct{}{}
		<-release
	}}
	answered := make(chan struct{}, 10)
	x := exchanger(clock, serve(t, d, ""), func(*Heartbeat, time.Duration) { answered <- struct{}{} })
	for range 5 {
		x.step(t.Context())
	}
	<-arrived
	x.exchangeAll(t.Context())
	<-arrived
	require.Empty(t, arrived)
	close(release)
	<-answered
	<-answered
	require.EqualValues(t, "2", x.Vars().Get("sent").String())
}
