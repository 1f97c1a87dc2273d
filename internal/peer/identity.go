package peer

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"math/big"
	"time"
)

const (
	alpnProtocol   = "alderdyke-peer/1" // ALPN: VMs with another protocol don't connect
	minSecretBytes = 16                 // bytes

	infoTLS      = "alderdyke peer TLS key 1"
	infoDatagram = "alderdyke peer datagram key 1"
)

// identity holds the keys and TLS settings that a VM derives from the shared secret.
type identity struct {
	server, client *tls.Config
	datagramKey    []byte
}

func newIdentity(secret []byte) (*identity, error) {
	if len(secret) < minSecretBytes {
		return nil, SecretError{Size: len(secret), Min: minSecretBytes}
	}
	seed, err := hkdf.Key(sha256.New, secret, nil, infoTLS, ed25519.SeedSize)
	if err != nil {
		return nil, fmt.Errorf("derive TLS key: %w", err)
	}
	mac, err := hkdf.Key(sha256.New, secret, nil, infoDatagram, sha256.Size)
	if err != nil {
		return nil, fmt.Errorf("derive datagram key: %w", err)
	}
	key := ed25519.NewKeyFromSeed(seed)
	cert, err := selfSigned(key)
	if err != nil {
		return nil, err
	}
	base := &tls.Config{
		Certificates:           []tls.Certificate{cert},
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{alpnProtocol},
		SessionTicketsDisabled: true,
		VerifyConnection:       pinPublicKey(key.Public().(ed25519.PublicKey)),
	}
	id := &identity{server: base, client: base.Clone(), datagramKey: mac}
	id.server.ClientAuth = tls.RequireAnyClientCert
	// The chain of a self-signed certificate proves nothing; VerifyConnection
	// accepts the one public key instead.
	id.client.InsecureSkipVerify = true
	return id, nil
}

// selfSigned creates a certificate that only carries the public key; its dates are not
// checked, so the clocks of the VMs don't matter.
func selfSigned(key ed25519.PrivateKey) (tls.Certificate, error) {
	tpl := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Unix(1<<32, 0),
	}
	der, err := x509.CreateCertificate(rand.Reader, tpl, tpl, key.Public(), key)
	if err != nil {
		return tls.Certificate{}, fmt.Errorf("create certificate: %w", err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}

// pinPublicKey accepts exactly one public key. TLS itself verifies that the other end has
// the private key for it.
func pinPublicKey(want ed25519.PublicKey) func(tls.ConnectionState) error {
	return func(cs tls.ConnectionState) error {
		if len(cs.PeerCertificates) == 0 || cs.NegotiatedProtocol != alpnProtocol {
			return UntrustedError{}
		}
		got, ok := cs.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
		if !ok || !want.Equal(got) {
			return UntrustedError{}
		}
		return nil
	}
}
