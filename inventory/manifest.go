package inventory

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/lagoonhead/lagoonhead"
)

// manifestFormat is the version of the stored manifest. A daemon rejects any other.
const manifestFormat = 1

// maxHistory is the number of earlier commits that a manifest lists. A writer that got
// no reply to its write finds its nonce there even if others have committed since.
const maxHistory = 32

// retentionRevisions is the number of revisions for which a part stays in the store
// after the manifest has dropped it, so that a daemon that is still reading an older
// revision finds it.
const retentionRevisions = 64

// Manifest lists the parts of one revision of the inventory.
type Manifest struct {
	Format   int   `json:"format"`
	Revision int64 `json:"revision"`
	// Writer is the VM whose daemon committed the revision.
	Writer string `json:"writer"`
	// Nonce identifies the commit.
	Nonce string    `json:"nonce"`
	Parts []PartRef `json:"parts"`
	// History lists the commits before this one, newest first.
	History []Commit `json:"history,omitempty"`
	// Retired lists dropped parts that are still in the store, oldest first.
	Retired []RetiredPart `json:"retired,omitempty"`
}

// PartRef refers to one part.
type PartRef struct {
	Kind  PartKind `json:"kind"`
	Shard int      `json:"shard"`
	// Hash is the SHA-256 of the body in hexadecimal. It identifies the part.
	Hash string `json:"hash"`
	// ContentHash is the SHA-256 of the kind and the items, without the nonce. If it is
	// equal in the next revision, that revision reuses the part.
	ContentHash string `json:"content"`
}

// Commit identifies the commit of a revision by its nonce.
type Commit struct {
	Revision int64  `json:"revision"`
	Nonce    string `json:"nonce"`
}

// RetiredPart is a part that was dropped from the manifest at a revision.
type RetiredPart struct {
	Hash     string `json:"hash"`
	Revision int64  `json:"revision"`
}

// Part is one part as it is stored.
type Part struct {
	Hash string
	Body []byte
}

// Encode returns the manifest as JSON, which is its stored form.
func (m *Manifest) Encode() ([]byte, error) {
	b, err := json.Marshal(m)
	if err != nil {
		return nil, &Error{lagoonhead.Fault{Op: "inventory.encode", Kind: lagoonhead.KindInternal, Err: err}}
	}
	return b, nil
}

// DecodeManifest decodes a stored manifest. It returns an error of KindInvalid when
// the JSON, the format version or the revision is not valid.
func DecodeManifest(b []byte) (*Manifest, error) {
	const op = "inventory.decodeManifest"
	var m Manifest
	if err := decodeStrict(b, &m); err != nil {
		return nil, &Error{lagoonhead.Fault{Op: op, Kind: lagoonhead.KindInvalid, Err: err}}
	}
	if m.Format != manifestFormat || m.Revision < 1 {
		err := fmt.Errorf("format %d, revision %d; known: format %d, revision 1 or more",
			m.Format, m.Revision, manifestFormat)
		return nil, &Error{lagoonhead.Fault{Op: op, Kind: lagoonhead.KindInvalid, Err: err}}
	}
	return &m, nil
}

// decodeStrict decodes one JSON value and rejects unknown fields and trailing data.
func decodeStrict(b []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if d.More() {
		return errors.New("data after the end of the value")
	}
	return nil
}

// Committed reports whether the manifest or an earlier one in its history was
// committed under the nonce. after is the revision that the commit was based on. known
// is false when the history does not reach back to that revision.
func (m *Manifest) Committed(nonce string, after int64) (done, known bool) {
	if m.Nonce == nonce {
		return true, true
	}
	for _, c := range m.History {
		if c.Nonce == nonce {
			return true, true
		}
	}
	return false, m.Revision-after <= maxHistory
}

// Deletable returns the hashes of the retired parts that no daemon needs any more. No
// later manifest can list them, since the nonce makes the hashes of the parts of each
// commit unique.
func (m *Manifest) Deletable() []string {
	var out []string
	for _, r := range m.Retired {
		if r.Revision <= m.Revision-retentionRevisions {
			out = append(out, r.Hash)
		}
	}
	return out
}

// inherit fills in History and Retired from the previous manifest.
func (m *Manifest) inherit(prev *Manifest) {
	if prev == nil {
		return
	}
	m.History = append(m.History, Commit{Revision: prev.Revision, Nonce: prev.Nonce})
	m.History = append(m.History, prev.History...)
	m.History = m.History[:min(len(m.History), maxHistory)]
	listed := make(map[string]bool, len(m.Parts))
	for _, p := range m.Parts {
		listed[p.Hash] = true
	}
	for _, r := range prev.Retired {
		if r.Revision > prev.Revision-retentionRevisions {
			m.Retired = append(m.Retired, r)
		}
	}
	for _, p := range prev.Parts {
		if !listed[p.Hash] {
			m.Retired = append(m.Retired, RetiredPart{Hash: p.Hash, Revision: m.Revision})
		}
	}
}

// hashOf returns the SHA-256 of b in hexadecimal.
func hashOf(b []byte) string {
	h := sha256.Sum256(b)
	return hex.EncodeToString(h[:])
}
