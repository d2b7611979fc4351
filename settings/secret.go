package settings

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"os"

	"github.com/lagoonhead/lagoonhead"
)

const (
	maxSecretBytes = 4 << 10
	// minTokenBytes is the minimum length of a shared token, so that it cannot be guessed.
	minTokenBytes  = 16
	resumeKeyBytes = 32
)

// ReadToken returns the shared token from TokenFile, without surrounding white space,
// or "" when TokenFile is empty. Errors never contain the token.
func (s Security) ReadToken() (string, error) {
	if s.TokenFile == "" {
		return "", nil
	}
	b, err := readSecret(s.TokenFile)
	if err != nil {
		return "", err
	}
	if len(b) < minTokenBytes {
		return "", secretError(fmt.Errorf("%s: the token is shorter than %d bytes", s.TokenFile, minTokenBytes))
	}
	return string(b), nil
}

// ReadKey returns the key that encrypts resume tokens, or nil when KeyFile is empty.
// Errors never contain the key.
func (r Resume) ReadKey() ([]byte, error) {
	if r.KeyFile == "" {
		return nil, nil
	}
	b, err := readSecret(r.KeyFile)
	if err != nil {
		return nil, err
	}
	key, err := hex.DecodeString(string(b))
	if err != nil || len(key) != resumeKeyBytes {
		return nil, secretError(fmt.Errorf("%s: the key is not %d bytes in hexadecimal", r.KeyFile, resumeKeyBytes))
	}
	return key, nil
}

func secretError(err error) error {
	return &Error{lagoonhead.Fault{Op: "settings.readSecret", Kind: lagoonhead.KindInvalid, Err: err}}
}

// readSecret returns the content of a file without surrounding white space.
func readSecret(file string) ([]byte, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, secretError(err)
	}
	if len(b) > maxSecretBytes {
		return nil, secretError(fmt.Errorf("%s: the file has more than %d bytes", file, maxSecretBytes))
	}
	return bytes.TrimSpace(b), nil
}
