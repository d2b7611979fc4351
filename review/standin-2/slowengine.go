package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// prefillEngines and otherEngines are the numbers of engines that prefill, and of those that decode besides
	// the slow one.
	prefillEngines, otherEngines = 3, 4
	// manyStreams is the number of streams.
	manyStreams = 24
	// soundEventTime is the time between two events of a sound engine. It is below the pause that the route allows.
	soundEventTime = 190 * time.Millisecond
	// slowFactor is how many times as long a slow engine works, and slowFor for how long.
	slowFactor, slowFor = 8, 5 * time.Second
	// slowAfter is when the engine becomes slow, after the first stream has begun.
	slowAfter = 900 * time.Millisecond
	// handOverTime is how long the engine before may still work on a request that goes on at another one.
	handOverTime = 400 * time.Millisecond
)

// slowEngine makes an engine slow that goes on with streams whose connection was closed.
func slowEngine(f *fleet, trouble bool) (broken []string) {
	for _, n := range []string{"vm-a", "vm-b", "vm-c"} {
		f.newDaemon(n)
	}
	f.writeSettings()
	f.configure([]string{key}, checkRoute())
	for i := range prefillEngines {
		f.newModelEngine(&modelEngine{id: fmt.Sprint("reads-", i+1), stage: "prefill"})
	}
	var others []*modelEngine
	for i := range otherEngines {
		others = append(others, f.newModelEngine(&modelEngine{id: fmt.Sprint("other-", i+1), stage: "decode", eventTime: soundEventTime}))
	}
	slow := f.newModelEngine(&modelEngine{id: "slow-1", stage: "decode", eventTime: soundEventTime, stays: true})
	for _, d := range f.daemons {
		f.start(d)
	}
	for _, d := range f.daemons {
		f.awaitReady(d)
	}
	time.Sleep(settleTime)
	var wait sync.WaitGroup
	for i := range manyStreams {
		d, id := f.daemons[i%len(f.daemons)], fmt.Sprint("stream-", i+1)
		wait.Go(func() {
			sentAt := time.Now()
			status, events, err := d.stream(id)
			f.add("request %s, sent at %.3f s to %s: status %d, %d events, error %v, after %.3f s", id, sentAt.Sub(f.began).Seconds(), d.name, status, events, err, time.Since(sentAt).Seconds())
		})
		time.Sleep(streamInterval)
	}
	if trouble {
		time.Sleep(slowAfter - manyStreams*streamInterval)
		slow.slowness.Store(slowFactor)
		f.add("engine %s works %d times as long", slow.id, slowFactor)
		time.Sleep(slowFor)
		slow.slowness.Store(1)
		f.add("engine %s works as before", slow.id)
	}
	wait.Wait()
	time.Sleep(soundEventTime * modelEvents)
	twice := 0
	for i := range manyStreams {
		id := fmt.Sprint("stream-", i+1)
		worked := slow.lastWork(id)
		for _, e := range others {
			began := e.beginning(id)
			if began.IsZero() || worked.Sub(began) <= handOverTime || slow.beginning(id).After(began) {
				continue
			}
			twice++
			f.add("request %s went on at %s at %.3f s; %s still worked on it %.3f s later", id, e.id, began.Sub(f.began).Seconds(), slow.id, worked.Sub(began).Seconds())
		}
	}
	f.add("%d requests went on at another engine while the one before still worked on them over %s later", twice, handOverTime)
	if twice > 0 {
		broken = append(broken, fmt.Sprintf("TWICE: %d of %d streams went on at another engine while the one before still worked on them over 400 ms later", twice, manyStreams))
	}
	return broken
}

// checkRoute returns a route of streams that may be resumed, like that of the deployment.
func checkRoute() route {
	r := newRoute("check", "streaming", "model", 2)
	r["resumable"], r["slo_ms"], r["timeout_ms"] = true, 600, 5000
	return r
}

// beginning returns when the engine began to work on a request, or zero.
func (e *modelEngine) beginning(id string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.began[id]
}

// lastWork returns when the engine last made an event of a request, or zero.
func (e *modelEngine) lastWork(id string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.worked[id]
}
