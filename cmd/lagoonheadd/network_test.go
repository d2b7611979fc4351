package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/vmlist"
)

// link is a TCP proxy that can be cut. A cut link accepts connections and discards all
// bytes, like a network that drops packets without resetting connections.
type link struct {
	listener net.Listener
	target   string
	cut      atomic.Bool
	mu       sync.Mutex
	conns    []net.Conn
}

func newLink(t *testing.T, target string) *link {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	k := &link{listener: l, target: target}
	t.Cleanup(k.close)
	go k.accept()
	return k
}

func (k *link) address() string { return k.listener.Addr().String() }

func (k *link) close() {
	k.listener.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.conns {
		c.Close()
	}
}

// track records a connection, so that close closes it.
func (k *link) track(c net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.conns = append(k.conns, c)
}

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		k.track(c)
		go k.serve(c)
	}
}

func (k *link) serve(c net.Conn) {
	defer c.Close()
	if k.cut.Load() {
		// A connection that was opened while the link was cut stays without a response.
		_, _ = io.Copy(io.Discard, c)
		return
	}
	to, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	defer to.Close()
	k.track(to)
	go func() {
		k.copy(c, to)
		c.Close()
	}()
	k.copy(to, c)
}

// copy copies bytes until one end closes. Once the link has been cut, it discards all bytes
// of the connection, also after the link is restored.
func (k *link) copy(to io.Writer, from io.Reader) {
	buf := make([]byte, 32<<10)
	silent := false
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if silent = silent || k.cut.Load(); silent {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// network holds the links of each daemon to the platform and to each peer.
type network struct {
	// platform[i] leads from daemon i to the platform.
	platform []*link
	// peers[i][j] leads from daemon i to daemon j.
	peers [][]*link
	// vmLists holds the server of the VM list of each daemon.
	vmLists []*httptest.Server
}

// newNetwork creates the links of the daemons whose peer listeners have the given addresses.
// Each daemon gets a VM list of its own, in which the address of a peer is that of the link
// to it.
func newNetwork(t *testing.T, platform *process, listeners []string) *network {
	t.Helper()
	n := &network{}
	for i := range listeners {
		n.platform = append(n.platform, newLink(t, platform.address))
		var row []*link
		for _, target := range listeners {
			row = append(row, newLink(t, target))
		}
		n.peers = append(n.peers, row)
		n.vmLists = append(n.vmLists, n.serveVMList(t, i))
	}
	return n
}

func (n *network) serveVMList(t *testing.T, i int) *httptest.Server {
	var answer vmlist.VMsResponse
	for j, k := range n.peers[i] {
		answer.VMs = append(answer.VMs, vmlist.VMMessage{
			ID: lagoonhead.VMID(vmName(j)), FailureDomain: lagoonhead.FailureDomain(failureDomain(j)), PeerAddress: k.address(),
		})
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, vmlist.PathVMs) {
			_ = json.NewEncoder(w).Encode(answer)
		}
	}))
	t.Cleanup(s.Close)
	return s
}

// cutPeers cuts the links between two daemons both ways, or restores them.
func (n *network) cutPeers(i, j int, on bool) {
	n.peers[i][j].cut.Store(on)
	n.peers[j][i].cut.Store(on)
}

// cutPlatform cuts a daemon off from the platform, or restores the link.
func (n *network) cutPlatform(i int, on bool) { n.platform[i].cut.Store(on) }

// isolate cuts a daemon off from the platform and all peers, or ends that.
func (n *network) isolate(i int, on bool) {
	n.cutPlatform(i, on)
	for j := range n.peers {
		if j != i {
			n.cutPeers(i, j, on)
		}
	}
}
