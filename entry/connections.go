package entry

import (
	"expvar"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

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
	// refusedLogInterval is the time between two log lines on connections that are not served.
	refusedLogInterval = time.Second
)

// connections limits the connections of callers by the descriptors of the process. Requests on
// connections that are not served are refused.
type connections struct {
	// crowdedFrom and most are 0 if there is no limit.
	crowdedFrom, most int64
	// overloaded reports whether a new connection is not served because the processor is
	// overloaded.
	overloaded func() bool
	refuser    httprefuse.Refuser

	open atomic.Int64
	// refusedBehind and refusedCrowded count the connections that were not served because the
	// processor is overloaded, and because there are too many.
	refusedBehind, refusedCrowded expvar.Int
	logged                        refusedCounts
}

// refusedCounts are counts of connections that were not served.
type refusedCounts struct{ behind, crowded, dropped int64 }

// newConnections returns the limit of a process with a number of descriptors. response returns the
// response to a request that is refused with an error.
func newConnections(descriptors int, overloaded func() bool, response func(r *http.Request, err error) *http.Response) *connections {
	sockets := float64(max(0, descriptors-fileDescriptors))
	c := &connections{crowdedFrom: int64(crowdedShare * sockets), most: int64(maxCallerShare * sockets), overloaded: overloaded}
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

// vars returns the number of open connections, and of those that were not served.
func (c *connections) vars() *expvar.Map {
	m := new(expvar.Map)
	m.Set("refusals", c.refuser.Vars())
	m.Set("open", expvar.Func(func() any { return c.open.Load() }))
	m.Set("refusedBehind", &c.refusedBehind)
	m.Set("refusedCrowded", &c.refusedCrowded)
	return m
}

// logRefused logs how many connections were not served since its last call. A line for each would
// cost more than the refusal.
func (c *connections) logRefused(log *zap.Logger) {
	now := refusedCounts{c.refusedBehind.Value(), c.refusedCrowded.Value(), c.refuser.Dropped()}
	if now != c.logged {
		log.Warn("connections of callers refused", zap.Int64("behind", now.behind-c.logged.behind), zap.Int64("crowded", now.crowded-c.logged.crowded),
			zap.Int64("dropped", now.dropped-c.logged.dropped), zap.Int64("open", c.open.Load()))
	}
	c.logged = now
}

// crowded reports whether callers' connections are to be closed after the answer.
func (c *connections) crowded() bool { return c.most > 0 && c.open.Load() > c.crowdedFrom }

// limit returns a listener that refuses the request on a new connection while there are too many
// connections or the processor is overloaded.
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
		refused := &l.connections.refusedBehind
		if most > 0 && open > most {
			refused = &l.connections.refusedCrowded
		} else if !l.connections.overloaded() {
			return &limitedConn{Conn: c, release: sync.OnceFunc(func() { l.connections.open.Add(-1) })}, nil
		}
		l.connections.open.Add(-1)
		refused.Add(1)
		l.connections.refuser.Refuse(c)
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
