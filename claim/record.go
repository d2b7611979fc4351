package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/url"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// state is the state of a claim.
type state string

const (
	// stateClaimed: the holder may send the call, has sent it, or has died.
	stateClaimed state = "claimed"
	// stateDone: the outcome is recorded.
	stateDone state = "done"
	// stateReleased: the holder provably did not send the call; a retry may run.
	stateReleased state = "released"
	// stateUnknown: the single attempt was made and its outcome is unknown.
	stateUnknown state = "unknown"
)

// record is the stored value of a claim.
type record struct {
	State    state  `json:"state"`
	BodyHash string `json:"bodyHash"`
	// Holder is the process that created the claim.
	Holder lagoonhead.Incarnation `json:"holder"`
	// Claim is the nonce of the claim; all writes of its holder carry it.
	Claim string `json:"claim"`
	// Nonce is the nonce of this write. Reading it back shows whether a write whose
	// response was lost took effect.
	Nonce string `json:"nonce"`
	// ClaimedAt is for diagnosis by operators; the code does not use it.
	ClaimedAt time.Time                  `json:"claimedAt"`
	Answer    *lagoonhead.RecordedAnswer `json:"answer,omitempty"`
}

// storedRecord is a record with its revision in the store.
type storedRecord struct {
	record
	revision int64
}

// storeKey returns the store key of a claim. The caller's idempotency key is hashed,
// since it may contain any characters.
func storeKey(c lagoonhead.ClaimRequest) string {
	h := sha256.Sum256([]byte(c.Key))
	return "claim/" + url.PathEscape(string(c.Workspace)) + "/" + hex.EncodeToString(h[:])
}

func parse(e lagoonhead.Entry) (storedRecord, error) {
	v := storedRecord{revision: e.Revision}
	err := json.Unmarshal(e.Value, &v.record)
	return v, err
}

// encode returns the JSON of r. It panics if r cannot be encoded, which the field types
// rule out.
func (r record) encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic("claim: record cannot be encoded: " + err.Error())
	}
	return b
}

func hashText(c lagoonhead.ClaimRequest) string { return hex.EncodeToString(c.BodyHash[:]) }
