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
	cursorMACSize = 16
	cursorParts   = 4
)

// cursor is a position in a stream, encoded as an event ID. It contains the
// request ID and the upstream that runs the request, so that any instance can
// resume the stream, and is signed for the caller and the request's body.
type cursor struct {
	request, upstream string
	// nextOffset is the offset of the first event that the caller has not received.
	nextOffset int64
}

// eventIDPrefix returns the part of an event ID shared by all events of a stream.
func (f *Frontend) eventIDPrefix(c cursor, caller string, body []byte) string {
	mac := base64.RawURLEncoding.EncodeToString(f.signCursor(c, caller, body))
	return strings.Join([]string{c.request, c.upstream, mac, ""}, "~")
}

// parseCursor parses the ID of the last event that a caller received, and rejects
// an ID from another caller's stream or for another request body.
func (f *Frontend) parseCursor(id, caller string, body []byte) (cursor, error) {
	parts := strings.Split(id, "~")
	if len(parts) != cursorParts {
		return cursor{}, jayerror.New("resume", KindInvalid, "Last-Event-ID is not the ID of an event")
	}
	last, err := strconv.ParseInt(parts[3], 10, 64)
	c := cursor{request: parts[0], upstream: parts[1], nextOffset: last + 1}
	mac, macErr := base64.RawURLEncoding.DecodeString(parts[2])
	if err != nil || last < 0 || macErr != nil || !hmac.Equal(mac, f.signCursor(c, caller, body)) {
		return cursor{}, jayerror.New("resume", KindInvalid, "Last-Event-ID belongs to another request; send the same body again")
	}
	if _, err := uuid.Parse(c.request); err != nil {
		return cursor{}, jayerror.Wrap("resume", KindInvalid, err)
	}
	return c, nil
}

func (f *Frontend) signCursor(c cursor, caller string, body []byte) []byte {
	sum := sha256.Sum256(body)
	mac := hmac.New(sha256.New, f.Secret)
	for _, part := range []string{"cursor", c.request, c.upstream, caller} {
		mac.Write([]byte(part))
		mac.Write([]byte{0})
	}
	mac.Write(sum[:])
	return mac.Sum(nil)[:cursorMACSize]
}
