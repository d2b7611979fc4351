package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// settleTime is how long the daemons run before the first request.
	settleTime = 4 * time.Second
	// workTime is how long an engine works on a booking.
	workTime = 60 * time.Millisecond
	// cutInterval is the time between two moments at which the store cuts the watches that wait.
	cutInterval = 2 * time.Second
	// cutsEnd is when the store cuts no more watches, since the first request.
	cutsEnd = 16 * time.Second
	// leaveTime is when the engine leaves, since the first request, and serveOn how long it serves on.
	leaveTime, serveOn = 5300 * time.Millisecond, 8 * time.Second
	// loadEnd is the time of the last request, since the first.
	loadEnd = 18 * time.Second
	// requestInterval is the time between two requests to a daemon.
	requestInterval = 25 * time.Millisecond
)

// cutWatches lets an engine leave without a report that it drains, while the store now and then cuts the
// watches that wait.
func cutWatches(f *fleet, trouble bool) (broken []string) {
	e := f.startBookings("vm-a", "vm-b", "vm-c")
	began := time.Now()
	clients := f.loadAll(began.Add(loadEnd))
	if trouble {
		go func() {
			for time.Since(began) < cutsEnd {
				f.store.cutWatches("")
				f.add("the store cuts the watches that wait")
				time.Sleep(cutInterval)
			}
		}()
	}
	time.Sleep(time.Until(began.Add(leaveTime)))
	e.leave()
	left := time.Now()
	f.add("the store acknowledges that engine %s is gone; it serves on for %s", e.id, serveOn)
	time.Sleep(serveOn)
	e.exit()
	f.add("engine %s exits", e.id)
	answers := awaitAnswers(clients)
	return f.judgeLeaving(e, left, left.Add(drainFor), answers)
}

// startBookings starts daemons with three engines of the plain service, and returns that which is to leave.
func (f *fleet) startBookings(names ...string) *engine {
	for _, n := range names {
		f.newDaemon(n)
	}
	f.writeSettings()
	f.configure([]string{key}, newRoute("book", "non_idempotent", "booking", 1))
	f.newEngine("stays-1", workTime)
	f.newEngine("stays-2", workTime)
	e := f.newEngine("leaves-1", workTime)
	for _, d := range f.daemons {
		f.start(d)
	}
	for _, d := range f.daemons {
		f.awaitReady(d)
	}
	time.Sleep(settleTime)
	return e
}

// loadAll sends bookings to all daemons until a time.
func (f *fleet) loadAll(until time.Time) (clients []*client) {
	for _, d := range f.daemons {
		c := newClient(d.callers, key)
		clients = append(clients, c)
		c.wait.Go(func() { c.load("book", d.name, requestInterval, until) })
	}
	return clients
}

// awaitAnswers returns the requests of clients by their identifiers once all are answered.
func awaitAnswers(clients []*client) map[string]sent {
	answers := make(map[string]sent)
	for _, c := range clients {
		c.wait.Wait()
		for id, s := range c.answers() {
			answers[id] = s
		}
	}
	return answers
}

// judgeLeaving records the requests that an engine ran although they were sent after bound, where left is
// when the store had acknowledged that it is gone, and returns what is broken.
func (f *fleet) judgeLeaving(e *engine, left, bound time.Time, answers map[string]sent) []string {
	f.recordRequests(answers)
	late, lost := 0, 0
	var last time.Duration
	for _, r := range e.ran() {
		s, ok := answers[r.id]
		if !ok || !s.at.After(bound) {
			continue
		}
		late++
		last = max(last, s.at.Sub(left))
		if s.status != statusOK {
			lost++
		}
		f.add("engine %s ran request %s, sent %.3f s after the engine was gone, answered with status %d", e.id, s.id, s.at.Sub(left).Seconds(), s.status)
	}
	f.add("engine %s ran %d requests that were sent too late, of which %d got no answer", e.id, late, lost)
	if late == 0 {
		return nil
	}
	return []string{fmt.Sprintf("DRAIN: engine %s got %d requests that clients sent later than the bound after the store had acknowledged that it is gone, "+
		"the last %.3f s after; %d of them got no answer of an engine, since it exited", e.id, late, last.Seconds(), lost)}
}

// recordRequests records what was sent, answered and run, in the order in which it was sent.
func (f *fleet) recordRequests(answers map[string]sent) {
	ran := make(map[string][]string)
	for _, e := range f.engines {
		for _, r := range e.ran() {
			ran[r.id] = append(ran[r.id], fmt.Sprintf("%s at %.3f s", e.id, r.at.Sub(f.began).Seconds()))
		}
	}
	list := slices.SortedFunc(maps.Values(answers), func(a, b sent) int { return a.at.Compare(b.at) })
	for _, s := range list {
		f.add("request %s: sent at %.3f s, status %d after %.3f s, error %v, ran: %s", s.id, s.at.Sub(f.began).Seconds(), s.status, s.took.Seconds(), s.err, strings.Join(ran[s.id], ", "))
	}
}
