package main

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/daemon"
	"github.com/lagoonhead/lagoonhead/fakeengine"
	"github.com/lagoonhead/lagoonhead/fakeplatform"
	"github.com/lagoonhead/lagoonhead/fakeservice"
	"github.com/lagoonhead/lagoonhead/operator"
	"github.com/lagoonhead/lagoonhead/settings"
	"github.com/lagoonhead/lagoonhead/timer"
)

const (
	// frontDeskKey and taggerKey are the API keys of the two workspaces.
	frontDeskKey = "lh-front-desk-0000000000000000"
	taggerKey    = "lh-tagger-00000000000000000000"
	// taggerRate, in tokens per second, and taggerBurst, in tokens, are the quota of
	// the tagger workspace. It is small, so that showLimit can exceed it.
	taggerRate  = 100
	taggerBurst = 400

	engineCount = 4
	daemonCount = 3
	// startTimeout bounds each wait during the start of the fleet.
	startTimeout = 20 * time.Second
	pollInterval = 50 * time.Millisecond
	// commitWaitMs is how long a daemon waits for the VMs to confirm a new revision
	// of the configuration, in milliseconds.
	commitWaitMs = 10_000
)

// fleet holds the daemons, engines, service and platform that the demo runs.
type fleet struct {
	timer    *timer.System
	platform *fakeplatform.Platform
	engines  []*fakeengine.Engine
	service  *fakeservice.Service
	servers  []*http.Server
	daemons  []*member
	cancel   context.CancelFunc
}

// member is one daemon of the fleet.
type member struct {
	// callerListener accepts the requests of callers.
	callerListener net.Listener
	// operatorAddress is the host and port of the operator API.
	operatorAddress string
	// done is closed when Run of the daemon has returned.
	done chan struct{}
}

// url returns the base URL for callers.
func (m *member) url() string { return "http://" + m.callerListener.Addr().String() }

// crash simulates a crash of the daemon's VM and waits until the daemon has ended. An
// error of the caller listener stops the daemon without a drain, so crash closes it.
func (m *member) crash() {
	m.callerListener.Close()
	<-m.done
}

// startFleet starts all parts, applies the inventory and waits until every daemon is
// ready.
func startFleet(ctx context.Context) (*fleet, error) {
	tm := &timer.System{}
	f := &fleet{timer: tm, platform: fakeplatform.New(tm, 0), service: &fakeservice.Service{Timer: tm}}
	platformURL, err := f.serve(f.platform.Handler())
	if err != nil {
		return nil, err
	}
	inventory, err := f.startEndpoints()
	if err != nil {
		return nil, err
	}
	ctx, f.cancel = context.WithCancel(ctx)
	if err := f.startDaemons(ctx, platformURL); err != nil {
		f.stop()
		return nil, err
	}
	if err := f.apply(ctx, inventory); err != nil {
		f.stop()
		return nil, err
	}
	return f, f.awaitReady(ctx)
}

// serve starts an HTTP server on a free loopback port and returns its URL. The server
// runs until stop.
func (f *fleet) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: fakeplatform.HeaderTimeout}
	f.servers = append(f.servers, s)
	go func() { _ = s.Serve(l) }()
	return "http://" + l.Addr().String(), nil
}

// startEndpoints starts the fake engines and the fake service. It returns the inventory
// in YAML: these endpoints, the workspaces and the rules.
func (f *fleet) startEndpoints() (string, error) {
	var b strings.Builder
	b.WriteString("failureDomains: [{id: a, region: north}, {id: b, region: north}]\nmodels: [{id: reader}]\nengines:\n")
	for i := range engineCount {
		e := &fakeengine.Engine{
			ID: lagoonhead.EndpointID(fmt.Sprintf("e%d", i+1)), Timer: f.timer, Slots: 16, Fenced: true,
			PrefillRate: 50_000, DecodeRate: 200, CacheBlocks: 100, LoadReportMaxAge: 100 * time.Millisecond,
		}
		url, err := f.serve(e)
		if err != nil {
			return "", err
		}
		f.engines = append(f.engines, e)
		fmt.Fprintf(&b, "  - {id: %s, model: reader, address: %q, failureDomain: %s, slots: 16, price: 2/h, fenced: true}\n", e.ID, url, failureDomain(i))
	}
	url, err := f.serve(f.service.Handler())
	if err != nil {
		return "", err
	}
	fmt.Fprintf(&b, `services:
  - id: crates
    routes:
      - {method: POST, path: /bookings, idempotent: false, keyRequired: true}
      - {method: GET, path: /availability, idempotent: true}
    endpoints: [{id: b1, address: %q, failureDomain: a, slots: 64, price: 0.1/h}]
workspaces:
  - {id: frontDesk, rate: 10ktok/s, burst: 100ktok, keys: [{id: k1, sha256: %x}]}
  - {id: tagger, rate: %dtok/s, burst: %dtok, keys: [{id: k2, sha256: %x}]}
rules:
  - {name: tagging, workspaces: [tagger], priority: deferrable}
`, url, sha256.Sum256([]byte(frontDeskKey)), taggerRate, taggerBurst, sha256.Sum256([]byte(taggerKey)))
	return b.String(), nil
}

// failureDomain returns the failure domain of engine or daemon i: a and b alternate.
func failureDomain(i int) string { return string(rune('a' + i%2)) }

// startDaemons runs the daemons until ctx ends. They share one resume key, so that each
// can resume streams that another one began.
func (f *fleet) startDaemons(ctx context.Context, platformURL string) error {
	resumeKey := strings.Repeat("5e", sha256.Size)
	for i := range daemonCount {
		m, s, err := f.newMember(i, platformURL)
		if err != nil {
			return err
		}
		f.daemons = append(f.daemons, m)
		d := &daemon.Daemon{Settings: s, Timer: f.timer, Log: zap.NewNop(), CallerListener: m.callerListener, ResumeKey: []byte(resumeKey)[:sha256.Size]}
		go func() {
			defer close(m.done)
			_ = d.Run(ctx) // Run returns an error after crash.
		}()
	}
	return nil
}

// newMember opens the caller listener of daemon i, picks free ports for its peer and
// operator listeners, and adds its VM to the platform's VM list. It returns the daemon,
// which isn't running yet, and its settings.
func (f *fleet) newMember(i int, platformURL string) (*member, settings.Settings, error) {
	s := settings.Default()
	s.VM = settings.VM{ID: lagoonhead.VMID(fmt.Sprintf("vm%d", i+1)), FailureDomain: lagoonhead.FailureDomain(failureDomain(i)), Region: "north"}
	s.Platform = settings.Platform{Store: platformURL, Ordering: platformURL, Usage: platformURL, VMs: platformURL}
	s.Drain = settings.Drain{Delay: 100 * time.Millisecond, InFlightTimeout: 5 * time.Second}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, s, err
	}
	if s.Listen.Peer, err = freeAddress(); err != nil {
		return nil, s, err
	}
	if s.Listen.Operator, err = freeAddress(); err != nil {
		return nil, s, err
	}
	f.platform.VMs.Set(lagoonhead.NewVM(s.VM.ID, s.VM.FailureDomain, s.Listen.Peer, false))
	return &member{callerListener: l, operatorAddress: s.Listen.Operator, done: make(chan struct{})}, s, nil
}

// freeAddress returns a loopback address with a free port. Another process may take the
// port before the daemon listens on it.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// operatorClient returns a client of the daemon's operator API.
func (m *member) operatorClient() operator.Commands {
	return operator.NewCommandsProtobufClient("http://"+m.operatorAddress, http.DefaultClient)
}

// apply sends the inventory to the first daemon until a majority of the VMs has accepted
// it.
func (f *fleet) apply(ctx context.Context, inventory string) error {
	return f.waitUntil(ctx, "the inventory is applied", func() bool {
		r, err := f.daemons[0].operatorClient().Apply(ctx, &operator.ApplyRequest{Yaml: inventory, WaitMs: commitWaitMs})
		return err == nil && r.GetAccepted()
	})
}

// awaitReady waits until every daemon reports that it is ready.
func (f *fleet) awaitReady(ctx context.Context) error {
	return f.waitUntil(ctx, "all daemons are ready", func() bool {
		for _, m := range f.daemons {
			resp, err := get(ctx, m.url()+"/readyz")
			if err != nil {
				return false
			}
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// waitUntil polls condition until it returns true. After startTimeout it returns an
// error with goal, which says in words what was waited for.
func (f *fleet) waitUntil(ctx context.Context, goal string, condition func() bool) error {
	deadline := f.timer.Now() + startTimeout
	for !condition() {
		if f.timer.Now() > deadline {
			return errors.Newf("%s: condition not met within %s", goal, startTimeout)
		}
		if err := f.timer.Sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	return nil
}

// stop drains the daemons and then closes the servers of the fakes.
func (f *fleet) stop() {
	f.cancel()
	for _, m := range f.daemons {
		<-m.done
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
}
