package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
)

// fetchBoard returns a board of three engines that only prefill and one that decodes, with links on
// which the shared part of a long prompt takes 13 ms. A long prompt was prefilled at one of them.
func fetchBoard(t *testing.T) (b *Board, first PrefillChoice) {
	t.Helper()
	b = newBoard(fleet(3, 1))
	b.TransferPerToken = func(string) time.Duration { return time.Microsecond }
	first = pick(t, b, long("a"))
	require.Nil(t, first.CacheSource, "no engine has the part yet")
	b.BeginPrefill(first)
	b.EndPrefill(now, first, long("a"), first.Wait)
	return b, first
}

// queue puts prompts of the given tokens in front of an engine.
func queue(b *Board, e lagoonhead.Endpoint, tokens int) {
	b.SetPeerWork(now, "vm", true, []Work{{Endpoint: e.ID(), PrefillTokens: tokens}})
}

// Guards against a shared part that is prefilled again, or a prompt that waits, when the engine that
// has the part cached is busy and others could fetch it.
func TestASharedPartIsFetchedFromABusyEngine(t *testing.T) {
	b, first := fetchBoard(t)
	again := pick(t, b, long("a"))
	require.Equal(t, first.Endpoint.ID(), again.Endpoint.ID(), "an idle engine that has the part needs no transfer")
	require.Nil(t, again.CacheSource)

	queue(b, first.Endpoint, 20_000)
	other := pick(t, b, long("a"))
	require.NotEqual(t, first.Endpoint.ID(), other.Endpoint.ID())
	require.NotNil(t, other.CacheSource)
	require.Equal(t, first.Endpoint.ID(), other.CacheSource.ID())
	require.Equal(t, 4_000, other.Tokens, "only the own part is prefilled")
}

// Guards against KV caches that are moved between software versions, and against transfers on a
// deployment whose engines do not fetch from each other.
func TestWhatIsNotFetched(t *testing.T) {
	b, first := fetchBoard(t)
	queue(b, first.Endpoint, 20_000)
	b.TransferPerToken = nil
	require.Nil(t, pick(t, b, long("a")).CacheSource)

	b, first = fetchBoard(t)
	queue(b, first.Endpoint, 20_000)
	var list []lagoonhead.Endpoint
	for _, e := range fleet(3, 1) {
		if e.ID() != first.Endpoint.ID() {
			e = e.WithSoftware("v2")
		}
		list = append(list, e)
	}
	old := b.findTarget(first.Endpoint)
	b.SetEndpoints(list, cacheCapacity)
	require.NotNil(t, old)
	require.Nil(t, pick(t, b, long("a")).CacheSource, "the others have another software version")
}

// Guards against prompts that wait for transfers while the links between engines are slow, and
// against links that are never tried again.
func TestSlowLinksAreAvoidedForAWhile(t *testing.T) {
	b, first := fetchBoard(t)
	queue(b, first.Endpoint, 20_000)
	for range 10 {
		v := pick(t, b, long("a"))
		if v.CacheSource == nil {
			break
		}
		b.BeginPrefill(v)
		b.addFetch(now, model, 2*time.Second)
		b.EndPrefill(now, v, Prompt{Tokens: 1}, 0)
	}
	require.Nil(t, pick(t, b, long("a")).CacheSource, "a transfer costs more than the prefill of the part")
	later := now + 10*time.Second
	b.SetPeerWork(later, "vm", true, []Work{{Endpoint: first.Endpoint.ID(), PrefillTokens: 20_000}})
	r := prefillRequest(long("a"))
	r.Due += 10 * time.Second
	v, ok := b.PickPrefill(later, r)
	require.True(t, ok)
	require.NotNil(t, v.CacheSource)
}
