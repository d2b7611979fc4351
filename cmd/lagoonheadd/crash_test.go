package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// alive returns how many engines still answer.
func (f *fleet) alive(t *testing.T) int {
	t.Helper()
	n := 0
	for _, e := range f.engines {
		if status(t, e.url()+"/lagoonhead/load") == http.StatusOK {
			n++
		}
	}
	return n
}

// maxCrashes is the number of engines that one poisonous request may cost: the first
// crash makes it a suspect, the second one proves it.
const maxCrashes = 2

// Guards against a request that crashes every engine that runs it and is sent again
// and again, each time to another daemon: it must be refused after the second crash,
// and innocent requests beside it must be answered.
func TestPoisonousRequestCostsFewEngines(t *testing.T) {
	f := newFleet(t, 6, 3)
	ctx, cancel := context.WithCancel(t.Context())
	var wait sync.WaitGroup
	refused := make(chan struct{}, 1)
	wait.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			e := read(ctx, f.daemons[i%3], branchKey, streamBody(poison, 50), "", nil)
			if e.status == http.StatusForbidden && e.run == "no" {
				select {
				case refused <- struct{}{}:
				default:
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	for i := range 60 {
		text := fmt.Sprintf("innocent %d", i)
		eventually(t, text+" is answered", func() bool {
			e := read(t.Context(), f.daemons[i%3], frontDeskKey, streamBody(text, 20), "", nil)
			return e.done && e.text.String() == expected(t, text, 20)
		})
	}
	<-refused
	cancel()
	wait.Wait()
	require.GreaterOrEqual(t, f.alive(t), len(f.engines)-maxCrashes)
}

// Guards against a rolling restart of all daemons that cuts a request: callers use
// ready daemons only, as the balancer does.
func TestRollingRestartCutsNoRequest(t *testing.T) {
	f := newFleet(t, 2, 3)
	for i := range f.daemons {
		others := &fleet{daemons: []*process{f.daemons[(i+1)%3], f.daemons[(i+2)%3]}}
		tr := others.traffic(t, 4, shortStream)
		old := f.daemons[i]
		stream := make(chan *events, 1)
		began := make(chan struct{})
		go func() {
			once := sync.OnceFunc(func() { close(began) })
			stream <- read(context.Background(), old, frontDeskKey, streamBody("rolling", 400), "", func(*events) bool {
				once()
				return false
			})
		}()
		<-began
		old.signal(t, syscall.SIGTERM)
		e := <-stream
		require.True(t, e.done, e.failed)
		require.Equal(t, expected(t, "rolling", 400), e.text.String())
		require.NoError(t, old.cmd.Wait())
		f.daemons[i] = f.startDaemon(t, i)
		f.awaitReady(t)
		tr.end(t)
	}
}
