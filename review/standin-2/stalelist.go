package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// rounds is how often an engine leaves.
	rounds = 8
	// resendTime is how long a lost packet takes to arrive: the shortest time of TCP until it is sent again,
	// with the time of the answer.
	resendTime = 220 * time.Millisecond
	// leaveAfterList is when the engine leaves after the store has answered the list of engines.
	leaveAfterList = 5 * time.Millisecond
	// serveOnRound is how long an engine serves on in a round.
	serveOnRound = 7 * time.Second
)

// staleList lets an engine leave while the answer to a daemon's list of engines is under way, after a packet
// of that answer was lost. The daemon lists the engines because the store has cut its watch.
func staleList(f *fleet, trouble bool) (broken []string) {
	e := f.startBookings("vm-a", "vm-b", "vm-c")
	a := f.daemons[0]
	for i := range rounds {
		if i > 0 {
			e = f.newEngine(fmt.Sprintf("leaves-%d", i+1), workTime)
			time.Sleep(time.Second)
		}
		c := newClient(a.callers, key)
		answered := make(chan struct{}, 1)
		a.link.setOnAnswer(func(request string) time.Duration {
			if !strings.HasPrefix(request, "GET /-/kv-range?path_prefix=servers%2F ") {
				return 0
			}
			select {
			case answered <- struct{}{}:
			default:
			}
			if !trouble {
				return 0
			}
			f.add("a packet of the answer to vm-a's list of engines is lost; it arrives %s later", resendTime)
			return resendTime
		})
		f.add("the store cuts the watches of vm-a that wait")
		f.store.cutWatches(a.name)
		select {
		case <-answered:
		case <-time.After(5 * time.Second):
			check(fmt.Errorf("%s does not list the engines", a.name))
		}
		time.Sleep(leaveAfterList)
		e.leave()
		left := time.Now()
		f.add("the store acknowledges that engine %s is gone; it serves on for %s", e.id, serveOnRound)
		time.Sleep(resendTime)
		a.link.setOnAnswer(nil)
		bound := time.Now().Add(contact) // vm-a is in touch from then on, and drain_ms has passed
		c.wait.Go(func() { c.load("book", fmt.Sprint("round-", i+1), requestInterval, left.Add(serveOnRound+time.Second)) })
		time.Sleep(time.Until(left.Add(serveOnRound)))
		e.exit()
		f.add("engine %s exits", e.id)
		if broken = append(broken, f.judgeLeaving(e, left, bound, awaitAnswers([]*client{c}))...); len(broken) > 0 {
			break
		}
	}
	return broken
}
