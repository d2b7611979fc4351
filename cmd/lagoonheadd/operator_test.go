package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"

	"github.com/lagoonhead/lagoonhead/operator"
	"github.com/lagoonhead/lagoonhead/peer"
)

// commands returns a client for the operators' commands of a daemon.
func (f *fleet) commands(i int) operator.Commands {
	return operator.NewCommandsProtobufClient(f.operatorURL(i), http.DefaultClient)
}

// queries returns a client for the operators' queries of a daemon.
func (f *fleet) queries(i int) operator.Queries {
	return operator.NewQueriesProtobufClient(f.operatorURL(i), http.DefaultClient)
}

// waitMs is the maximum time to wait for confirmations, in milliseconds.
const waitMs = 20_000

// Guards against concurrent edits of the same revision of which more than one is committed,
// and against a rejected edit whose error does not state the conflict.
func TestRacingOperators(t *testing.T) {
	f := newFleet(t, 1, 3)
	current, err := f.queries(0).GetInventory(t.Context(), &operator.GetInventoryRequest{})
	require.NoError(t, err)
	const operators = 6
	errs := make([]error, operators)
	revisions := make([]int64, operators)
	var wait sync.WaitGroup
	for i := range operators {
		wait.Go(func() {
			text := f.inventory(fmt.Sprintf("rate: %dktok/s, burst: 1000ktok", 101+i))
			r, err := f.commands(i%3).Apply(context.Background(), &operator.ApplyRequest{
				Yaml: text, BaseRevision: current.GetRevision(), WaitMs: waitMs,
			})
			errs[i] = err
			revisions[i] = r.GetRevision()
		})
	}
	wait.Wait()
	accepted := 0
	for i, err := range errs {
		if err == nil {
			accepted++
			require.Equal(t, current.GetRevision()+1, revisions[i])
			continue
		}
		var e twirp.Error
		require.ErrorAs(t, err, &e)
		require.Equal(t, twirp.Aborted, e.Code(), "%v", err)
		require.Contains(t, e.Msg(), strconv.FormatInt(current.GetRevision(), 10), "the conflict names the base")
		require.Contains(t, e.Msg(), strconv.FormatInt(current.GetRevision()+1, 10), "the conflict names the newest revision")
	}
	require.Equal(t, 1, accepted)
	for i := range f.daemons {
		got, err := f.queries(i).GetInventory(t.Context(), &operator.GetInventoryRequest{})
		require.NoError(t, err)
		require.Equal(t, current.GetRevision()+1, got.GetRevision())
	}
}

// Guards against a key that works before it is issued or after it is withdrawn, and against
// decisions that cannot be queried, have no reason or reveal the key.
func TestKeysAndReasons(t *testing.T) {
	f := newFleet(t, 1, 3)
	k, err := f.commands(0).IssueKey(t.Context(), &operator.IssueKeyRequest{Workspace: "crates", WaitMs: waitMs})
	require.NoError(t, err)
	require.True(t, k.GetCommit().GetAccepted())
	require.Len(t, k.GetCommit().GetConfirmed(), 3)
	for _, d := range f.daemons {
		require.True(t, ask(t.Context(), d, k.GetKey()).done)
	}
	r, err := f.commands(1).WithdrawKey(t.Context(), &operator.WithdrawKeyRequest{KeyId: k.GetKeyId(), WaitMs: waitMs})
	require.NoError(t, err)
	require.Len(t, r.GetConfirmed(), 3)
	for _, d := range f.daemons {
		require.Equal(t, http.StatusUnauthorized, ask(t.Context(), d, k.GetKey()).status, "confirmed everywhere")
	}
	explained, err := f.queries(0).Explain(t.Context(), &operator.ExplainRequest{Topic: "request", Limit: 100})
	require.NoError(t, err)
	require.NotEmpty(t, explained.GetDecisions())
	for _, d := range explained.GetDecisions() {
		require.NotEmpty(t, d.GetReason(), "%s %s", d.GetSubject(), d.GetResult())
		require.NotContains(t, d.GetReason(), k.GetKey())
	}
	s, err := f.queries(0).Status(t.Context(), &operator.StatusRequest{})
	require.NoError(t, err)
	require.True(t, s.GetReady())
	require.Len(t, s.GetPeers(), 2)
	require.Len(t, s.GetEndpoints(), 2)
}

// Guards against daemons that return to an older revision when the store answers with stale
// reads.
func TestOldAnswersOfTheStoreChangeNothing(t *testing.T) {
	f := newFleet(t, 1, 3)
	r, err := f.commands(0).SetLeaving(t.Context(), &operator.SetLeavingRequest{Endpoint: "e1", Leaving: true, WaitMs: waitMs})
	require.NoError(t, err)
	r, err = f.commands(1).SetLeaving(t.Context(), &operator.SetLeavingRequest{Endpoint: "e1", BaseRevision: r.GetRevision(), WaitMs: waitMs})
	require.NoError(t, err)
	f.setStaleReads(t, true)
	for range 20 {
		for i := range f.daemons {
			got, err := f.queries(i).GetInventory(t.Context(), &operator.GetInventoryRequest{})
			require.NoError(t, err)
			require.GreaterOrEqual(t, got.GetRevision(), r.GetRevision())
			require.True(t, ask(t.Context(), f.daemons[i], frontDeskKey).done)
		}
	}
	f.setStaleReads(t, false)
}

// Guards against peer and operator listeners that accept requests without their token, and
// against daemons that cannot exchange heartbeats once a token is set.
func TestListenersNeedTheirTokens(t *testing.T) {
	f := newFleetWithoutDaemons(t, 1, 2)
	peerToken := writeFile(t, "peer.token", strings.Repeat("p", 40))
	operatorToken := writeFile(t, "operator.token", strings.Repeat("o", 40))
	f.extra = fmt.Sprintf("peer: {tokenFile: %q}\noperator: {tokenFile: %q}", peerToken, operatorToken)
	for i := range 2 {
		f.daemons = append(f.daemons, f.startDaemon(t, i))
	}
	f.awaitReady(t)
	var e twirp.Error
	_, err := f.queries(0).Status(t.Context(), &operator.StatusRequest{})
	require.ErrorAs(t, err, &e)
	require.Equal(t, twirp.Unauthenticated, e.Code())
	_, err = peer.NewCommandsProtobufClient("http://"+f.listeners[0], http.DefaultClient).Borrow(t.Context(), &peer.BorrowRequest{Tokens: 1, Workspace: "crates"})
	require.ErrorAs(t, err, &e)
	require.Equal(t, twirp.Unauthenticated, e.Code())
	require.Equal(t, http.StatusUnauthorized, getStatus(t, f.operatorURL(0)+"/debug/vars"))
	require.Equal(t, http.StatusNotFound, getStatus(t, f.daemons[0].url()+"/debug/vars"), "a caller reaches no operator route")

	pool := &peer.Pool{Token: strings.Repeat("p", 40)}
	eventually(t, "the daemons receive heartbeats from each other", func() bool {
		b, err := pool.Commands(f.listeners[0]).Exchange(t.Context(), &peer.Heartbeat{Vm: "test"})
		return err == nil && len(b.GetHeard()) == 1
	})
}
