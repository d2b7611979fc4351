package daemon

import (
	"context"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/peer"
)

type noUsage struct{}

func (noUsage) Record(context.Context, lagoonhead.WorkspaceUsage) {}

func (noUsage) HandUsage(context.Context, *peer.HandUsageRequest) (*peer.HandUsageResponse, error) {
	return &peer.HandUsageResponse{}, nil
}
