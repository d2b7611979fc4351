package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/url"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// state is where a claim stands.
type state string

const (
	// claimed: the holder may send, or has sent, or has died.
	claimed state = "claimed"
	// done: the outcome is recorded.
	done state = "done"
	// released: the holder provably did not send; a repeat may run.
	released state = "released"
	// unknown: the one attempt was made and its outcome was lost.
	unknown state = "unknown"
)

// record is the value of a claim in the store.
type record struct {
	State    state  `json:"state"`
	BodyHash string `json:"bodyHash"`
	// Holder is the process that made the claim.
	Holder lagoonhead.Incarnation `json:"holder"`
	// Claim is the nonce of the claim; it stays over the writes of its holder.
	Claim string `json:"claim"`
	// Nonce is the nonce of this write. Reading it back tells whether a write whose
	// answer was lost took effect.
	Nonce string `json:"nonce"`
	// ClaimedAt is for people.
	ClaimedAt time.Time                  `json:"claimedAt"`
	Answer    *lagoonhead.RecordedAnswer `json:"answer,omitempty"`
}

// version is a record as the store holds it.
type version struct {
	record
	revision int64
}

// storeKey returns the key of a claim. The caller's key is hashed, since it may
// hold anything.
func storeKey(c lagoonhead.ClaimRequest) string {
	h := sha256.Sum256([]byte(c.Key))
	return "claim/" + url.PathEscape(string(c.Workspace)) + "/" + hex.EncodeToString(h[:])
}

func parse(e lagoonhead.Entry) (version, error) {
	v := version{revision: e.Revision}
	err := json.Unmarshal(e.Value, &v.record)
	return v, err
}

// encode panics when r cannot be encoded, which its types rule out.
func (r record) encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic("claim: record cannot be encoded: " + err.Error())
	}
	return b
}

func hashText(c lagoonhead.ClaimRequest) string { return hex.EncodeToString(c.BodyHash[:]) }
