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

// alive returns how many engines answer a request for their load.
func (f *fleet) alive(t *testing.T) int {
	t.Helper()
	n := 0
	for _, e := range f.engines {
		if getStatus(t, e.url()+"/lagoonhead/load") == http.StatusOK {
			n++
		}
	}
	return n
}

// maxCrashes is the maximum number of engines that one request may crash: after the first
// crash it is a suspect, after the second one it is rejected.
const maxCrashes = 2

// Guards against a request that crashes every engine that runs it and that its caller sends
// again and again, each time to another daemon: it must be rejected after the second crash,
// and requests of other callers must be answered meanwhile.
func TestPoisonousRequestCostsFewEngines(t *testing.T) {
	f := newFleet(t, 6, 3)
	ctx, cancel := context.WithCancel(t.Context())
	var wait sync.WaitGroup
	refused := make(chan struct{}, 1)
	wait.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			e := readStream(ctx, f.daemons[i%3], branchKey, streamBody(poison, 50), "", nil)
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
			e := readStream(t.Context(), f.daemons[i%3], frontDeskKey, streamBody(text, 20), "", nil)
			return e.done && e.text.String() == expected(t, text, 20)
		})
	}
	<-refused
	cancel()
	wait.Wait()
	require.GreaterOrEqual(t, f.alive(t), len(f.engines)-maxCrashes)
}

// Guards against requests that are cut off by a rolling restart of all daemons. New requests
// go to ready daemons only, as with a load balancer.
func TestRollingRestartCutsNoRequest(t *testing.T) {
	f := newFleet(t, 2, 3)
	for i := range f.daemons {
		others := &fleet{daemons: []*process{f.daemons[(i+1)%3], f.daemons[(i+2)%3]}}
		tr := others.startTraffic(t, 4, shortStream)
		old := f.daemons[i]
		stream := make(chan *events, 1)
		began := make(chan struct{})
		go func() {
			once := sync.OnceFunc(func() { close(began) })
			stream <- readStream(context.Background(), old, frontDeskKey, streamBody("rolling", 400), "", func(*events) bool {
				once()
				return false
			})
		}()
		<-began
		old.signal(t, syscall.SIGTERM)
		e := <-stream
		require.True(t, e.done, e.failure)
		require.Equal(t, expected(t, "rolling", 400), e.text.String())
		require.NoError(t, old.cmd.Wait())
		f.daemons[i] = f.startDaemon(t, i)
		f.awaitReady(t)
		tr.finish(t)
	}
}
