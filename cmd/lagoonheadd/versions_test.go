package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead/platform/fakewire"
)

// Guards against streams that go on at another software version, or not at all, after the daemon at
// which they began was killed.
func TestStreamsOfAKilledDaemonGoOnAtTheirVersion(t *testing.T) {
	const streams, daemons = 48, 3
	var engines []*fakewire.Endpoint
	for id, software := range map[string]string{"m1": "v1", "m2": "v1", "n1": "v1.1", "n2": "v1.1", "n3": "v1.1"} {
		engines = append(engines, &fakewire.Endpoint{ID: id, Stage: "both", Software: software, Events: soakEvents, Pause: 50 * time.Millisecond})
	}
	f := newPlatformFleet(t, engines...)
	var list [daemons]*process
	for i := range list {
		list[i] = f.startDaemon(t, vmName(i))
	}
	for i, p := range list {
		for j := range list {
			seen := fmt.Sprintf(`"msg":"peer seen","vm":%q,"peer":%q`, vmName(i), vmName(j))
			require.Eventually(t, func() bool { return strings.Contains(p.output.String(), seen) }, startTimeout, 10*time.Millisecond, seen)
		}
	}
	all := make([]*fakewire.Stream, streams)
	for i := range all {
		all[i] = &fakewire.Stream{Path: fmt.Sprint("/read/", i), Header: http.Header{
			"Authorization": {"Bearer " + frontDeskKey}, "X-Deadline-Ms": {strconv.FormatInt(soakDeadline.Milliseconds(), 10)},
		}}
	}
	send := func(attempt string, to func(i int) *process) (answers [streams]fakewire.StreamAnswer) {
		var w sync.WaitGroup
		for i, s := range all {
			w.Go(func() { answers[i] = s.Send(t.Context(), to(i).address, fmt.Sprint(attempt, " ", i), 0) })
		}
		w.Wait()
		return answers
	}
	killed := make(chan struct{})
	go func() {
		defer close(killed)
		for began := time.Now(); time.Since(began) < startTimeout; time.Sleep(time.Millisecond) {
			n := 0
			for _, e := range engines {
				n += len(e.Runs())
			}
			if n == streams {
				break
			}
		}
		time.Sleep(600 * time.Millisecond)              // each stream has an event by then, and lasts a second
		_ = list[0].cmd.Process.Signal(syscall.SIGKILL) // it shows in the streams if it has not ended
	}()
	for i, a := range send("first", func(int) *process { return list[0] }) {
		require.Error(t, a.Err, "the daemon was killed")
		require.NotZero(t, all[i].Last)
	}
	<-killed
	_ = list[0].cmd.Wait() // it was killed
	list[0] = f.startDaemon(t, vmName(0))
	served := 0
	for i, a := range send("second", func(i int) *process { return list[i%daemons] }) {
		s := all[i]
		require.Empty(t, s.Gap)
		require.Len(t, s.Software, 1, "%s went on at daemon %d", s.Path, i%daemons)
		if a.Status != http.StatusOK {
			require.Equal(t, http.StatusServiceUnavailable, a.Status)
			require.NotEmpty(t, a.Header.Get("Retry-After"))
			continue
		}
		require.True(t, s.Ended, "%v", a.Err)
		if i%daemons > 0 {
			served++
		}
	}
	require.GreaterOrEqual(t, served, streams/daemons, "half of the streams taken up at daemons that were not killed")
}
