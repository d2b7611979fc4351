package inventory

import (
	"encoding/hex"
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/strict"
)

// Error is the error type of the package.
type Error struct{ lagoonhead.Fault }

// Rate is a number of tokens per second, written as "2000tok/s" or "2ktok/s".
type Rate float64

// Tokens is a number of tokens, written as "60000tok" or "60ktok".
type Tokens int64

// Price is a cost in cost units per hour, written as "2.4/h".
type Price float64

// Duration is a positive length of time, written as "150ms", "2s" or "8h".
type Duration time.Duration

// Hash is the SHA-256 of an API key, written as 64 hexadecimal digits.
type Hash [32]byte

var (
	_ strict.Value = (*Rate)(nil)
	_ strict.Value = (*Tokens)(nil)
	_ strict.Value = (*Price)(nil)
	_ strict.Value = (*Duration)(nil)
	_ strict.Value = (*Hash)(nil)
)

// Bounds of the values. They keep sums over a fleet far from overflow.
const (
	minRate     = 0.001 // tokens per second
	maxRate     = 1e9   // tokens per second
	maxTokens   = 1_000_000_000_000
	maxPrice    = 1e6 // cost units per hour
	maxDuration = 7 * 24 * time.Hour
)

// unitPrefixes maps the accepted prefixes of the units "tok" and "tok/s" to factors.
var unitPrefixes = map[string]float64{"": 1, "k": 1e3, "M": 1e6}

var quantityPattern = regexp.MustCompile(`^([0-9]{1,15}(?:\.[0-9]{1,30})?)([a-zA-Z/]*)$`)

// parseQuantity parses a number that is followed by the unit, which may have a prefix
// unless it is unitPrice.
func parseQuantity(s, unit string) (v float64, err error) {
	m := quantityPattern.FindStringSubmatch(s)
	if m == nil {
		return 0, fmt.Errorf("%q is not a number with a unit", s)
	}
	if v, err = strconv.ParseFloat(m[1], 64); err != nil {
		return 0, fmt.Errorf("%q is not a number with a unit", s)
	}
	if m[2] == unit {
		return v, nil
	}
	prefix, ok := strings.CutSuffix(m[2], unit)
	scale, known := unitPrefixes[prefix]
	if !ok || !known || unit == unitPrice {
		return 0, fmt.Errorf("%q has not the unit %s", s, unit)
	}
	return v * scale, nil
}

// Units in the text of values.
const (
	unitRate   = "tok/s"
	unitTokens = "tok"
	unitPrice  = "/h"
)

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// MarshalText implements encoding.TextMarshaler.
func (r Rate) MarshalText() ([]byte, error) { return []byte(formatFloat(float64(r)) + unitRate), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Rate) UnmarshalText(b []byte) error {
	v, err := parseQuantity(string(b), unitRate)
	if err != nil {
		return err
	}
	if v < minRate || v > maxRate {
		return fmt.Errorf("%q is out of range", b)
	}
	*r = Rate(v)
	return nil
}

// Accepted implements strict.Value.
func (r *Rate) Accepted() string {
	return `tokens per second from 0.001tok/s to 1000Mtok/s, for example "2000tok/s" or "2ktok/s"`
}

// MarshalText implements encoding.TextMarshaler.
func (t Tokens) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatInt(int64(t), 10) + unitTokens), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (t *Tokens) UnmarshalText(b []byte) error {
	v, err := parseQuantity(string(b), unitTokens)
	if err != nil {
		return err
	}
	if v < 1 || v > maxTokens || v != float64(int64(v)) {
		return fmt.Errorf("%q is out of range or not whole", b)
	}
	*t = Tokens(v)
	return nil
}

// Accepted implements strict.Value.
func (t *Tokens) Accepted() string {
	return `whole tokens from 1tok to 1000000Mtok, for example "60000tok" or "60ktok"`
}

// MarshalText implements encoding.TextMarshaler.
func (p Price) MarshalText() ([]byte, error) { return []byte(formatFloat(float64(p)) + unitPrice), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *Price) UnmarshalText(b []byte) error {
	v, err := parseQuantity(string(b), unitPrice)
	if err != nil {
		return err
	}
	if v > maxPrice {
		return fmt.Errorf("%q is out of range", b)
	}
	*p = Price(v)
	return nil
}

// Accepted implements strict.Value.
func (p *Price) Accepted() string { return `units per hour from 0/h to 1000000/h, for example "2.4/h"` }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	s := time.Duration(d).String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return []byte(s), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is not a time with a unit", b)
	}
	if v <= 0 || v > maxDuration {
		return fmt.Errorf("%q is out of range", b)
	}
	*d = Duration(v)
	return nil
}

// Accepted implements strict.Value.
func (d *Duration) Accepted() string {
	return `a time above 0 and up to 168h with a unit (ms, s, m, h), for example "1.5s"`
}

// MarshalText implements encoding.TextMarshaler.
func (h Hash) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, h[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Hash) UnmarshalText(b []byte) error {
	if len(b) != hex.EncodedLen(len(h)) {
		return fmt.Errorf("the hash has %d characters", len(b))
	}
	var out Hash
	if _, err := hex.Decode(out[:], b); err != nil {
		return errors.New("the hash is not hexadecimal")
	}
	*h = out
	return nil
}

// Accepted implements strict.Value.
func (h *Hash) Accepted() string { return "the SHA-256 of the key as 64 hexadecimal digits" }
