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

func (f *fleet) commands(i int) operator.Commands {
	return operator.NewCommandsProtobufClient(f.operatorURL(i), http.DefaultClient)
}

func (f *fleet) queries(i int) operator.Queries {
	return operator.NewQueriesProtobufClient(f.operatorURL(i), http.DefaultClient)
}

// waitMs bounds the wait for confirmations.
const waitMs = 20_000

// Guards against two operators who edit the same revision and both win, and against a
// loser who is not told.
func TestRacingOperators(t *testing.T) {
	f := newFleet(t, 1, 3)
	now, err := f.queries(0).GetInventory(t.Context(), &operator.GetInventoryRequest{})
	require.NoError(t, err)
	const operators = 6
	errs := make([]error, operators)
	revisions := make([]int64, operators)
	var wait sync.WaitGroup
	for i := range operators {
		wait.Go(func() {
			text := f.inventory(fmt.Sprintf("rate: %dktok/s, burst: 1000ktok", 101+i))
			r, err := f.commands(i%3).Apply(context.Background(), &operator.ApplyRequest{
				Yaml: text, BaseRevision: now.GetRevision(), WaitMs: waitMs,
			})
			errs[i] = err
			revisions[i] = r.GetRevision()
		})
	}
	wait.Wait()
	won := 0
	for i, err := range errs {
		if err == nil {
			won++
			require.Equal(t, now.GetRevision()+1, revisions[i])
			continue
		}
		var e twirp.Error
		require.ErrorAs(t, err, &e)
		require.Equal(t, twirp.Aborted, e.Code(), "%v", err)
		require.Contains(t, e.Msg(), strconv.FormatInt(now.GetRevision(), 10), "the conflict names the base")
		require.Contains(t, e.Msg(), strconv.FormatInt(now.GetRevision()+1, 10), "the conflict names the newest revision")
	}
	require.Equal(t, 1, won)
	for i := range f.daemons {
		got, err := f.queries(i).GetInventory(t.Context(), &operator.GetInventoryRequest{})
		require.NoError(t, err)
		require.Equal(t, now.GetRevision()+1, got.GetRevision())
	}
}

// Guards against a key that works before it is issued or after it is withdrawn, and
// against commands whose reason nobody can find out.
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
	why, err := f.queries(0).Explain(t.Context(), &operator.ExplainRequest{Topic: "request", Limit: 100})
	require.NoError(t, err)
	require.NotEmpty(t, why.GetDecisions())
	for _, d := range why.GetDecisions() {
		require.NotEmpty(t, d.GetReason(), "%s %s", d.GetSubject(), d.GetResult())
		require.NotContains(t, d.GetReason(), k.GetKey())
	}
	s, err := f.queries(0).Status(t.Context(), &operator.StatusRequest{})
	require.NoError(t, err)
	require.True(t, s.GetReady())
	require.Len(t, s.GetPeers(), 2)
	require.Len(t, s.GetEndpoints(), 2)
}

// Guards against a revision that goes back when the store answers with an older
// state than a daemon has seen.
func TestOldAnswersOfTheStoreChangeNothing(t *testing.T) {
	f := newFleet(t, 1, 3)
	r, err := f.commands(0).SetLeaving(t.Context(), &operator.SetLeavingRequest{Endpoint: "e1", Leaving: true, WaitMs: waitMs})
	require.NoError(t, err)
	r, err = f.commands(1).SetLeaving(t.Context(), &operator.SetLeavingRequest{Endpoint: "e1", BaseRevision: r.GetRevision(), WaitMs: waitMs})
	require.NoError(t, err)
	f.oldReads(t, true)
	for range 20 {
		for i := range f.daemons {
			got, err := f.queries(i).GetInventory(t.Context(), &operator.GetInventoryRequest{})
			require.NoError(t, err)
			require.GreaterOrEqual(t, got.GetRevision(), r.GetRevision())
			require.True(t, ask(t.Context(), f.daemons[i], frontDeskKey).done)
		}
	}
	f.oldReads(t, false)
}

// Guards against peer and operator listeners that take anyone's calls, and against
// daemons that cannot talk to each other once a token is set.
func TestListenersNeedTheirTokens(t *testing.T) {
	f := newPlatform(t, 1, 2)
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
	require.Equal(t, http.StatusUnauthorized, status(t, f.operatorURL(0)+"/debug/vars"))
	require.Equal(t, http.StatusNotFound, status(t, f.daemons[0].url()+"/debug/vars"), "a caller reaches no operator route")

	pool := &peer.Pool{Token: strings.Repeat("p", 40)}
	eventually(t, "the daemons hear each other", func() bool {
		b, err := pool.Commands(f.listeners[0]).Exchange(t.Context(), &peer.Heartbeat{Vm: "test"})
		return err == nil && len(b.GetHeard()) == 1
	})
}
