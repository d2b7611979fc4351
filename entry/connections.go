package entry

import (
	"expvar"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

const (
	// fileDescriptors is the number of descriptors that the platform keeps for files. The
	// others are for sockets.
	fileDescriptors = 200
	// crowdedShare is the share of the sockets from which on callers' connections are
	// closed after the answer, and maxCallerShare the share that callers may take. The
	// rest is for endpoints, the store, peers and the load balancer's probes: without it a
	// flood of callers that keep their connections open cuts the daemon off from them, and
	// requests wait unread for connections that cannot be accepted.
	crowdedShare   = 0.35
	maxCallerShare = 0.55
	// closedLogInterval is the time between two log lines on connections that were closed.
	closedLogInterval = time.Second
)

// connections limits the connections of callers by the descriptors of the process.
type connections struct {
	// crowdedFrom and most are 0 if there is no limit.
	crowdedFrom, most int64
	// overloaded reports whether a new connection is closed because the processor is
	// overloaded.
	overloaded func() bool

	open atomic.Int64
	// closedBehind and closedCrowded count the connections that were closed at once because
	// the processor is overloaded, and because there are too many.
	closedBehind, closedCrowded expvar.Int
	loggedBehind, loggedCrowded int64
}

func newConnections(descriptors int, overloaded func() bool) *connections {
	sockets := float64(max(0, descriptors-fileDescriptors))
	return &connections{crowdedFrom: int64(crowdedShare * sockets), most: int64(maxCallerShare * sockets), overloaded: overloaded}
}

// vars returns the number of open connections, and of those that were closed at once.
func (c *connections) vars() *expvar.Map {
	m := new(expvar.Map)
	m.Set("open", expvar.Func(func() any { return c.open.Load() }))
	m.Set("closedBehind", &c.closedBehind)
	m.Set("closedCrowded", &c.closedCrowded)
	return m
}

// logClosed logs how many connections were closed since its last call. A line for each would
// cost more than the close.
func (c *connections) logClosed(log *zap.Logger) {
	behind, crowded := c.closedBehind.Value(), c.closedCrowded.Value()
	if behind != c.loggedBehind || crowded != c.loggedCrowded {
		log.Warn("connections of callers closed unread", zap.Int64("behind", behind-c.loggedBehind),
			zap.Int64("crowded", crowded-c.loggedCrowded), zap.Int64("open", c.open.Load()))
	}
	c.loggedBehind, c.loggedCrowded = behind, crowded
}

// crowded reports whether callers' connections are to be closed after the answer.
func (c *connections) crowded() bool { return c.most > 0 && c.open.Load() > c.crowdedFrom }

// limit returns a listener that closes a new connection at once while there are too many or
// the processor is overloaded: its caller can turn to another daemon, as nothing of its
// request was read.
func (c *connections) limit(l net.Listener) net.Listener { return &limitedListener{l, c} }

type limitedListener struct {
	net.Listener
	connections *connections
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		open, most := l.connections.open.Add(1), l.connections.most
		closed := &l.connections.closedBehind
		if most > 0 && open > most {
			closed = &l.connections.closedCrowded
		} else if !l.connections.overloaded() {
			return &limitedConn{Conn: c, release: sync.OnceFunc(func() { l.connections.open.Add(-1) })}, nil
		}
		l.connections.open.Add(-1)
		closed.Add(1)
		_ = c.Close() // the connection is given up
	}
}

type limitedConn struct {
	net.Conn
	release func()
}

func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
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
