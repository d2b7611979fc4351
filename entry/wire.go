package entry

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/billing"
	"github.com/lagoonhead/lagoonhead/mirror"
	"github.com/lagoonhead/lagoonhead/peer"
)

const (
	// minCompressedBytes is the size from which a value is compressed. Only configurations
	// are as large; they are text and shrink to a fraction, and each hub sends them to
	// dozens of daemons.
	minCompressedBytes = 8 << 10
	// maxValueBytes bounds a decompressed value, and maxUpdateBytes those of one update
	// together.
	maxValueBytes  = lagoonhead.MaxValueBytes
	maxUpdateBytes = 8 * maxValueBytes
)

func encodeStates(list []mirror.PrefixState) []*peer.PrefixState {
	out := make([]*peer.PrefixState, 0, len(list))
	for _, s := range list {
		out = append(out, &peer.PrefixState{Prefix: s.Prefix, Revision: s.Revision, AgeMs: s.Age.Milliseconds(), Lost: s.Lost})
	}
	return out
}

func decodeStates(list []*peer.PrefixState) []mirror.PrefixState {
	out := make([]mirror.PrefixState, 0, len(list))
	for _, s := range list {
		out = append(out, mirror.PrefixState{
			Prefix: s.GetPrefix(), Revision: s.GetRevision(), Age: time.Duration(s.GetAgeMs()) * time.Millisecond, Lost: s.GetLost(),
		})
	}
	return out
}

func encodePosition(p mirror.Position) *peer.CopyPosition {
	return &peer.CopyPosition{Source: string(p.Source), Sequence: p.Sequence, Prefixes: encodeStates(p.Prefixes)}
}

func decodePosition(p *peer.CopyPosition) mirror.Position {
	return mirror.Position{
		Source: lagoonhead.Incarnation(p.GetSource()), Sequence: p.GetSequence(), Prefixes: decodeStates(p.GetPrefixes()),
	}
}

// updateCodec encodes updates for peers. It keeps the newest compressed value of each key,
// since many peers get the same.
type updateCodec struct {
	mu         sync.Mutex
	compressed map[string]compressedValue
}

type compressedValue struct {
	revision int64
	value    []byte
}

func (c *updateCodec) encode(u mirror.Update) *peer.CopyUpdate {
	out := &peer.CopyUpdate{
		Source: string(u.Source), Sequence: u.Sequence, Complete: u.Complete, Keys: u.Keys, Prefixes: encodeStates(u.Prefixes),
	}
	for _, v := range u.Changes {
		e := v.Entry
		k := &peer.KeyChange{Key: e.Key, Revision: e.Revision, Removed: v.Removed, Value: e.Value, Lease: string(e.Lease)}
		if len(e.Value) >= minCompressedBytes {
			k.Value, k.Compressed = c.compress(e), true
		}
		out.Changes = append(out.Changes, k)
	}
	return out
}

func (c *updateCodec) compress(e lagoonhead.Entry) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v, ok := c.compressed[e.Key]; ok && v.revision == e.Revision {
		return v.value
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(e.Value) // a bytes.Buffer never fails
	_ = w.Close()
	if c.compressed == nil {
		c.compressed = make(map[string]compressedValue)
	}
	c.compressed[e.Key] = compressedValue{e.Revision, b.Bytes()}
	return b.Bytes()
}

// decodeUpdate returns an error if a value cannot be decompressed, or if the values are too
// large.
func decodeUpdate(u *peer.CopyUpdate) (mirror.Update, error) {
	out := mirror.Update{
		Source: lagoonhead.Incarnation(u.GetSource()), Sequence: u.GetSequence(), Complete: u.GetComplete(), Keys: u.GetKeys(),
		Prefixes: decodeStates(u.GetPrefixes()),
	}
	left := maxUpdateBytes
	for _, k := range u.GetChanges() {
		value := k.GetValue()
		if k.GetCompressed() {
			var err error
			if value, err = decompress(value, min(left, maxValueBytes)); err != nil {
				return mirror.Update{}, err
			}
			left -= len(value)
		}
		out.Changes = append(out.Changes, mirror.Change{
			Entry:   lagoonhead.Entry{Key: k.GetKey(), Revision: k.GetRevision(), Value: value, Lease: lagoonhead.LeaseID(k.GetLease())},
			Removed: k.GetRemoved(),
		})
	}
	return out, nil
}

// decompress returns an error if the result has more than limit bytes.
func decompress(value []byte, limit int) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, &Error{lagoonhead.Fault{Op: "entry.decompress", Kind: lagoonhead.KindInvalid, Err: err}}
	}
	out, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, &Error{lagoonhead.Fault{Op: "entry.decompress", Kind: lagoonhead.KindInvalid, Err: err}}
	}
	if len(out) > limit {
		return nil, failf("decompress", lagoonhead.KindInvalid, "the value has more than %d bytes", limit)
	}
	return out, nil
}

// encodeCounts encodes counts. Those of the process self name no incarnation.
func encodeCounts(list []billing.Count, self lagoonhead.Incarnation) []*peer.UsageCount {
	out := make([]*peer.UsageCount, 0, len(list))
	for _, c := range list {
		n := &peer.UsageCount{Window: c.Window, Workspace: string(c.Workspace), Requests: c.Requests}
		if c.Incarnation != self {
			n.Incarnation = string(c.Incarnation)
		}
		out = append(out, n)
	}
	return out
}

// decodeCounts decodes counts. One without an incarnation is of the process sender.
func decodeCounts(list []*peer.UsageCount, sender lagoonhead.Incarnation) []billing.Count {
	out := make([]billing.Count, 0, len(list))
	for _, c := range list {
		n := billing.Count{
			Incarnation: lagoonhead.Incarnation(c.GetIncarnation()), Window: c.GetWindow(),
			Workspace: lagoonhead.WorkspaceID(c.GetWorkspace()), Requests: c.GetRequests(),
		}
		if n.Incarnation == "" {
			n.Incarnation = sender
		}
		out = append(out, n)
	}
	return out
}
