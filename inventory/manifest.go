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

// manifestFormat is the version of the stored form. A daemon refuses any other.
const manifestFormat = 1

// maxHistory is the number of commits that a manifest names. A writer whose answer
// was lost finds its nonce there even when others have committed since.
const maxHistory = 32

// keepRetired is the number of revisions for which a part stays in the store after
// the manifest has dropped it, so that a daemon that reads slowly still finds it.
const keepRetired = 64

// Manifest lists the parts of one revision.
type Manifest struct {
	Format   int   `json:"format"`
	Revision int64 `json:"revision"`
	// Writer is the daemon that committed the revision.
	Writer string `json:"writer"`
	// Nonce identifies the commit.
	Nonce string    `json:"nonce"`
	Parts []PartRef `json:"parts"`
	// History names the commits before this one, the newest first.
	History []Commit `json:"history,omitempty"`
	// Retired lists dropped parts that are still in the store, the oldest first.
	Retired []RetiredPart `json:"retired,omitempty"`
}

// PartRef names one part.
type PartRef struct {
	Kind  PartKind `json:"kind"`
	Shard int      `json:"shard"`
	// Hash is the SHA-256 of the body in hexadecimal. It names the part.
	Hash string `json:"hash"`
	// Content is a hash of the items without the nonce; equal content lets the next
	// revision keep the part.
	Content string `json:"content"`
}

// Commit names the commit of a revision.
type Commit struct {
	Revision int64  `json:"revision"`
	Nonce    string `json:"nonce"`
}

// RetiredPart is a part that the manifest dropped at a revision.
type RetiredPart struct {
	Hash     string `json:"hash"`
	Revision int64  `json:"revision"`
}

// Part is the body of one part.
type Part struct {
	Hash string
	Body []byte
}

// Encode returns the stored form.
func (m *Manifest) Encode() ([]byte, error) {
	b, err := json.Marshal(m)
	if err != nil {
		return nil, &Error{lagoonhead.Fault{Op: "inventory.encode", Kind: lagoonhead.KindInternal, Err: err}}
	}
	return b, nil
}

// DecodeManifest reads the stored form. It returns an error of KindInvalid when
// the form is not known.
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

// Committed reports whether the manifest or one before it was committed under the
// nonce. known is false when that is further back than the manifest remembers:
// after is the revision that the commit was made on.
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

// Deletable returns the parts that no daemon needs any more. No later manifest can
// name them, since each commit makes the names of its new parts unique.
func (m *Manifest) Deletable() []string {
	var out []string
	for _, r := range m.Retired {
		if r.Revision <= m.Revision-keepRetired {
			out = append(out, r.Hash)
		}
	}
	return out
}

// succeed fills in what the manifest takes over from the one before it.
func (m *Manifest) succeed(prev *Manifest) {
	if prev == nil {
		return
	}
	m.History = append(m.History, Commit{Revision: prev.Revision, Nonce: prev.Nonce})
	m.History = append(m.History, prev.History...)
	m.History = m.History[:min(len(m.History), maxHistory)]
	kept := make(map[string]bool, len(m.Parts))
	for _, p := range m.Parts {
		kept[p.Hash] = true
	}
	for _, r := range prev.Retired {
		if r.Revision > prev.Revision-keepRetired {
			m.Retired = append(m.Retired, r)
		}
	}
	for _, p := range prev.Parts {
		if !kept[p.Hash] {
			m.Retired = append(m.Retired, RetiredPart{Hash: p.Hash, Revision: m.Revision})
		}
	}
}

func hashOf(b []byte) string {
	h := sha256.Sum256(b)
	return hex.EncodeToString(h[:])
}
