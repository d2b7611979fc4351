package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/fakeengine"
	"github.com/lagoonhead/lagoonhead/fakeplatform"
	"github.com/lagoonhead/lagoonhead/fakeservice"
	"github.com/lagoonhead/lagoonhead/freeport"
	"github.com/lagoonhead/lagoonhead/timer"
)

// poison is a prompt that crashes each fake engine that runs it.
const poison = "crash every engine"

// modeVariable is the environment variable that makes the test binary run as one of the
// processes of a fleet: daemon, platform, engine or service.
const modeVariable = "LAGOONHEAD_TEST_PROCESS"

func TestMain(m *testing.M) {
	switch os.Getenv(modeVariable) {
	case "":
		os.Exit(m.Run())
	case "daemon":
		os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
	case "platform":
		serveFake(fakeplatform.New(&timer.System{}, 0).Handler())
	case "engine":
		serveFake(newFakeEngine())
	case "service":
		serveFake((&fakeservice.Service{Timer: &timer.System{}}).Handler())
	}
}

// newFakeEngine returns the engine whose ID is the first argument. Only e3 is without
// fencing, as the inventory of the fleet says.
func newFakeEngine() http.Handler {
	e := &fakeengine.Engine{
		ID: lagoonhead.EndpointID(os.Args[1]), Timer: &timer.System{}, Slots: 64, Fenced: os.Args[1] != "e3",
		PrefillRate: 1e6, DecodeRate: 400, CacheBlocks: 100, LoadReportMaxAge: 100 * time.Millisecond, ChangeDuration: 300 * time.Millisecond,
	}
	e.OnCrash = func() { os.Exit(1) }
	e.SetFaults(fakeengine.Faults{CrashPrompt: poison})
	return e
}

// serveFake serves on a free port, which it prints, and never returns.
func serveFake(h http.Handler) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println("listening on", l.Addr())
	s := &http.Server{Handler: h, ReadHeaderTimeout: fakeplatform.HeaderTimeout}
	panic(s.Serve(l))
}

// process is a child process of the test.
type process struct {
	name    string
	cmd     *exec.Cmd
	address string
	// output is the standard error, and of a daemon with -platform the log too.
	output *lockedBuffer
	// log is the reader of the log of a daemon with -platform.
	log io.Closer
	// terminated and ended are when a soak sent SIGTERM, and when the process had ended.
	terminated, ended time.Time
}

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// startTimeout is the maximum time for the start of a process, and for each condition that a
// test waits for. It is long enough for a busy machine.
const startTimeout = time.Minute

// newProcess returns a process that will run the test binary in the given mode.
func newProcess(mode, name string, args ...string) *process {
	p := &process{name: name, cmd: exec.Command(os.Args[0], args...), output: &lockedBuffer{}}
	p.cmd.Env = append(os.Environ(), modeVariable+"="+mode)
	p.cmd.Stderr = p.output
	return p
}

// start starts the process, which is stopped at the end of the test.
func (p *process) start(t *testing.T) {
	t.Helper()
	require.NoError(t, p.cmd.Start())
	t.Cleanup(func() { p.stop(t) })
}

// startProcess runs the test binary in the given mode and waits until it listens.
func startProcess(t *testing.T, mode, name string, args ...string) *process {
	t.Helper()
	p := newProcess(mode, name, args...)
	p.startListening(t)
	return p
}

// startListening starts the process and waits until it listens.
func (p *process) startListening(t *testing.T) {
	t.Helper()
	out, err := p.cmd.StdoutPipe()
	require.NoError(t, err)
	p.start(t)
	address := make(chan string, 1)
	go func() {
		s := bufio.NewScanner(out)
		for s.Scan() {
			if a, ok := strings.CutPrefix(s.Text(), "listening on "); ok {
				address <- a
			}
		}
	}()
	select {
	case p.address = <-address:
	case <-time.After(startTimeout):
		require.FailNow(t, "process did not start", "%s: %s", p.name, p.output)
	}
}

func (p *process) signal(t *testing.T, s os.Signal) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Signal(s))
}

// stop kills the process and fails the test if the race detector has reported a data race.
func (p *process) stop(t *testing.T) {
	if p.cmd.ProcessState == nil {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	}
	if strings.Contains(p.output.String(), "DATA RACE") {
		t.Errorf("%s has a data race", p.name)
	}
	if t.Failed() {
		t.Logf("%s:\n%s", p.name, p.output)
	}
}

func (p *process) url() string { return "http://" + p.address }

// postJSON sends a POST request with JSON and decodes the response into out if that is not
// nil.
func postJSON(t *testing.T, url string, in, out any) {
	t.Helper()
	body, err := json.Marshal(in)
	require.NoError(t, err)
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader(body))
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	if out != nil {
		require.NoError(t, json.NewDecoder(resp.Body).Decode(out))
	}
}

// freePorts returns n loopback addresses whose ports were free when they were checked.
func freePorts(t *testing.T, n int) []string {
	t.Helper()
	var list []string
	for range n {
		address, err := freeport.Find()
		require.NoError(t, err)
		list = append(list, address)
	}
	return list
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// eventually waits until f returns true. The timeout only ends a test that would hang.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	require.Eventually(t, f, startTimeout, 20*time.Millisecond, what)
}
