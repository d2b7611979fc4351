package origin

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/peer"
	"github.com/lagoonhead/lagoonhead/timer"
)

// countingListener counts the bytes on its connections.
type countingListener struct {
	net.Listener
	in, out atomic.Int64
}

type countingConn struct {
	net.Conn
	listener *countingListener
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &countingConn{c, l}, err
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.in.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.out.Add(int64(n))
	return n, err
}

// benchFleet returns a tracker and the listener of its only peer.
func benchFleet(b *testing.B) (*Tracker, *countingListener) {
	var list []lagoonhead.VM
	newTracker := func(id lagoonhead.VMID) *Tracker {
		r := &Tracker{
			Self: id, Timer: &timer.System{}, Log: zap.NewNop(), Peers: &peer.Pool{}, Hubs: func() []lagoonhead.VM { return list },
			Lifetime: func() time.Duration { return testLifetime }, Fresh: func() bool { return true }, OnRelease: func() {},
		}
		r.Observe(registered("v1"))
		return r
	}
	r, other := newTracker("edge-ee-north-a-1"), newTracker("edge-ee-north-b-1")
	srv := httptest.NewUnstartedServer((&peer.Server{Streams: other}).Handler())
	l := &countingListener{Listener: srv.Listener}
	srv.Listener = l
	srv.Start()
	b.Cleanup(srv.Close)
	list = []lagoonhead.VM{lagoonhead.NewVM(r.Self, "a", "", false), lagoonhead.NewVM(other.Self, "b", strings.TrimPrefix(srv.URL, "http://"), false)}
	_ = r.Run(context.Background()) // it ends at once
	l.in.Store(0)
	l.out.Store(0)
	return r, l
}

func benchIDs(n int) []lagoonhead.RequestID {
	list := make([]lagoonhead.RequestID, n)
	for i := range list {
		list[i] = lagoonhead.RequestID(fmt.Sprintf("%016x", i))
	}
	return list
}

// BenchmarkBegin measures the beginning of a stream while one version serves.
func BenchmarkBegin(b *testing.B) {
	r, l := benchFleet(b)
	ids := benchIDs(b.N)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		r.Begin(context.Background(), "quote-llm", ids[i], "v1")
	}
	b.ReportMetric(float64(l.in.Load()+l.out.Load())/float64(b.N), "wireB/op")
}

// BenchmarkBeginMixed measures the beginning of a stream while two versions serve: one call to one
// home, with both ends and their sockets.
func BenchmarkBeginMixed(b *testing.B) {
	r, l := benchFleet(b)
	r.Learn(map[string][]string{"quote-llm": {"v1", "v1.1"}})
	ids := benchIDs(b.N)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		r.Begin(context.Background(), "quote-llm", ids[i], "v1.1")
	}
	b.ReportMetric(float64(l.in.Load())/float64(b.N), "requestB/op")
	b.ReportMetric(float64(l.out.Load())/float64(b.N), "responseB/op")
}

// BenchmarkFind measures a stream that its home knows: one call.
func BenchmarkFind(b *testing.B) {
	r, l := benchFleet(b)
	ids := benchIDs(b.N)
	for _, id := range ids {
		_ = r.call(context.Background(), r.Hubs()[1], []Group{{"quote-llm", "v1.1", []uint64{Key("quote-llm", id)}}})
	}
	in, out := l.in.Load(), l.out.Load()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		r.Find(context.Background(), "quote-llm", ids[i])
	}
	b.ReportMetric(float64(l.in.Load()-in)/float64(b.N), "requestB/op")
	b.ReportMetric(float64(l.out.Load()-out)/float64(b.N), "responseB/op")
}

// BenchmarkHomes measures the choice of the homes of a stream.
func BenchmarkHomes(b *testing.B) {
	for _, n := range []int{6, 12, 30} {
		list := hubs(n, 6)
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				homes(list, uint64(i))
			}
		})
	}
}

// BenchmarkMemory measures the heap of a book that is full.
func BenchmarkMemory(b *testing.B) {
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		k := NewBook(testLifetime)
		for i := range uint64(2 * maxStreams) {
			k.Begin(time.Hour, "quote-llm", "v1", i*0x9e3779b97f4a7c15)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB")
		runtime.KeepAlive(k)
	}
}
