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
	// KeyBytes is the size of a sealing key.
	KeyBytes = 32

	tokenVersion = 1
	saltBytes    = 16
	offsetBytes  = 8
	nonceBytes   = 12
	headBytes    = 1 + saltBytes + offsetBytes
	keyInfo      = "lagoonhead resume token"
)

// tokenEncoding is strict, because otherwise the unused bits of the last
// character could be altered without notice.
var tokenEncoding = base64.RawURLEncoding.Strict()

// Point is where a stream can be resumed.
type Point struct {
	endpoint  lagoonhead.EndpointID
	request   lagoonhead.RequestID
	workspace lagoonhead.WorkspaceID
	offset    int64
}

// NewPoint returns the point after the event with the given offset.
func NewPoint(e lagoonhead.EndpointID, r lagoonhead.RequestID, w lagoonhead.WorkspaceID, offset int64) Point {
	return Point{endpoint: e, request: r, workspace: w, offset: offset}
}

// Endpoint returns the engine that holds the answer.
func (p Point) Endpoint() lagoonhead.EndpointID { return p.endpoint }

// Request returns the request whose answer is resumed.
func (p Point) Request() lagoonhead.RequestID { return p.request }

// Workspace returns the workspace that the request ran for.
func (p Point) Workspace() lagoonhead.WorkspaceID { return p.workspace }

// Offset returns the offset of the last event that the caller has.
func (p Point) Offset() int64 { return p.offset }

// Sealer seals and opens resume tokens. It is safe for concurrent use.
type Sealer struct {
	keys [][]byte
}

// NewSealer returns a Sealer that seals with the first key and opens with each,
// so that a key can be replaced while streams run. KindInvalid means that there
// is no key or that one does not have KeyBytes bytes.
func NewSealer(keys ...[]byte) (*Sealer, error) {
	if len(keys) == 0 {
		return nil, fail("relay.newSealer", lagoonhead.KindInvalid, errors.New("there is no key"))
	}
	s := &Sealer{}
	for _, k := range keys {
		if len(k) != KeyBytes {
			return nil, fail("relay.newSealer", lagoonhead.KindInvalid, errors.Newf("a key has %d bytes in place of %d", len(k), KeyBytes))
		}
		s.keys = append(s.keys, append([]byte(nil), k...))
	}
	return s, nil
}

// streamKey derives the key of one stream. With random nonces under one key for
// the whole fleet, the bound of 2^32 events would be reached within two hours at
// the load that the system is designed for. With a key per stream the offset is
// the nonce and cannot repeat for another content.
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

// streamSealer seals the tokens of one stream. It is not safe for concurrent use.
type streamSealer struct {
	aead  cipher.AEAD
	head  [headBytes]byte
	nonce [nonceBytes]byte
	plain []byte
	token []byte
}

// stream returns a sealer for the events of a stream from one endpoint.
func (s *Sealer) stream(e lagoonhead.EndpointID, r lagoonhead.RequestID, w lagoonhead.WorkspaceID) (*streamSealer, error) {
	v := &streamSealer{}
	v.head[0] = tokenVersion
	salt := v.head[1 : 1+saltBytes]
	if _, err := rand.Read(salt); err != nil {
		return nil, fail("relay.seal", lagoonhead.KindInternal, err)
	}
	var err error
	if v.aead, err = streamKey(s.keys[0], salt); err != nil {
		return nil, fail("relay.seal", lagoonhead.KindInternal, err)
	}
	v.plain = appendString(appendString(appendString(nil, string(e)), string(r)), string(w))
	v.token = make([]byte, 0, headBytes+len(v.plain)+v.aead.Overhead())
	return v, nil
}

// append appends the token for the event with the given offset to b.
func (v *streamSealer) append(b []byte, offset int64) []byte {
	binary.BigEndian.PutUint64(v.head[1+saltBytes:], uint64(offset))
	binary.BigEndian.PutUint64(v.nonce[nonceBytes-offsetBytes:], uint64(offset))
	v.token = append(v.token[:0], v.head[:]...)
	v.token = v.aead.Seal(v.token, v.nonce[:], v.plain, v.head[:1])
	return tokenEncoding.AppendEncode(b, v.token)
}

// Seal returns the token of a point.
func (s *Sealer) Seal(p Point) (string, error) {
	v, err := s.stream(p.endpoint, p.request, p.workspace)
	if err != nil {
		return "", err
	}
	return string(v.append(nil, p.offset)), nil
}

// Open returns the point of a token that was sealed for the workspace. The token of
// another workspace gets KindForbidden with ErrForeignToken, any other one KindInvalid
// with ErrToken.
func (s *Sealer) Open(token string, w lagoonhead.WorkspaceID) (Point, error) {
	b, err := tokenEncoding.DecodeString(token)
	if err != nil || len(b) < headBytes || b[0] != tokenVersion {
		return Point{}, badToken()
	}
	for _, k := range s.keys {
		p, ok := open(k, b)
		if !ok {
			continue
		}
		if p.workspace != w {
			return Point{}, fail("relay.open", lagoonhead.KindForbidden, ErrForeignToken)
		}
		return p, nil
	}
	return Point{}, badToken()
}

func badToken() error { return fail("relay.open", lagoonhead.KindInvalid, ErrToken) }

func open(key, b []byte) (p Point, ok bool) {
	aead, err := streamKey(key, b[1:1+saltBytes])
	if err != nil {
		return p, false
	}
	var nonce [nonceBytes]byte
	copy(nonce[nonceBytes-offsetBytes:], b[1+saltBytes:headBytes])
	plain, err := aead.Open(nil, nonce[:], b[headBytes:], b[:1])
	if err != nil {
		return p, false
	}
	e, plain, ok1 := cutString(plain)
	r, plain, ok2 := cutString(plain)
	w, plain, ok3 := cutString(plain)
	offset := int64(binary.BigEndian.Uint64(b[1+saltBytes : headBytes]))
	if !ok1 || !ok2 || !ok3 || len(plain) != 0 || offset < 0 {
		return p, false
	}
	return NewPoint(lagoonhead.EndpointID(e), lagoonhead.RequestID(r), lagoonhead.WorkspaceID(w), offset), true
}

func appendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func cutString(b []byte) (s string, rest []byte, ok bool) {
	n, size := binary.Uvarint(b)
	if size <= 0 || n > uint64(len(b)-size) {
		return "", nil, false
	}
	b = b[size:]
	return string(b[:n]), b[n:], true
}
