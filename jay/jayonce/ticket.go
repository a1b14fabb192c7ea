// Package jayonce runs work that is not idempotent at most once.
//
// A ticket binds an idempotency key to its home: the one incarnation (process
// lifetime of an instance) that may run the key's work. The home holds the state
// of the key for the ticket's lifetime, so no agreement between instances is
// needed. Only the home of a key without a ticket is decided by log order.
package jayonce

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"
	"time"

	"jayfield.example/jay/jayerror"
)

const (
	ticketPrefix = "jt1"
	ticketParts  = 4
	nonceSize    = 12
	macSize      = 16
	secretSize   = 32
	// MaxKeySize bounds the size of an idempotency key, in bytes.
	MaxKeySize = 256
)

// DefaultTicketLifetime is how long a ticket may be used.
const DefaultTicketLifetime = 15 * time.Minute

// Issuer issues and checks the tickets of one incarnation.
type Issuer struct {
	incarnation string
	secret      []byte
	start       time.Time
	lifetime    time.Duration
}

// NewIssuer returns the issuer of an incarnation that started at start.
func NewIssuer(incarnation string, start time.Time, lifetime time.Duration) *Issuer {
	secret := make([]byte, secretSize)
	_, _ = rand.Read(secret) // Read never returns an error.
	return &Issuer{incarnation: incarnation, secret: secret, start: start, lifetime: lifetime}
}

// Check accepts a key that begins with a ticket issued to the caller and not expired.
func (i *Issuer) Check(now time.Time, caller, key string) error {
	parts := strings.SplitN(key, ".", ticketParts+1)
	if len(parts) < ticketParts || parts[0] != ticketPrefix || len(key) > MaxKeySize {
		return jayerror.New("check", KindMalformed, "key does not begin with a ticket")
	}
	if parts[1] != i.incarnation {
		return jayerror.New("check", KindForeign, "ticket of "+parts[1])
	}
	want := i.sign(caller, parts[2])
	got, err := base64.RawURLEncoding.DecodeString(parts[3])
	if err != nil || !hmac.Equal(got, want) {
		return jayerror.New("check", KindForged, "ticket was not issued to this caller")
	}
	issued, ok := issueTime(parts[2])
	if !ok || now.Sub(i.start)-issued > i.lifetime {
		return jayerror.New("check", KindExpired, "ticket is too old")
	}
	return nil
}

// Issue returns a new ticket for a caller.
func (i *Issuer) Issue(now time.Time, caller string) string {
	payload := make([]byte, 8+nonceSize)
	binary.BigEndian.PutUint64(payload, uint64(now.Sub(i.start))) //nolint:gosec // Monotonic time does not go back.
	_, _ = rand.Read(payload[8:])                                 // Read never returns an error.
	text := base64.RawURLEncoding.EncodeToString(payload)
	mac := base64.RawURLEncoding.EncodeToString(i.sign(caller, text))
	return strings.Join([]string{ticketPrefix, i.incarnation, text, mac}, ".")
}

// Lifetime returns how long a ticket may be used.
func (i *Issuer) Lifetime() time.Duration {
	return i.lifetime
}

// HomeOf returns the incarnation that may run the work of a key, and whether the key begins with a ticket.
func HomeOf(key string) (string, bool) {
	parts := strings.SplitN(key, ".", ticketParts+1)
	if len(parts) < ticketParts || parts[0] != ticketPrefix || len(key) > MaxKeySize {
		return "", false
	}
	return parts[1], true
}

func (i *Issuer) sign(caller, payload string) []byte {
	mac := hmac.New(sha256.New, i.secret)
	mac.Write([]byte(payload))
	mac.Write([]byte{0})
	mac.Write([]byte(caller))
	return mac.Sum(nil)[:macSize]
}

// issueTime returns the time from the issuer's start to the issue of a ticket, and whether the payload is valid.
func issueTime(payload string) (time.Duration, bool) {
	data, err := base64.RawURLEncoding.DecodeString(payload)
	if err != nil || len(data) != 8+nonceSize {
		return 0, false
	}
	return time.Duration(binary.BigEndian.Uint64(data)), true //nolint:gosec // The payload is authenticated.
}
