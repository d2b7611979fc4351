package operator

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"

	"github.com/lagoonhead/lagoonhead/inventory"
)

const (
	// keyBytes is the length of the random part of a key. 256 bits cannot be guessed, so
	// it is safe to store a plain hash, without a salt.
	keyBytes   = 32
	keyIDBytes = 6
	// keyPrefix lets people and secret scanners recognize a key.
	keyPrefix = "lh_"
)

// NewKey returns a random API key and its stored form, which has only a hash of it.
func NewKey(label string) (key string, stored inventory.Key) {
	secret := make([]byte, keyBytes)
	id := make([]byte, keyIDBytes)
	// Read never fails: the runtime ends the program if no randomness is available.
	_, _ = rand.Read(secret)
	_, _ = rand.Read(id)
	key = keyPrefix + base64.RawURLEncoding.EncodeToString(secret)
	return key, inventory.Key{ID: "key-" + hex.EncodeToString(id), Label: label, SHA256: sha256.Sum256([]byte(key))}
}
