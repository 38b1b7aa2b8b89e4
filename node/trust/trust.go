// Package trust authenticates nodes to each other. All nodes of a fleet share a
// secret. Each node derives the key of the fleet's certificate authority from it
// by HKDF; the key is not stored. The authority signs a certificate for an
// ed25519 key that the node generates. Mutual TLS 1.3 then admits only holders of
// the secret. During a rotation a node accepts two secrets and signs with the
// first.
package trust

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/samber/oops"

	"zinniafall/policy/model"
)

const (
	// MinSecretBytes is the minimum length of a fleet secret.
	MinSecretBytes = 32
	// MaxSecrets is the maximum number of secrets accepted at the same time.
	MaxSecrets = 2

	// alpn is the ALPN protocol name of connections between nodes.
	alpn = "zinniafall/1"
	// serverName is the DNS name in each node's certificate.
	serverName = "node.zinniafall.internal"
	// authorityName is the common name of the derived authority.
	authorityName = "zinniafall fleet"
	// authorityInfo is the HKDF info that separates the authority's key from other
	// keys derived from the secret.
	authorityInfo = "zinniafall certificate authority v1"
	// sessionCacheSize is the maximum number of TLS sessions cached for resumption.
	sessionCacheSize = 256
)

// validFrom and validUntil make the validity of certificates independent of a VM's
// clock. They need no earlier end: a certificate's private key exists only in the
// process that generated it.
var (
	validFrom  = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	validUntil = time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC)
)

// Secret is a secret shared by all nodes of the fleet.
type Secret []byte

// Identity is a node's certificate and the authorities that the node accepts.
type Identity struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	sessions    tls.ClientSessionCache
}

// NewIdentity issues a certificate for the node at the peer address, signed by the
// authority of the first secret. It fails when a secret is too short or when there
// are none or too many.
func NewIdentity(node model.NodeAddr, secrets []Secret) (*Identity, error) {
	if len(secrets) == 0 || len(secrets) > MaxSecrets {
		return nil, oops.In("trust").Hint("Give one fleet secret, or two during a rotation.").
			Errorf("%d fleet secrets given", len(secrets))
	}
	pool := x509.NewCertPool()
	var signer *authority
	for _, secret := range secrets {
		a, err := deriveAuthority(secret)
		if err != nil {
			return nil, err
		}
		pool.AddCert(a.certificate)
		if signer == nil {
			signer = a
		}
	}
	certificate, err := signer.issue(node)
	if err != nil {
		return nil, err
	}
	sessions := tls.NewLRUClientSessionCache(sessionCacheSize)
	return &Identity{certificate: certificate, authorities: pool, sessions: sessions}, nil
}

// ServerConfig returns the TLS configuration of connections that other nodes open.
func (i *Identity) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{alpn},
		Certificates: []tls.Certificate{i.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    i.authorities,
	}
}

// ClientConfig returns the TLS configuration of connections that this node opens.
func (i *Identity) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{alpn},
		Certificates:       []tls.Certificate{i.certificate},
		RootCAs:            i.authorities,
		ServerName:         serverName,
		ClientSessionCache: i.sessions,
	}
}

// PeerAddr returns the peer address in the other node's certificate; it is empty
// when there is no certificate.
func PeerAddr(state tls.ConnectionState) model.NodeAddr {
	if len(state.PeerCertificates) == 0 {
		return ""
	}
	return model.NodeAddr(state.PeerCertificates[0].Subject.CommonName)
}

// authority is a certificate authority derived from one secret.
type authority struct {
	key         ed25519.PrivateKey
	certificate *x509.Certificate
}

func deriveAuthority(secret Secret) (*authority, error) {
	if len(secret) < MinSecretBytes {
		return nil, oops.In("trust").Hint("Use a random secret of at least 32 bytes.").
			Errorf("the fleet secret has %d bytes", len(secret))
	}
	seed, err := hkdf.Key(sha256.New, secret, nil, authorityInfo, ed25519.SeedSize)
	if err != nil {
		return nil, oops.In("trust").Wrap(err)
	}
	key := ed25519.NewKeyFromSeed(seed)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: authorityName},
		NotBefore:             validFrom,
		NotAfter:              validUntil,
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	certificate, err := signCertificate(template, template, key.Public(), key)
	if err != nil {
		return nil, err
	}
	return &authority{key: key, certificate: certificate}, nil
}

func (a *authority) issue(node model.NodeAddr) (tls.Certificate, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return tls.Certificate{}, oops.In("trust").Wrap(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: string(node)},
		DNSNames:     []string{serverName},
		NotBefore:    validFrom,
		NotAfter:     validUntil,
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	certificate, err := signCertificate(template, a.certificate, public, a.key)
	if err != nil {
		return tls.Certificate{}, err
	}
	return tls.Certificate{Certificate: [][]byte{certificate.Raw}, PrivateKey: private, Leaf: certificate}, nil
}

func signCertificate(template, parent *x509.Certificate, public any, key ed25519.PrivateKey) (*x509.Certificate, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, public, key)
	if err != nil {
		return nil, oops.In("trust").Wrap(err)
	}
	certificate, err := x509.ParseCertificate(der)
	return certificate, oops.In("trust").Wrap(err)
}
