package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// streams is the number of streams, and streamInterval the time between two of them.
	streams        = 20
	streamInterval = 30 * time.Millisecond
	// decodeMemory is the memory of an engine in tokens, and tokensOfEvent the number of tokens of an event. Ten
	// prompts fit, and grow beyond the memory.
	decodeMemory, tokensOfEvent = 4100, 30
	// slowEventTime is the time between two events of an engine. It is below the pause that the route allows.
	slowEventTime = 250 * time.Millisecond
	// stopAfter is when the daemon is stopped, after the last stream has begun.
	stopAfter = 300 * time.Millisecond
)

// silentMove stops a daemon while the engines have preempted some of its streams, since their memory ran out.
func silentMove(f *fleet, trouble bool) (broken []string) {
	for _, n := range []string{"vm-a", "vm-b", "vm-c"} {
		f.newDaemon(n)
	}
	f.writeSettings()
	f.memory = decodeMemory
	f.configure([]string{key}, checkRoute())
	f.newModelEngine(&modelEngine{id: "reads-1", stage: "prefill"})
	for _, id := range []string{"full-1", "full-2"} {
		f.newModelEngine(&modelEngine{id: id, stage: "decode", eventTime: slowEventTime, memory: decodeMemory, eventTokens: tokensOfEvent})
	}
	for _, d := range f.daemons {
		f.start(d)
	}
	for _, d := range f.daemons {
		f.awaitReady(d)
	}
	time.Sleep(settleTime)
	var wait sync.WaitGroup
	var mu sync.Mutex
	cut := 0
	var stopped time.Time
	a := f.daemons[0]
	for i := range streams {
		id := fmt.Sprint("stream-", i+1)
		wait.Go(func() {
			sentAt := time.Now()
			status, events, err := a.stream(id)
			f.add("request %s, sent at %.3f s: status %d, %d events, error %v, after %.3f s", id, sentAt.Sub(f.began).Seconds(), status, events, err, time.Since(sentAt).Seconds())
			mu.Lock()
			defer mu.Unlock()
			if status == statusOK && events < modelEvents && time.Since(sentAt) < 4*time.Second {
				cut++
			}
		})
		time.Sleep(streamInterval)
	}
	time.Sleep(stopAfter)
	if trouble {
		f.add("%s gets SIGTERM", a.name)
		check(a.command.Process.Signal(syscall.SIGTERM))
		stopped = time.Now()
	}
	wait.Wait()
	f.add("%d streams were cut off, planned stop: %t", cut, !stopped.IsZero())
	if cut > 0 && trouble {
		broken = append(broken, fmt.Sprintf("LOST: a daemon that was stopped cut off %d of %d streams at which its engine was still at work", cut, streams))
	}
	return broken
}

// stream requests a stream and returns its status and the number of its whole events.
func (d *daemon) stream(id string) (status, events int, err error) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+d.callers+"/check/x", strings.NewReader(strings.Repeat("prompt ", 100)))
	check(err)
	r.Host = host
	for k, v := range map[string]string{
		"X-Request-Id": id, "X-Deadline-Ms": "5000", "Authorization": "Bearer " + key, "X-Model": "m", "X-Token-Count": fmt.Sprintf("%d,%d", promptTokens, modelEvents*tokensOfEvent),
		"X-Prefix-Hash": "5c1e07a2:92," + id + ":291",
	} {
		r.Header.Set(k, v)
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.Count(string(body), "\n\n"), err
}
