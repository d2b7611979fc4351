package daemon

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/admit"
	"github.com/lagoonhead/lagoonhead/config"
	"github.com/lagoonhead/lagoonhead/fakeplatform"
	"github.com/lagoonhead/lagoonhead/inventory"
	"github.com/lagoonhead/lagoonhead/limit"
	"github.com/lagoonhead/lagoonhead/peer"
	"github.com/lagoonhead/lagoonhead/place"
	"github.com/lagoonhead/lagoonhead/suspect"
	"github.com/lagoonhead/lagoonhead/timer"
	"github.com/lagoonhead/lagoonhead/vmlist"
)

const incarnation = "/7d444840-9dc0-11d1-b245-5ffdce74fad2"

// benchHeartbeats returns the heartbeats of the first of the VMs, with a load report of
// each engine that this VM polls.
func benchHeartbeats(b *testing.B, vms, engines int) *heartbeats {
	tm := &timer.System{}
	kv := fakeplatform.NewKV(tm)
	cfg := &config.Runner{Self: "vm-000", Incarnation: "vm-000" + incarnation, Store: kv, Timer: tm}
	inv := &inventory.Inventory{
		FailureDomains: []inventory.FailureDomain{{ID: "d", Region: "r"}}, Models: []inventory.Model{{ID: "m"}},
		Planner: inventory.Planner{Interval: 1e9},
	}
	for i := range engines {
		inv.Engines = append(inv.Engines, inventory.Engine{
			ID: lagoonhead.EndpointID(fmt.Sprintf("engine-%05d", i)), Model: "m", FailureDomain: "d", Slots: 32,
			Address: fmt.Sprintf("http://10.0.%d.%d:9000", i/250, i%250), Role: lagoonhead.RoleMixed, Supply: lagoonhead.SupplyFirm,
		})
	}
	committer := &config.Committer{Store: kv, Runner: cfg, Timer: tm}
	_, err := committer.Commit(b.Context(), 0, func(*inventory.Inventory) (*inventory.Inventory, error) { return inv, nil })
	require.NoError(b, err)
	var list []lagoonhead.VM
	for i := range vms {
		list = append(list, lagoonhead.NewVM(lagoonhead.VMID(fmt.Sprintf("vm-%03d", i)), "d", "10.0.0.1:7000", false))
	}
	cfg.SetVMs(list, 0)
	p := &enginePoller{source: cfg, timer: tm, self: "vm-000", vms: func() []lagoonhead.VM { return list }}
	x := &heartbeats{
		config: cfg, admit: &admit.Runner{VM: "vm-000", Timer: tm}, placer: &place.Placer{Source: cfg, Timer: tm},
		suspects: &suspect.Table{Timer: tm}, parts: &suspect.Parts{Timer: tm}, poller: p, source: cfg, ready: func() bool { return true },
		inFlight: func(lagoonhead.EndpointID) int { return 0 }, classes: &classCounter{},
	}
	p.latest = make(map[lagoonhead.EndpointID]polledReport)
	for _, e := range p.polled() {
		p.latest[e.ID()] = polledReport{report: lagoonhead.LoadReport{
			Endpoint: e.ID(), Incarnation: lagoonhead.Incarnation(e.ID()) + incarnation, Number: 123456, Running: 20,
			QueuedPrefillTokens: 9000, Role: lagoonhead.RoleMixed, FreeCacheBlocks: 300,
		}, requestedAt: tm.Now() + time.Hour} // the report stays recent for the whole run
	}
	return x
}

// answerAsPeers passes an answered heartbeat of each peer to the configuration.
func answerAsPeers(x *heartbeats, vms int) {
	for i := 1; i < vms; i++ {
		id := fmt.Sprintf("vm-%03d", i)
		h := &peer.Heartbeat{Vm: id, Incarnation: id + incarnation, Revision: 1}
		x.config.RecordAnswerHeartbeat(h, x.poller.timer.Now())
	}
}

// BenchmarkFleet measures building a heartbeat, processing one, and choosing the engines
// that a daemon polls. It also reports the sizes in bytes of a heartbeat, of the VM list and
// of a slot table with a slot for each VM.
func BenchmarkFleet(b *testing.B) {
	for _, s := range []struct{ vms, engines int }{{6, 12}, {64, 410}, {390, 2500}} {
		x := benchHeartbeats(b, s.vms, s.engines)
		answerAsPeers(x, s.vms)
		h := x.Local()
		h.Vm, h.Incarnation = "vm-001", "vm-001"+incarnation
		heard := &peer.Heard{Vm: h.GetVm(), AgeMs: 1200, Revision: 2800, Incarnation: h.GetIncarnation()}
		table, list := limit.NewTable(s.vms), vmlist.VMsResponse{}
		for i := range s.vms {
			table.Slots[i] = limit.Slot{VM: "vm-000", Incarnation: "vm-000" + incarnation}
			list.VMs = append(list.VMs, vmlist.VMMessage{ID: "vm-000", FailureDomain: "fd-00", PeerAddress: "10.0.0.1:7000"})
		}
		answer, err := json.Marshal(list)
		require.NoError(b, err)
		run := func(name string, f func()) {
			b.Run(fmt.Sprintf("%s/vms=%d/engines=%d", name, s.vms, s.engines), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					f()
				}
				b.ReportMetric(float64(proto.Size(h)), "B/heartbeat")
				b.ReportMetric(float64(proto.Size(heard)), "B/heard")
				b.ReportMetric(float64(len(table.Encode())), "B/slotTable")
				b.ReportMetric(float64(len(answer)), "B/vmList")
				b.ReportMetric(float64(len(h.GetLoads())), "loads")
				b.ReportMetric(float64(proto.Size(h.GetLoads()[0])), "B/load")
			})
		}
		run("build", func() { _ = x.Local() })
		run("take", func() { x.ReceiveResponse(h, x.poller.timer.Now()) })
		run("pollShare", func() { _ = x.poller.polled() })
	}
}
