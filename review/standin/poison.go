package main

import (
	"fmt"
	"slices"
	"time"
)

// poison plays a request that crashes each engine that begins to run it, and that comes again
// with the same path, caller and body at any machine.
func poison(f *fleet, trouble bool) (verdict, error) {
	const (
		// playTime is how long the request keeps coming, and interval the time between two of
		// its tries at one daemon.
		playTime = 36 * time.Second
		interval = 9 * time.Second
		// crashAfter is how long the request runs until the engine crashes.
		crashAfter = 5 * time.Millisecond
		work       = 20 * time.Millisecond
		path       = "/ask/poison"
		// contactTime is contact_ms, and allowed the number of tries that the rule allows later
		// than that after the third crash.
		contactTime = 3 * time.Second
		allowed     = 3
	)
	var engines []*engine
	for i := range 12 {
		e := &engine{id: fmt.Sprintf("engine-%d", i+1), stage: "decode", work: work, events: 3, crashAfter: crashAfter}
		if i >= 8 {
			e.stage = "prefill"
		}
		if trouble {
			e.crashPath = path
		}
		engines = append(engines, e)
	}
	if err := f.startEngines(engines...); err != nil {
		return verdict{}, err
	}
	if err := f.configure(modelService, route("ask", "streaming", "backend", 1)); err != nil {
		return verdict{}, err
	}
	if err := f.startDaemons(3); err != nil {
		return verdict{}, err
	}
	others := &traffic{record: f.record, method: "POST", path: "/ask/question/", body: "question", header: promptHeader}
	for _, d := range f.daemons {
		others.start(d, 2*clientsPerDaemon)
	}
	time.Sleep(settleTime)
	bad := &traffic{
		record: f.record, method: "POST", path: path, fixedPath: true, body: "poison", prefix: "p", pause: interval,
		header: func(int64) string {
			return "X-Model: m\r\nX-Token-Count: 291,3\r\nX-Prefix-Hash: 0fffffff:291\r\n"
		},
	}
	for _, d := range f.daemons {
		bad.start(d, 1)
		time.Sleep(interval / time.Duration(len(f.daemons)))
	}
	time.Sleep(playTime)
	tries := bad.finish()
	requests := others.finish()
	reached := make(map[string]bool)
	var crashes []time.Time
	for _, e := range engines {
		for _, a := range e.seen() {
			reached[a.id] = true
		}
		crashes = append(crashes, e.crashes...)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	cut := 0
	for _, s := range requests {
		if reached[s.id] && (s.status != 200 || !s.complete) {
			cut++
		}
	}
	var late []string
	for _, s := range tries {
		if len(crashes) >= 3 && reached[s.id] && s.at.After(crashes[2].Add(contactTime)) {
			late = append(late, fmt.Sprintf("%s, the request that crashes engines, was sent %s after the third crash and reached an engine",
				s.id, s.at.Sub(crashes[2]).Round(time.Millisecond)))
		}
	}
	v := verdict{summary: fmt.Sprintf("%d tries of the request, %d crashes, %d tries reached an engine too late; %d of %d other streams ran and were cut off or not answered",
		len(tries), len(crashes), len(late), cut, len(requests))}
	if len(late) > allowed {
		v.broken = late
	}
	return v, nil
}
