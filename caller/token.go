package caller

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

// Token says where a caller stands in an answer.
type Token struct {
	Workspace lagoonhead.WorkspaceID `json:"w"`
	Endpoint  lagoonhead.EndpointID  `json:"e"`
	Request   lagoonhead.RequestID   `json:"r"`
	// Offset is that of the last event that the caller has.
	Offset int64 `json:"o"`
}

// Sealer turns tokens into event identifiers that callers can neither read nor
// alter. All VMs share its secret.
type Sealer interface {
	Seal(t Token) string
	// Open returns an error of KindInvalid when s was not sealed with the secret.
	Open(s string) (Token, error)
}

// maxTokenBytes bounds a sealed token that a caller sends.
const maxTokenBytes = 2048

type gcmSealer struct{ aead cipher.AEAD }

// NewSealer returns a Sealer that uses AES-GCM. The secret has 16, 24 or 32 bytes;
// any other length is an error of KindInvalid.
func NewSealer(secret []byte) (Sealer, error) {
	b, err := aes.NewCipher(secret)
	if err != nil {
		return nil, fault("caller.newSealer", lagoonhead.KindInvalid, err)
	}
	a, err := cipher.NewGCM(b)
	if err != nil {
		return nil, fault("caller.newSealer", lagoonhead.KindInternal, err)
	}
	return &gcmSealer{aead: a}, nil
}

// Seal returns nonce and sealed token in base64 without padding.
func (s *gcmSealer) Seal(t Token) string {
	plain, err := json.Marshal(t)
	if err != nil {
		panic("caller: token cannot be encoded: " + err.Error())
	}
	nonce := make([]byte, s.aead.NonceSize())
	_, _ = rand.Read(nonce) // it never fails
	return base64.RawURLEncoding.EncodeToString(s.aead.Seal(nonce, nonce, plain, nil))
}

// Open returns the token.
func (s *gcmSealer) Open(text string) (Token, error) {
	var t Token
	if len(text) > maxTokenBytes {
		return t, invalidToken(errors.New("too long"))
	}
	// Strict refuses other spellings of the last character.
	b, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return t, invalidToken(err)
	}
	n := s.aead.NonceSize()
	if len(b) < n {
		return t, invalidToken(errors.New("too short"))
	}
	plain, err := s.aead.Open(nil, b[:n], b[n:], nil)
	if err != nil {
		return t, invalidToken(err)
	}
	if err := json.Unmarshal(plain, &t); err != nil {
		return t, invalidToken(err)
	}
	return t, nil
}

func invalidToken(err error) error {
	return fault("caller.openToken", lagoonhead.KindInvalid, err)
}
