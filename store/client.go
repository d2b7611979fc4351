package store

import (
	"context"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/jsoncall"
)

// maxWatch bounds one watch call, so that a connection that went silent is
// noticed.
const maxWatch = 20 * time.Second

// Client speaks the service's JSON protocol.
type Client struct {
	// Platform is where the service is.
	Platform jsoncall.Client
}

var _ lagoonhead.Store = (*Client)(nil)

// The messages of the protocol.
type (
	// KeyRequest names a key or a prefix.
	KeyRequest struct {
		Key string `json:"key"`
	}
	// ListResponse carries entries and the revision of the store.
	ListResponse struct {
		Entries  []lagoonhead.Entry `json:"entries"`
		Revision int64              `json:"revision"`
	}
	// WatchRequest waits for changes.
	WatchRequest struct {
		Prefix string `json:"prefix"`
		After  int64  `json:"after"`
		// WaitMs is the longest wait in milliseconds.
		WaitMs int64 `json:"waitMs"`
	}
	// WatchResponse carries changes; there are none when the wait ran out.
	WatchResponse struct {
		Events   []lagoonhead.Event `json:"events"`
		Revision int64              `json:"revision"`
	}
	// RevisionResponse answers a write.
	RevisionResponse struct {
		Revision int64 `json:"revision"`
	}
	// DeleteRequest removes a key.
	DeleteRequest struct {
		Key        string `json:"key"`
		IfRevision int64  `json:"ifRevision"`
	}
	// GrantRequest asks for a lease.
	GrantRequest struct {
		TTLMs int64 `json:"ttlMs"`
	}
	// LeaseMessage names a lease.
	LeaseMessage struct {
		Lease lagoonhead.LeaseID `json:"lease"`
	}
)

// The paths of the protocol.
const (
	PathGet    = "/kv/get"
	PathList   = "/kv/list"
	PathWatch  = "/kv/watch"
	PathPut    = "/kv/put"
	PathDelete = "/kv/delete"
	PathGrant  = "/lease/grant"
	PathRenew  = "/lease/renew"
	PathRevoke = "/lease/revoke"
)

// Get returns the entry of key, or KindNotFound.
func (c *Client) Get(ctx context.Context, key string) (lagoonhead.Entry, error) {
	var e lagoonhead.Entry
	err := c.Platform.Read(ctx, PathGet, KeyRequest{Key: key}, &e)
	return e, err
}

// List returns the entries under prefix, ordered by key, and the revision of the
// store.
func (c *Client) List(ctx context.Context, prefix string) ([]lagoonhead.Entry, int64, error) {
	var l ListResponse
	err := c.Platform.Read(ctx, PathList, KeyRequest{Key: prefix}, &l)
	return l.Entries, l.Revision, err
}

// Watch waits for changes under prefix. It returns without events when the
// longest wait of one call is over.
func (c *Client) Watch(ctx context.Context, prefix string, after int64) ([]lagoonhead.Event, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, maxWatch+jsoncall.DefaultTimeout)
	defer cancel()
	var w WatchResponse
	r := WatchRequest{Prefix: prefix, After: after, WaitMs: maxWatch.Milliseconds()}
	if err := c.Platform.Wait(ctx, PathWatch, r, &w); err != nil {
		return nil, after, err
	}
	return w.Events, w.Revision, nil
}

// Put writes one key.
func (c *Client) Put(ctx context.Context, r lagoonhead.PutRequest) (int64, error) {
	var a RevisionResponse
	err := c.Platform.Write(ctx, PathPut, r, &a)
	return a.Revision, err
}

// Delete removes one key.
func (c *Client) Delete(ctx context.Context, key string, ifRevision int64) error {
	return c.Platform.Write(ctx, PathDelete, DeleteRequest{Key: key, IfRevision: ifRevision}, nil)
}

// GrantLease returns a new lease.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (lagoonhead.LeaseID, error) {
	var a LeaseMessage
	err := c.Platform.Write(ctx, PathGrant, GrantRequest{TTLMs: ttl.Milliseconds()}, &a)
	return a.Lease, err
}

// RenewLease extends a lease.
func (c *Client) RenewLease(ctx context.Context, id lagoonhead.LeaseID) error {
	return c.Platform.Write(ctx, PathRenew, LeaseMessage{Lease: id}, nil)
}

// RevokeLease ends a lease.
func (c *Client) RevokeLease(ctx context.Context, id lagoonhead.LeaseID) error {
	return c.Platform.Write(ctx, PathRevoke, LeaseMessage{Lease: id}, nil)
}
