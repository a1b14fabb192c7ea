package jaypeer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"net"
	"time"

	"jayfield.example/jay/jayerror"
)

// hello opens a connection from either side.
type hello struct {
	Version int    `msgpack:"v"`
	Nonce   []byte `msgpack:"n"`
}

// proof shows that its sender holds the shared key.
type proof struct {
	MAC []byte `msgpack:"m"`
}

// side names the end of a connection, so that a proof cannot be sent back.
type side string

const (
	sideDialer   side = "dialer"
	sideListener side = "listener"
)

func (s side) other() side {
	if s == sideDialer {
		return sideListener
	}
	return sideDialer
}

// handshake proves the shared key to the other end and checks its proof before a deadline.
func handshake(conn net.Conn, key []byte, own side, deadline time.Time) error {
	if err := conn.SetDeadline(deadline); err != nil {
		return jayerror.Wrap("handshake", KindAuth, err)
	}
	mine := hello{Version: Version, Nonce: make([]byte, nonceLength)}
	_, _ = rand.Read(mine.Nonce) // It never fails.
	if err := writeFrame(conn, maxHello, &mine); err != nil {
		return jayerror.Wrap("handshake", KindAuth, err)
	}
	var theirs hello
	if err := readFrame(conn, maxHello, &theirs); err != nil {
		return jayerror.Wrap("handshake", KindAuth, err)
	}
	if theirs.Version != Version || len(theirs.Nonce) != nonceLength {
		return jayerror.Newf("handshake", KindAuth, "version %d is not %d", theirs.Version, Version)
	}
	if err := writeFrame(conn, maxHello, &proof{MAC: prove(key, own, mine.Nonce, theirs.Nonce)}); err != nil {
		return jayerror.Wrap("handshake", KindAuth, err)
	}
	var got proof
	if err := readFrame(conn, maxHello, &got); err != nil {
		return jayerror.Wrap("handshake", KindAuth, err)
	}
	if !hmac.Equal(got.MAC, prove(key, own.other(), theirs.Nonce, mine.Nonce)) {
		return jayerror.New("handshake", KindAuth, "other side holds another key")
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return jayerror.Wrap("handshake", KindAuth, err)
	}
	return nil
}

func prove(key []byte, by side, own, other []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(by))
	mac.Write(own)
	mac.Write(other)
	return mac.Sum(nil)
}
