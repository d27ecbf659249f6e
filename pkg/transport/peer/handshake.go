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
	// magic identifies the protocol and its version.
	magic = "HKRP1"
	// flagKey and flagOpen tell whether the server asks for the shared key.
	flagKey  = 'k'
	flagOpen = 'o'
)

// The handshake is:
//
//	server: magic, flag, server nonce
//	client: magic, client nonce, HMAC("client", server nonce, client nonce)
//	server: HMAC("server", server nonce, client nonce)
//
// Without a key the HMAC fields are sent too, made with the empty key, so that
// the messages have one form.

// proof returns the HMAC that one end sends.
func proof(key []byte, role string, serverNonce, clientNonce []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(role))
	mac.Write(serverNonce)
	mac.Write(clientNonce)
	return mac.Sum(nil)
}

// serverHandshake admits a client.
func serverHandshake(conn net.Conn, key []byte, timeout time.Duration) error {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return err
	}
	hello := append([]byte(magic), flag(key))
	if _, err := conn.Write(append(hello, nonce...)); err != nil {
		return err
	}
	reply := make([]byte, len(magic)+nonceBytes+sha256.Size)
	if _, err := io.ReadFull(conn, reply); err != nil {
		return err
	}
	if string(reply[:len(magic)]) != magic {
		return errors.New("client speaks another protocol; use the same release at both ends")
	}
	clientNonce := reply[len(magic) : len(magic)+nonceBytes]
	if !hmac.Equal(reply[len(magic)+nonceBytes:], proof(key, "client", nonce, clientNonce)) {
		return ErrKeyMismatch
	}
	if _, err := conn.Write(proof(key, "server", nonce, clientNonce)); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

// clientHandshake introduces the client to a server.
func clientHandshake(conn net.Conn, key []byte) error {
	hello := make([]byte, len(magic)+1+nonceBytes)
	if _, err := io.ReadFull(conn, hello); err != nil {
		return err
	}
	if string(hello[:len(magic)]) != magic {
		return errors.New("server speaks another protocol; use the same release at both ends")
	}
	if got := hello[len(magic)]; got != flag(key) {
		return fmt.Errorf("%w: only one end has a key", ErrKeyMismatch)
	}
	serverNonce := hello[len(magic)+1:]
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return err
	}
	reply := append([]byte(magic), nonce...)
	if _, err := conn.Write(append(reply, proof(key, "client", serverNonce, nonce)...)); err != nil {
		return err
	}
	answer := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, answer); err != nil {
		return fmt.Errorf("%w: %w", ErrKeyMismatch, err)
	}
	if !hmac.Equal(answer, proof(key, "server", serverNonce, nonce)) {
		return ErrKeyMismatch
	}
	return conn.SetDeadline(time.Time{})
}

func flag(key []byte) byte {
	if len(key) > 0 {
		return flagKey
	}
	return flagOpen
}
