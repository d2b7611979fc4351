package vmlist

import (
	"context"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/jsoncall"
)

// PathVMs is the path of the list.
const PathVMs = "/vms"

// The messages of the protocol.
type (
	// VMMessage is one VM of the list.
	VMMessage struct {
		ID            lagoonhead.VMID          `json:"id"`
		FailureDomain lagoonhead.FailureDomain `json:"failureDomain"`
		PeerAddress   string                   `json:"peerAddress"`
		Leaving       bool                     `json:"leaving,omitempty"`
	}
	// VMsResponse is the list of VMs.
	VMsResponse struct {
		VMs []VMMessage `json:"vms"`
	}
)

// Client is a client of the list's JSON protocol.
type Client struct {
	// Platform makes the calls to the platform.
	Platform jsoncall.Client
}

var _ lagoonhead.VMLister = (*Client)(nil)

// VMs returns the platform's current list.
func (c *Client) VMs(ctx context.Context) ([]lagoonhead.VM, error) {
	var resp VMsResponse
	if err := c.Platform.Read(ctx, PathVMs, struct{}{}, &resp); err != nil {
		return nil, err
	}
	list := make([]lagoonhead.VM, 0, len(resp.VMs))
	for _, m := range resp.VMs {
		list = append(list, lagoonhead.NewVM(m.ID, m.FailureDomain, m.PeerAddress, m.Leaving))
	}
	return list, nil
}
