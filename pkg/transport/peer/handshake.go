package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/go-faster/errors"
)

const (
	nonceBytes = 32
	// protocolMagic identifies the protocol and its version.
	protocolMagic = "HKRP1"
	// flagWithKey and flagWithoutKey state whether the server requires the
	// shared key.
	flagWithKey    = 'k'
	flagWithoutKey = 'o'
)

// The handshake is:
//
//	server: magic, flag, server nonce
//	client: magic, client nonce, HMAC("client", server nonce, client nonce)
//	server: HMAC("server", server nonce, client nonce)
//
// Without a shared key the HMACs are computed with the empty key, so that the
// messages have the same format.

// computeProof returns the HMAC by which one end proves that it has the key.
func computeProof(key []byte, role string, serverNonce, clientNonce []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(role))
	mac.Write(serverNonce)
	mac.Write(clientNonce)
	return mac.Sum(nil)
}

// serverHandshake runs the server side of the handshake within timeout.
func serverHandshake(conn net.Conn, key []byte, timeout time.Duration) error {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return err
	}
	hello := append([]byte(protocolMagic), keyFlag(key))
	if _, err := conn.Write(append(hello, nonce...)); err != nil {
		return err
	}
	reply := make([]byte, len(protocolMagic)+nonceBytes+sha256.Size)
	if _, err := io.ReadFull(conn, reply); err != nil {
		return err
	}
	if string(reply[:len(protocolMagic)]) != protocolMagic {
		return errors.New("the client uses another protocol; run the same release at both ends")
	}
	clientNonce := reply[len(protocolMagic) : len(protocolMagic)+nonceBytes]
	if !hmac.Equal(reply[len(protocolMagic)+nonceBytes:], computeProof(key, "client", nonce, clientNonce)) {
		return ErrKeyMismatch
	}
	if _, err := conn.Write(computeProof(key, "server", nonce, clientNonce)); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

// clientHandshake runs the client side of the handshake. It returns when the first
// message of the server arrived.
func clientHandshake(conn net.Conn, key []byte) (clockReading, error) {
	hello := make([]byte, len(protocolMagic)+1+nonceBytes)
	if _, err := io.ReadFull(conn, hello); err != nil {
		return 0, err
	}
	return readClock(), answerHello(conn, key, hello)
}

// answerHello runs the client side of the handshake after the first message.
func answerHello(conn net.Conn, key, hello []byte) error {
	if string(hello[:len(protocolMagic)]) != protocolMagic {
		return errors.New("the server uses another protocol; run the same release at both ends")
	}
	if got := hello[len(protocolMagic)]; got != keyFlag(key) {
		return fmt.Errorf("%w: only one end has a shared key", ErrKeyMismatch)
	}
	serverNonce := hello[len(protocolMagic)+1:]
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return err
	}
	reply := append([]byte(protocolMagic), nonce...)
	if _, err := conn.Write(append(reply, computeProof(key, "client", serverNonce, nonce)...)); err != nil {
		return err
	}
	serverProof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, serverProof); err != nil {
		return fmt.Errorf("%w: %w", ErrKeyMismatch, err)
	}
	if !hmac.Equal(serverProof, computeProof(key, "server", serverNonce, nonce)) {
		return ErrKeyMismatch
	}
	return conn.SetDeadline(time.Time{})
}

func keyFlag(key []byte) byte {
	if len(key) > 0 {
		return flagWithKey
	}
	return flagWithoutKey
}
