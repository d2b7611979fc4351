package steer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
)

// The load of a plain service of a large fleet: its requests last a fraction of the time
// for which a report is old.
const (
	herdDaemons   = 150
	herdEndpoints = 9
	herdSlots     = 6
	herdPerSecond = 400
	herdWork      = 60 * time.Millisecond
	herdReports   = 500 * time.Millisecond
	herdTime      = 20 * time.Second
)

// playHerd plays the load and returns the part of the requests that find no free slot at the
// endpoint that they are sent to.
func playHerd(spread bool) float64 {
	rng := rand.New(rand.NewPCG(1, 2))
	var list []lagoonhead.Endpoint
	for i := range herdEndpoints {
		list = append(list, engineAt(fmt.Sprint("s", i), lagoonhead.RoleDecode).WithSlots(herdSlots))
	}
	boards := make([]*Board, herdDaemons)
	for i := range boards {
		boards[i] = newBoard(list)
		boards[i].Spread = spread
	}
	type run struct {
		ends   time.Duration
		daemon int
		at     lagoonhead.Endpoint
	}
	var runs []run
	running := make(map[lagoonhead.EndpointID]int)
	sent, waiting := 0, 0
	for at := time.Duration(0); at < herdTime; at += time.Second / herdPerSecond {
		kept := runs[:0]
		for _, v := range runs {
			if v.ends > at {
				kept = append(kept, v)
				continue
			}
			boards[v.daemon].AddRunning(v.at, -1)
			running[v.at.ID()]--
		}
		runs = kept
		if at%herdReports == 0 {
			var works []Work
			for _, e := range list {
				works = append(works, Work{Endpoint: e.ID(), Running: running[e.ID()], Good: 1})
			}
			for _, b := range boards {
				b.SetPeerWork(now+at, "hub", true, works)
			}
		}
		d := rng.IntN(herdDaemons)
		e, ok := boards[d].PickRun(now+at, RunRequest{Service: model, Near: "x"})
		if !ok {
			continue
		}
		boards[d].AddRunning(e, 1)
		sent++
		if running[e.ID()] >= herdSlots {
			waiting++
		}
		running[e.ID()]++
		runs = append(runs, run{at + herdWork, d, e})
	}
	return float64(waiting) / float64(sent)
}

// Guards against daemons of a large fleet that all send their requests to the endpoint that
// was the emptiest when it reported. It answers a steady load of under half of the slots.
func TestManyDaemonsDoNotHerd(t *testing.T) {
	emptiest, spread := playHerd(false), playHerd(true)
	t.Logf("requests that find no free slot: %.3f sent to the emptiest endpoint, %.3f spread", emptiest, spread)
	require.Less(t, spread, emptiest/2)
	require.Less(t, spread, 0.1, "90% find a free slot")
}
