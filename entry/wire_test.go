package entry

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/mirror"
	"github.com/lagoonhead/lagoonhead/peer"
)

// quietFollower ignores all changes.
type quietFollower struct{}

func (quietFollower) Put(lagoonhead.Entry, mirror.Origin) {}
func (quietFollower) Removed(string, mirror.Origin)       {}
func (quietFollower) Applied()                            {}
func (quietFollower) Synced(time.Duration)                {}
func (quietFollower) Restored(int64, time.Duration)       {}
func (quietFollower) StoreLost(time.Duration, error)      {}

func newTestCopy(in lagoonhead.Incarnation) *mirror.Copy {
	return mirror.NewCopy(in, map[string]mirror.Follower{"p/": quietFollower{}, "q/": quietFollower{}})
}

// Guards against entries, positions and states that change between daemons, and against
// large values that are sent as they are.
func TestUpdatesSurviveTheWire(t *testing.T) {
	const now = time.Hour
	from, to := newTestCopy("a"), newTestCopy("b")
	large := strings.Repeat("configuration ", minCompressedBytes)
	from.Listed("p/", []lagoonhead.Entry{{Key: "p/1", Value: []byte(large), Revision: 2}, {Key: "p/2", Value: []byte("x"), Revision: 3, Lease: "7"}}, 3, now)
	from.Failed("q/", now, nil)
	var c updateCodec
	for range 2 {
		position := decodePosition(encodePosition(to.Position(now)))
		require.Equal(t, to.Position(now), position)
		u := from.UpdateFor(now, position)
		wire := c.encode(u)
		raw, err := proto.Marshal(wire)
		require.NoError(t, err)
		require.Less(t, len(raw), len(large)/10)
		got, err := decodeUpdate(wire)
		require.NoError(t, err)
		require.Equal(t, u, got)
		to.Merge(got, now, time.Second)
	}
	for _, k := range []string{"p/1", "p/2"} {
		want, _ := from.Get(k)
		e, ok := to.Get(k)
		require.True(t, ok)
		require.Equal(t, want, e)
	}
}

// Guards against a value that is larger than any entry of the store once it is decompressed.
func TestDecompressedValuesAreBounded(t *testing.T) {
	var c updateCodec
	e := lagoonhead.Entry{Key: "p/1", Value: make([]byte, maxValueBytes+1), Revision: 1}
	wire := c.encode(mirror.Update{Changes: []mirror.Change{{Entry: e}}})
	_, err := decodeUpdate(wire)
	require.True(t, lagoonhead.IsKind(err, lagoonhead.KindInvalid), err)
}

// Guards against an update of small values that together take the memory of the process.
func TestDecompressedUpdatesAreBounded(t *testing.T) {
	var c updateCodec
	var u mirror.Update
	for range maxUpdateBytes/maxValueBytes + 1 {
		u.Changes = append(u.Changes, mirror.Change{Entry: lagoonhead.Entry{Key: "p/1", Value: make([]byte, maxValueBytes), Revision: 1}})
	}
	_, err := decodeUpdate(c.encode(u))
	require.True(t, lagoonhead.IsKind(err, lagoonhead.KindInvalid), err)
}

// Guards against an update of a peer that ends the process.
func FuzzPeerUpdate(f *testing.F) {
	for _, u := range []*peer.CopyUpdate{
		{Source: "a", Sequence: 1, Complete: true, Keys: []string{"p/1"}, Changes: []*peer.KeyChange{{Key: "p/1", Revision: 1, Value: []byte("x")}}},
		{Changes: []*peer.KeyChange{{Key: "p/1", Compressed: true, Value: []byte("no gzip")}, {Key: "r/1", Removed: true}}},
		{Complete: true, Prefixes: []*peer.PrefixState{{Prefix: "p/", Revision: 9, AgeMs: -5}, {Prefix: "none", Revision: 1, Lost: true}}},
		{},
	} {
		raw, err := proto.Marshal(u)
		require.NoError(f, err)
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var wire peer.CopyUpdate
		if proto.Unmarshal(raw, &wire) != nil {
			return
		}
		u, err := decodeUpdate(&wire)
		if err != nil {
			require.True(t, lagoonhead.IsKind(err, lagoonhead.KindInvalid))
			return
		}
		c := newTestCopy("b")
		c.Listed("p/", []lagoonhead.Entry{{Key: "p/0", Revision: 1}}, 1, time.Hour)
		c.Merge(u, time.Hour, time.Second)
		_ = c.UpdateFor(time.Hour, c.Position(time.Hour))
	})
}
