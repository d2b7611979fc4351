package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/fakeplatform"
	"github.com/lagoonhead/lagoonhead/platform"
	"github.com/lagoonhead/lagoonhead/platform/fakewire"
	"github.com/lagoonhead/lagoonhead/timer"
)

// platformFleet is a fake platform with endpoints, for daemons that run with -platform.
type platformFleet struct {
	kv                         *fakeplatform.KV
	storeAddress, cloudAddress string
	addresses                  map[string]string // by the ID of an endpoint
	// grace is the grace time of daemons that are started from now on.
	grace time.Duration
	// environment is added to that of daemons that are started from now on.
	environment []string
	// memoryMB and maxDescriptors are the limits of daemons that are started from now on; 0 means
	// those of fakewire.Settings.
	memoryMB, maxDescriptors int
	// program is the program of daemons that are started from now on; empty means the test binary.
	program string
	// maxBodyBytes is the limit on bodies of configurations that are written from now on; 0 means that
	// of fakewire.Configuration.
	maxBodyBytes int
	// version is the version of the configuration that was written last.
	version int64
}

func listenForTest(t *testing.T, h http.Handler) (address string) {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return strings.TrimPrefix(s.URL, "http://")
}

// newPlatformFleet starts the platform and the endpoints: engines, and others that serve bookings.
func newPlatformFleet(t *testing.T, endpoints ...*fakewire.Endpoint) *platformFleet {
	t.Helper()
	f := &platformFleet{kv: fakeplatform.NewKV(&timer.System{}), addresses: make(map[string]string), grace: 4 * time.Second}
	f.storeAddress, f.cloudAddress = listenForTest(t, (&fakewire.Store{KV: f.kv}).Handler()), listenForTest(t, new(fakewire.Cloud).Handler())
	f.configure(t)
	for _, e := range endpoints {
		service := "plain"
		if e.Stage != "" {
			service = "model"
		}
		f.addresses[e.ID] = listenForTest(t, e)
		f.put(t, platform.EndpointPrefix+e.ID, e.Registration(service, f.addresses[e.ID], "a", "ready"))
	}
	return f
}

func (f *platformFleet) put(t *testing.T, key string, value []byte) {
	t.Helper()
	_, err := f.kv.Put(t.Context(), lagoonhead.PutRequest{Key: key, Value: value, IfRevision: lagoonhead.AnyRevision})
	require.NoError(t, err)
}

// configure writes the next version of the configuration, which has other timeouts than the last.
func (f *platformFleet) configure(t *testing.T) {
	t.Helper()
	f.configureWith(t, 0)
}

// configureWith is like configure, with the given number of further routes.
func (f *platformFleet) configureWith(t *testing.T, routes int) {
	t.Helper()
	f.version++
	timeout := 3*time.Second + time.Duration(f.version%2)*time.Second
	list := []fakewire.Route{
		{Name: "book", Kind: "non_idempotent", Service: "plain", MaxAttempts: 1, Timeout: timeout},
		{Name: "read", Kind: "streaming", Service: "model", MaxAttempts: 3, Resumable: true, Timeout: timeout},
		{Name: "tag", Kind: "streaming", Service: "model", MaxAttempts: 1, Timeout: timeout},
	}
	for i := range routes {
		list = append(list, fakewire.Route{Name: fmt.Sprint("more-", i), Kind: "idempotent", Service: "plain", MaxAttempts: 2, Timeout: timeout})
	}
	f.put(t, platform.ConfigurationKey, fakewire.Configuration{
		Version: f.version, EngineService: "model", PlainService: "plain", Keys: []string{frontDeskKey},
		IdleTimeout: 10*time.Second + time.Duration(f.version%3)*5*time.Second,
		Routes:      list, MaxBodyBytes: f.maxBodyBytes,
	}.Encode())
}

// startDaemon starts a daemon and waits until it is ready. Its address is that for callers.
func (f *platformFleet) startDaemon(t *testing.T, name string) *process {
	t.Helper()
	ports := freePorts(t, 3)
	settings := fakewire.Settings{
		VM: name, IP: "127.0.0.1", FailureDomain: "a", Callers: ports[0], Ready: ports[1], Peers: ports[2],
		Store: f.storeAddress, Cloud: f.cloudAddress, Grace: f.grace, MemoryMB: f.memoryMB, MaxDescriptors: f.maxDescriptors,
	}.Encode()
	p := newProcess("daemon", name, "-platform")
	if f.program != "" {
		p.cmd.Path = f.program
	}
	p.address = ports[0]
	p.cmd.Env = append(p.cmd.Env, f.environment...)
	p.cmd.Env = append(p.cmd.Env, platform.SettingsVariable+"="+writeFile(t, "settings.json", string(settings)))
	log, err := p.cmd.StdoutPipe()
	require.NoError(t, err)
	p.log = log
	p.start(t)
	go func() { _, _ = io.Copy(p.output, log) }() // until the process ends or log is closed
	eventually(t, "the daemon is ready", func() bool {
		r, err := http.Get("http://" + ports[1] + "/-/readyz") //nolint:noctx // The address is a child process on loopback.
		if err != nil {
			return false
		}
		r.Body.Close()
		return r.StatusCode == http.StatusOK
	})
	return p
}
