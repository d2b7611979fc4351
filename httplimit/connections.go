package httplimit

import (
	"expvar"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/lagoonhead/lagoonhead/httprefuse"
	"github.com/lagoonhead/lagoonhead/overload"
)

const (
	// fileDescriptors is the number of descriptors that the platform keeps for files. The
	// others are for sockets.
	fileDescriptors = 200
	// crowdedShare is the share of the sockets from which on callers' connections are
	// closed after the answer, maxCallerShare the share that callers may take, and
	// maxWaitingShare the share beyond it for callers whose requests are being refused. The
	// rest is for endpoints, the store, peers and the load balancer's probes: without it a
	// flood of callers that keep their connections open cuts the daemon off from them, and
	// requests wait unread for connections that cannot be accepted.
	crowdedShare    = 0.35
	maxCallerShare  = 0.55
	maxWaitingShare = 0.1
	// defaultMaxWaiting replaces maxWaitingShare where the number of descriptors is not known.
	defaultMaxWaiting = 256
	// minReceiveBytes and maxReceiveBytes bound the receive buffer of a caller's connection. What
	// has arrived and is unread counts as memory of the process, and the kernel's own bound is
	// megabytes for each connection. The smaller one takes an ordinary request whole.
	minReceiveBytes, maxReceiveBytes = 32 << 10, 256 << 10
	// receiveShare is the part of the memory for connections that is for receive buffers, if all of
	// them are full.
	receiveShare = 0.5
	// queueShare is the fraction of the memory for the receive buffers of connections that are not
	// accepted yet, and minQueue the least number of these connections. Their unread bytes count as
	// memory of the process like those of others, and while it stands still nothing else bounds them.
	queueShare, minQueue = 0.1, 64
	// sendFactor is the size of the send buffer in multiples of the receive buffer.
	sendFactor = 4
	// connectionBytes is what the process keeps for a connection with a request: two goroutines, two
	// buffers and the header, with garbage.
	connectionBytes = 24 << 10
	// minConnections is the least bound of the number of connections for the sake of memory.
	minConnections = 64
	// connectionShare is the fraction of the memory that bounds the number of connections, and bodyShare
	// that which clients' bodies may take together. What remains is for the daemon itself, for answers and
	// for garbage.
	connectionShare, bodyShare = 0.3, 0.25
	// runtimeShare is the fraction of the memory that is set as Go's soft memory limit.
	runtimeShare = 0.75
	// gcPercent is the garbage collection target (GOGC). A value below the default of 100 saves memory
	// for CPU time, which is plentiful on the VMs that run this daemon.
	gcPercent = 50
	// LogInterval is the time between two calls of LogRefused.
	LogInterval = time.Second
)

// Limits are those of a process.
type Limits struct {
	// Descriptors is the number of its file descriptors; 0 means that it is not known.
	Descriptors int
	// MemoryBytes is the memory that it may take; 0 means that there is no limit.
	MemoryBytes int64
}

// BoundRuntime makes the Go runtime of the process keep to the memory.
func (l Limits) BoundRuntime() {
	if l.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(runtimeShare * float64(l.MemoryBytes)))
		debug.SetGCPercent(gcPercent)
	}
}

// BodyBytes returns the number of bytes that the bodies of clients may take together, at least the given
// one, or 0 if there is no limit.
func (l Limits) BodyBytes(least int64) int64 {
	if l.MemoryBytes <= 0 {
		return 0
	}
	return max(int64(bodyShare*float64(l.MemoryBytes)), least)
}

// Connections limits the connections of callers by the descriptors of the process. Requests on
// connections that are not served are refused.
type Connections struct {
	// crowdedFrom and most are 0 if there is no limit.
	crowdedFrom, most int64
	// receiveBytes is the size of a connection's receive buffer, or 0 for that of the kernel.
	receiveBytes int
	// queue is the number of connections that may wait to be accepted, or 0 for that of the kernel.
	queue int
	// overloaded reports whether a new connection is not served because the processor is
	// overloaded.
	overloaded func() bool
	refuser    httprefuse.Refuser

	open atomic.Int64
	// refusedBehind and refusedCrowded count the connections that were not served because the
	// processor is overloaded, and because there are too many.
	refusedBehind, refusedCrowded expvar.Int
	// unread counts the connections that were given up because the caller did not read its answer.
	unread expvar.Int
	logged refusedCounts
}

// refusedCounts are counts of connections that were not served.
type refusedCounts struct{ behind, crowded, dropped, unread int64 }

// New returns the limit of a process. overloaded reports whether a new connection is not served because
// the processor is overloaded, and response returns the response to a request that is refused with an
// error.
func New(v Limits, overloaded func() bool, response func(r *http.Request, err error) *http.Response) *Connections {
	sockets := float64(max(0, v.Descriptors-fileDescriptors))
	c := &Connections{crowdedFrom: int64(crowdedShare * sockets), most: int64(maxCallerShare * sockets), overloaded: overloaded}
	c.boundByMemory(connectionShare * float64(v.MemoryBytes))
	if c.receiveBytes > 0 {
		c.queue = max(minQueue, int(queueShare*float64(v.MemoryBytes)/float64(c.receiveBytes)))
	}
	reserved := int64(maxWaitingShare * sockets)
	c.refuser.MaxWaiting = func() int64 {
		if c.most == 0 {
			return defaultMaxWaiting
		}
		return reserved + max(0, c.most-c.open.Load())
	}
	c.refuser.Response = func(r *http.Request) *http.Response {
		return response(r, overload.Refusal("connection", "the connection is not served"))
	}
	return c
}

// boundByMemory derives the number of connections and their receive buffers from the bytes for them.
// The buffers of half of the connections are taken for full.
func (c *Connections) boundByMemory(bytes float64) {
	if bytes <= 0 {
		return
	}
	most := bytes / (connectionBytes + minReceiveBytes/2)
	if c.most > 0 {
		most = min(most, float64(c.most))
	}
	c.receiveBytes = int(max(minReceiveBytes, min(maxReceiveBytes, receiveShare*bytes/max(most, 1))))
	if most = max(most, minConnections); c.most == 0 || most < float64(c.most) {
		c.most = int64(most)
		c.crowdedFrom = int64(most * crowdedShare / maxCallerShare)
	}
}

// Bound sets the buffers of the connections that a listening socket will accept, which inherit them, and
// the number of those that may wait to be accepted.
func (c *Connections) Bound(socket syscall.Conn, log *zap.Logger) {
	if socket == nil || c.receiveBytes == 0 {
		return
	}
	raw, err := socket.SyscallConn()
	if err == nil {
		var failure error
		err = raw.Control(func(fd uintptr) { failure = c.boundSocket(int(fd)) })
		err = errors.CombineErrors(err, failure)
	}
	if err != nil {
		log.Warn("buffers of callers' connections cannot be bounded", zap.Error(err))
	}
}

func (c *Connections) boundSocket(fd int) error {
	return errors.CombineErrors(unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, c.receiveBytes), errors.CombineErrors(
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, sendFactor*c.receiveBytes),
		unix.Listen(fd, c.queue), // the socket listens already; this changes the length of its queue
	))
}

// Vars returns the number of open connections, and of those that were not served.
func (c *Connections) Vars() *expvar.Map {
	m := new(expvar.Map)
	m.Set("refusals", c.refuser.Vars())
	m.Set("open", expvar.Func(func() any { return c.open.Load() }))
	m.Set("refusedBehind", &c.refusedBehind)
	m.Set("refusedCrowded", &c.refusedCrowded)
	m.Set("unread", &c.unread)
	return m
}

// LogRefused logs how many connections were not served since its last call. A line for each would
// cost more than the refusal.
func (c *Connections) LogRefused(log *zap.Logger) {
	now := refusedCounts{c.refusedBehind.Value(), c.refusedCrowded.Value(), c.refuser.Dropped(), c.unread.Value()}
	if now != c.logged {
		log.Warn("connections of callers refused", zap.Int64("behind", now.behind-c.logged.behind), zap.Int64("crowded", now.crowded-c.logged.crowded),
			zap.Int64("dropped", now.dropped-c.logged.dropped), zap.Int64("unread", now.unread-c.logged.unread), zap.Int64("open", c.open.Load()))
	}
	c.logged = now
}

// Crowded reports whether callers' connections are to be closed after the answer.
func (c *Connections) Crowded() bool { return c.most > 0 && c.open.Load() > c.crowdedFrom }

// Waiting returns the number of connections whose requests are being refused.
func (c *Connections) Waiting() int64 { return c.refuser.Waiting() }

// Listen returns a listener that refuses the request on a new connection while there are too many
// connections or the processor is overloaded.
func (c *Connections) Listen(l net.Listener) net.Listener { return &limitedListener{l, c} }

type limitedListener struct {
	net.Listener
	connections *Connections
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		open, most := l.connections.open.Add(1), l.connections.most
		refused := &l.connections.refusedBehind
		if most > 0 && open > most {
			refused = &l.connections.refusedCrowded
		} else if !l.connections.overloaded() {
			conn := &limitedConn{Conn: c, release: sync.OnceFunc(func() { l.connections.open.Add(-1) })}
			conn.written.onStall = func() { l.connections.unread.Add(1) }
			return conn, nil
		}
		l.connections.open.Add(-1)
		refused.Add(1)
		l.connections.refuser.Refuse(c)
	}
}

type limitedConn struct {
	net.Conn
	release func()
	written writeProgress
}

// Write writes to the caller, and fails if the caller reads nothing for some seconds.
func (c *limitedConn) Write(p []byte) (int, error) { return c.written.write(c.Conn, p) }

func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}

// SetWriteDeadline with a time in the past ends a write in progress and makes later ones fail. Write
// sets other deadlines itself.
func (c *limitedConn) SetWriteDeadline(t time.Time) error {
	if !t.IsZero() && t.Before(time.Now()) {
		c.written.interrupted.Store(true)
	}
	return c.Conn.SetWriteDeadline(t)
}

// NetConn returns the connection without the limit, of which options can be set.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }

// CloseWrite lets the HTTP server end a connection without a reset that could destroy the
// answer.
func (c *limitedConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}
