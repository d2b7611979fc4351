package billing

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/peer"
)

// BenchmarkTotals measures the size of encoded usage per workspace, and the time to seal a
// window of 4 daemons that have all served all workspaces.
func BenchmarkTotals(b *testing.B) {
	for _, n := range []int{100, 1000, 6400} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			us, message := make([]lagoonhead.WorkspaceUsage, n), new(peer.HandUsageRequest)
			for i := range us {
				w := fmt.Sprintf("workspace-%05d", i)
				us[i] = lagoonhead.WorkspaceUsage{Workspace: lagoonhead.WorkspaceID(w), PromptTokens: 12e6, OutputTokens: 9e5, Requests: 4e3}
				message.Totals = append(message.Totals, &peer.UsageTotal{Workspace: w, PromptTokens: 12e6, OutputTokens: 9e5, Requests: 4e3})
			}
			present := map[lagoonhead.Incarnation][]lagoonhead.WorkspaceUsage{"a": us, "b": us, "c": us, "d": us}
			var s SealedWindow
			b.ReportAllocs()
			for b.Loop() {
				s = seal(SealedWindow{RetiredTotal: us}, present, nil, time.Unix(0, 0))
			}
			b.ReportMetric(float64(len(encode(storedTotals{Usage: us})))/float64(n), "B/total")
			b.ReportMetric(float64(len(encode(s)))/float64(n), "B/sealed")
			b.ReportMetric(float64(proto.Size(message))/float64(n), "B/handed")
		})
	}
}
