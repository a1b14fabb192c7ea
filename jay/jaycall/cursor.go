package jaycall

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"jayfield.example/jay/jayerror"
)

const (
	cursorMAC   = 16
	cursorParts = 4
)

// cursor is a position in a stream, as the ID of an event. It names the
// request and the upstream that runs it, so that any instance can go on, and
// is signed for the caller and the request's body.
type cursor struct {
	request, upstream string
	// next is the offset of the first event that the caller does not have.
	next int64
}

// prefix returns the part of an event's ID that is the same for all events of a stream.
func (f *Front) prefix(c cursor, caller string, body []byte) string {
	mac := base64.RawURLEncoding.EncodeToString(f.signCursor(c, caller, body))
	return strings.Join([]string{c.request, c.upstream, mac, ""}, "~")
}

// parseCursor reads the ID of the last event that a caller has, and refuses
// the ID of another caller's or another request's stream.
func (f *Front) parseCursor(id, caller string, body []byte) (cursor, error) {
	parts := strings.Split(id, "~")
	if len(parts) != cursorParts {
		return cursor{}, jayerror.New("resume", KindInvalid, "Last-Event-ID is not the ID of an event")
	}
	last, err := strconv.ParseInt(parts[3], 10, 64)
	c := cursor{request: parts[0], upstream: parts[1], next: last + 1}
	mac, macErr := base64.RawURLEncoding.DecodeString(parts[2])
	if err != nil || last < 0 || macErr != nil || !hmac.Equal(mac, f.signCursor(c, caller, body)) {
		return cursor{}, jayerror.New("resume", KindInvalid, "Last-Event-ID belongs to another request; send the same body again")
	}
	if _, err := uuid.Parse(c.request); err != nil {
		return cursor{}, jayerror.Wrap("resume", KindInvalid, err)
	}
	return c, nil
}

func (f *Front) signCursor(c cursor, caller string, body []byte) []byte {
	sum := sha256.Sum256(body)
	mac := hmac.New(sha256.New, f.Secret)
	for _, part := range []string{"cursor", c.request, c.upstream, caller} {
		mac.Write([]byte(part))
		mac.Write([]byte{0})
	}
	mac.Write(sum[:])
	return mac.Sum(nil)[:cursorMAC]
}
