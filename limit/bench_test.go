package limit

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// BenchmarkTake measures the admission check on the local bucket together with the
// refund.
func BenchmarkTake(b *testing.B) {
	q := lagoonhead.Quota{Rate: 1e9, Burst: 1e9}
	var bucket Bucket
	bucket.SetShare(0, ShareOf(q, 0, []int{0}, []int{0}))
	bucket.Charge(time.Second, 1)
	b.ReportAllocs()
	now := time.Second
	for b.Loop() {
		now += time.Microsecond
		r, ok := bucket.Charge(now, 500)
		if !ok {
			b.Fatal("empty")
		}
		bucket.Refund(now, r, 200)
	}
}

// BenchmarkState measures the heap bytes of one bucket after 8 charges.
func BenchmarkState(b *testing.B) {
	for _, n := range []int{100, 1000, 6400} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			q := lagoonhead.Quota{Rate: 1000, Burst: 6000}
			share := ShareOf(q, 0, HomeSlots("w", 6, MaxHomeSlots), []int{0})
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				buckets := make([]*Bucket, n)
				for i := range buckets {
					buckets[i] = new(Bucket)
					buckets[i].SetShare(0, share)
					for k := range 8 {
						buckets[i].Charge(time.Minute+time.Duration(k), 10)
					}
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(buckets)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/workspace")
		})
	}
}
