package relay

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// KeyBytes is the size of a key of a Sealer.
	KeyBytes = 32

	// plainTokenVersion is the format of tokens of endpoints that name no software version, and of
	// all tokens of older daemons. tokenVersion has the software version too.
	plainTokenVersion = 1
	tokenVersion      = 2
	saltBytes         = 16
	offsetBytes       = 8
	nonceBytes        = 12
	headerBytes       = 1 + saltBytes + offsetBytes
	keyInfo           = "lagoonhead resume token"
)

// tokenEncoding is strict, because otherwise the unused bits of the last character
// could be altered without detection.
var tokenEncoding = base64.RawURLEncoding.Strict()

// ResumePoint is a position in a response from which it can be resumed.
type ResumePoint struct {
	endpoint  lagoonhead.EndpointID
	request   lagoonhead.RequestID
	workspace lagoonhead.WorkspaceID
	offset    int64
	software  string
}

// NewResumePoint returns the position after the event with the given offset.
func NewResumePoint(e lagoonhead.EndpointID, r lagoonhead.RequestID, w lagoonhead.WorkspaceID, offset int64) ResumePoint {
	return ResumePoint{endpoint: e, request: r, workspace: w, offset: offset}
}

// WithSoftware returns a copy of a response of an engine that runs the given version of its software.
func (p ResumePoint) WithSoftware(version string) ResumePoint { p.software = version; return p }

// Pin returns the pin to the software version of the engine, which alone can resume the response. It
// is the empty version if the engine named none, or an older daemon sealed the token.
func (p ResumePoint) Pin() lagoonhead.VersionPin { return lagoonhead.PinVersion(p.software) }

// Endpoint returns the engine that ran the request.
func (p ResumePoint) Endpoint() lagoonhead.EndpointID { return p.endpoint }

// Request returns the request whose response is resumed.
func (p ResumePoint) Request() lagoonhead.RequestID { return p.request }

// Workspace returns the workspace of the request.
func (p ResumePoint) Workspace() lagoonhead.WorkspaceID { return p.workspace }

// Offset returns the offset of the last event that the caller has.
func (p ResumePoint) Offset() int64 { return p.offset }

// Sealer encrypts (seals) and decrypts (opens) resume tokens. It is safe for concurrent
// use.
//
// A token is the base64 form of the format version, the salt of the stream key, the offset, and
// the ciphertext of the endpoint, the request, the workspace and, unless it is empty, the software
// version.
type Sealer struct {
	keys [][]byte
}

// NewSealer returns a Sealer that seals with the first key and opens with any key, so
// that a key can be replaced while streams are open. KindInvalid means that there is no
// key or that the size of a key is not KeyBytes.
func NewSealer(keys ...[]byte) (*Sealer, error) {
	if len(keys) == 0 {
		return nil, fail("relay.newSealer", lagoonhead.KindInvalid, errors.New("no key given"))
	}
	s := &Sealer{}
	for _, k := range keys {
		if len(k) != KeyBytes {
			return nil, fail("relay.newSealer", lagoonhead.KindInvalid, errors.Newf("a key has %d bytes, want %d", len(k), KeyBytes))
		}
		s.keys = append(s.keys, append([]byte(nil), k...))
	}
	return s, nil
}

// streamKey returns AES-GCM with the key that is derived for one stream. With random
// nonces and one key for the whole fleet, the limit of 2^32 events per key would be
// reached within two hours at the load that the system is designed for. With a key per
// stream the offset is the nonce, and one nonce is never used for different plaintexts.
func streamKey(key, salt []byte) (cipher.AEAD, error) {
	k, err := hkdf.Key(sha256.New, key, salt, keyInfo, KeyBytes)
	if err != nil {
		return nil, err
	}
	b, err := aes.NewCipher(k)
	if err != nil {
		return nil, err
	}
	return cipher.NewGCM(b)
}

// streamSealer seals the tokens for the events of one stream. It is not safe for
// concurrent use.
type streamSealer struct {
	aead cipher.AEAD
	// header is the format version, the salt and the offset.
	header    [headerBytes]byte
	nonce     [nonceBytes]byte
	plaintext []byte
	token     []byte
}

// stream returns a streamSealer, with a new salt, for the stream of p.
func (s *Sealer) stream(p ResumePoint) (*streamSealer, error) {
	v := &streamSealer{}
	v.header[0] = plainTokenVersion
	v.plaintext = appendString(appendString(appendString(nil, string(p.endpoint)), string(p.request)), string(p.workspace))
	if p.software != "" {
		v.header[0] = tokenVersion
		v.plaintext = appendString(v.plaintext, p.software)
	}
	salt := v.header[1 : 1+saltBytes]
	if _, err := rand.Read(salt); err != nil {
		return nil, fail("relay.seal", lagoonhead.KindInternal, err)
	}
	var err error
	if v.aead, err = streamKey(s.keys[0], salt); err != nil {
		return nil, fail("relay.seal", lagoonhead.KindInternal, err)
	}
	v.token = make([]byte, 0, headerBytes+len(v.plaintext)+v.aead.Overhead())
	return v, nil
}

// append appends the token for the event with the given offset to b.
func (v *streamSealer) append(b []byte, offset int64) []byte {
	binary.BigEndian.PutUint64(v.header[1+saltBytes:], uint64(offset))
	binary.BigEndian.PutUint64(v.nonce[nonceBytes-offsetBytes:], uint64(offset))
	v.token = append(v.token[:0], v.header[:]...)
	v.token = v.aead.Seal(v.token, v.nonce[:], v.plaintext, v.header[:1])
	return tokenEncoding.AppendEncode(b, v.token)
}

// Seal returns the token for a point.
func (s *Sealer) Seal(p ResumePoint) (string, error) {
	v, err := s.stream(p)
	if err != nil {
		return "", err
	}
	return string(v.append(nil, p.offset)), nil
}

// Open returns the point of a token that was sealed for the workspace. The error is
// ErrForeignToken with KindForbidden for a token of another workspace, and ErrInvalidToken
// with KindInvalid for any other invalid token.
func (s *Sealer) Open(token string, w lagoonhead.WorkspaceID) (ResumePoint, error) {
	b, err := tokenEncoding.DecodeString(token)
	if err != nil || len(b) < headerBytes || (b[0] != plainTokenVersion && b[0] != tokenVersion) {
		return ResumePoint{}, invalidTokenError()
	}
	for _, k := range s.keys {
		p, ok := openWithKey(k, b)
		if !ok {
			continue
		}
		if p.workspace != w {
			return ResumePoint{}, fail("relay.open", lagoonhead.KindForbidden, ErrForeignToken)
		}
		return p, nil
	}
	return ResumePoint{}, invalidTokenError()
}

func invalidTokenError() error { return fail("relay.open", lagoonhead.KindInvalid, ErrInvalidToken) }

// openWithKey opens the decoded token b. ok is false if b was not sealed with key.
func openWithKey(key, b []byte) (p ResumePoint, ok bool) {
	aead, err := streamKey(key, b[1:1+saltBytes])
	if err != nil {
		return p, false
	}
	var nonce [nonceBytes]byte
	copy(nonce[nonceBytes-offsetBytes:], b[1+saltBytes:headerBytes])
	plain, err := aead.Open(nil, nonce[:], b[headerBytes:], b[:1])
	if err != nil {
		return p, false
	}
	e, plain, ok1 := cutString(plain)
	r, plain, ok2 := cutString(plain)
	w, plain, ok3 := cutString(plain)
	software, ok4 := "", true
	if b[0] == tokenVersion {
		software, plain, ok4 = cutString(plain)
	}
	offset := int64(binary.BigEndian.Uint64(b[1+saltBytes : headerBytes]))
	if !ok1 || !ok2 || !ok3 || !ok4 || len(plain) != 0 || offset < 0 {
		return p, false
	}
	p = NewResumePoint(lagoonhead.EndpointID(e), lagoonhead.RequestID(r), lagoonhead.WorkspaceID(w), offset)
	return p.WithSoftware(software), true
}

// appendString appends s with its length as a prefix.
func appendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// cutString returns the string that appendString put at the start of b, and the rest.
func cutString(b []byte) (s string, rest []byte, ok bool) {
	n, size := binary.Uvarint(b)
	if size <= 0 || n > uint64(len(b)-size) {
		return "", nil, false
	}
	b = b[size:]
	return string(b[:n]), b[n:], true
}
