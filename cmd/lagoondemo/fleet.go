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
	// frontDeskKey and taggerKey are keys of the two workspaces.
	frontDeskKey = "lh-front-desk-0000000000000000"
	taggerKey    = "lh-tagger-00000000000000000000"
	// taggerRate and taggerBurst are the quota of the small workspace.
	taggerRate  = 100
	taggerBurst = 400

	engineCount = 4
	daemonCount = 3
	startLimit  = 20 * time.Second
	pollTime    = 50 * time.Millisecond
	applyWaitMs = 10_000
)

// fleet is everything that runs in the demo.
type fleet struct {
	timer    *timer.Service
	platform *fakeplatform.Platform
	engines  []*fakeengine.Engine
	service  *fakeservice.Service
	servers  []*http.Server
	daemons  []*member
	cancel   context.CancelFunc
}

// member is one daemon.
type member struct {
	listener net.Listener
	operator string
	done     chan struct{}
}

func (m *member) url() string { return "http://" + m.listener.Addr().String() }

// lose ends the daemon at once, as a crash of its VM does: closing the listener makes
// it stop without a drain.
func (m *member) lose() {
	m.listener.Close()
	<-m.done
}

func startFleet(ctx context.Context) (*fleet, error) {
	tm := &timer.Service{}
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

// serve starts a server on loopback and returns its URL.
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

// startEndpoints starts the stand-ins and returns the inventory that lists them.
func (f *fleet) startEndpoints() (string, error) {
	var b strings.Builder
	b.WriteString("failureDomains: [{id: a, region: north}, {id: b, region: north}]\nmodels: [{id: reader}]\nengines:\n")
	for i := range engineCount {
		e := &fakeengine.Engine{
			ID: lagoonhead.EndpointID(fmt.Sprintf("e%d", i+1)), Timer: f.timer, Slots: 16, Fenced: true,
			PrefillRate: 50_000, DecodeRate: 200, CacheBlocks: 100, LoadLag: 100 * time.Millisecond,
		}
		url, err := f.serve(e)
		if err != nil {
			return "", err
		}
		f.engines = append(f.engines, e)
		fmt.Fprintf(&b, "  - {id: %s, model: reader, address: %q, failureDomain: %s, slots: 16, price: 2/h, fenced: true}\n", e.ID, url, domain(i))
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

func domain(i int) string { return string(rune('a' + i%2)) }

func (f *fleet) startDaemons(ctx context.Context, platformURL string) error {
	key := strings.Repeat("5e", sha256.Size)
	for i := range daemonCount {
		m, s, err := f.settings(i, platformURL)
		if err != nil {
			return err
		}
		f.daemons = append(f.daemons, m)
		d := &daemon.Daemon{Settings: s, Timer: f.timer, Log: zap.NewNop(), CallerListener: m.listener, ResumeKey: []byte(key)[:sha256.Size]}
		go func() {
			defer close(m.done)
			_ = d.Run(ctx) // a daemon that is lost ends with an error
		}()
	}
	return nil
}

// settings returns the settings of one daemon on free ports and lists its VM.
func (f *fleet) settings(i int, platformURL string) (*member, settings.Settings, error) {
	s := settings.Default()
	s.VM = settings.VM{ID: lagoonhead.VMID(fmt.Sprintf("vm%d", i+1)), FailureDomain: lagoonhead.FailureDomain(domain(i)), Region: "north"}
	s.Platform = settings.Platform{Store: platformURL, Ordering: platformURL, Usage: platformURL, VMs: platformURL}
	s.Drain = settings.Drain{Lag: 100 * time.Millisecond, Max: 5 * time.Second}
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
	return &member{listener: l, operator: s.Listen.Operator, done: make(chan struct{})}, s, nil
}

// freeAddress returns a loopback address that was free a moment ago.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// commands returns the operators' interface of a daemon.
func (m *member) commands() operator.Commands {
	return operator.NewCommandsProtobufClient("http://"+m.operator, http.DefaultClient)
}

func (f *fleet) apply(ctx context.Context, inventory string) error {
	return f.until(ctx, "the inventory is applied", func() bool {
		r, err := f.daemons[0].commands().Apply(ctx, &operator.ApplyRequest{Yaml: inventory, WaitMs: applyWaitMs})
		return err == nil && r.GetAccepted()
	})
}

func (f *fleet) awaitReady(ctx context.Context) error {
	return f.until(ctx, "all daemons are ready", func() bool {
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

// until waits until f returns true.
func (f *fleet) until(ctx context.Context, what string, done func() bool) error {
	end := f.timer.Now() + startLimit
	for !done() {
		if f.timer.Now() > end {
			return errors.Newf("%s: not within %s", what, startLimit)
		}
		if err := f.timer.Sleep(ctx, pollTime); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) stop() {
	f.cancel()
	for _, m := range f.daemons {
		<-m.done
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
}
