package config

import (
	"context"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/peer"
)

// PoolPeers implements Peers with a pool of RPC clients.
type PoolPeers struct{ Pool *peer.Pool }

var _ Peers = PoolPeers{}

// Pull returns the revision that vm has in force, if it is newer than the one in r.
func (p PoolPeers) Pull(
	ctx context.Context, vm lagoonhead.VM, r *peer.PullConfigRequest,
) (*peer.PullConfigResponse, error) {
	a, err := p.Pool.Queries(vm.PeerAddress()).PullConfig(ctx, r)
	if err != nil {
		return nil, fail("peers.pull", lagoonhead.KindUnavailable, err)
	}
	return a, nil
}

// State returns the revision that vm has in force.
func (p PoolPeers) State(ctx context.Context, vm lagoonhead.VM) (*peer.RevisionStateResponse, error) {
	a, err := p.Pool.Queries(vm.PeerAddress()).RevisionState(ctx, &peer.RevisionStateRequest{})
	if err != nil {
		return nil, fail("peers.state", lagoonhead.KindUnavailable, err)
	}
	return a, nil
}
