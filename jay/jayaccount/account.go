// Package jayaccount identifies client accounts by their keys, and decides what happens to a
// request whose key is in no account of the local copy of the traffic policy. It does no I/O and
// reads no clock.
package jayaccount

import (
	"crypto/sha256"
	"encoding/hex"
)

// shortDigits is the number of hexadecimal digits of a digest that logs show.
const shortDigits = 8

// Account is a client account.
type Account struct {
	Name string
	// Priority takes precedence over the priority of routes, 0 is the most urgent. It is nil if the account
	// has none.
	Priority *int
}

// PriorityOr returns the priority of the account, or another one if the account has none.
func (a Account) PriorityOr(other int) int {
	if a.Priority == nil {
		return other
	}
	return *a.Priority
}

// Key is the key of a client account. Formatting, logging or encoding one gives the start of its
// digest, so that a log line or dump that contains a key by mistake does not reveal it.
type Key string

// Digest returns the SHA-256 digest of the key.
func (k Key) Digest() Digest {
	return sha256.Sum256([]byte(k))
}

// String returns the start of the key's digest, empty for an empty key.
func (k Key) String() string {
	if k == "" {
		return ""
	}
	return k.Digest().Short()
}

// GoString returns what String returns.
func (k Key) GoString() string {
	return k.String()
}

// MarshalText returns what String returns.
func (k Key) MarshalText() ([]byte, error) {
	return []byte(k.String()), nil
}

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// Short returns the first 8 hexadecimal digits of the digest.
func (d Digest) Short() string {
	return hex.EncodeToString(d[:])[:shortDigits]
}
