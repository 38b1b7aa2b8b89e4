// Package trust lets nodes authenticate each other. All nodes of a fleet hold
// one secret. From it each node derives, by HKDF, the key of a certificate
// authority that exists nowhere else, and signs a certificate for a fresh
// ed25519 key of its own. TLS 1.3 with certificates on both sides then admits
// holders of the secret only. During a rotation a node accepts two secrets
// and signs with the first.
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
	// MinSecretBytes is the shortest accepted fleet secret.
	MinSecretBytes = 32
	// MaxSecrets is the number of secrets accepted at once.
	MaxSecrets = 2

	// alpn is the application protocol of connections between nodes.
	alpn = "zinniafall/1"
	// serverName is the DNS name in each node's certificate.
	serverName = "node.zinniafall.internal"
	// authorityName is the subject of the derived authority.
	authorityName = "zinniafall fleet"
	// authorityInfo separates this key from others derived from the secret.
	authorityInfo = "zinniafall certificate authority v1"
	// sessionCacheSize bounds the TLS sessions kept for resumption.
	sessionCacheSize = 256
)

// validFrom and validUntil make certificates independent of a VM's clock: a
// certificate dies with the process that made its key.
var (
	validFrom  = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	validUntil = time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC)
)

// Secret is a secret that all nodes of the fleet hold.
type Secret []byte

// Identity is a node's certificate and the authorities that it accepts.
type Identity struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	sessions    tls.ClientSessionCache
}

// NewIdentity makes a certificate for the node at the peer address, signed
// with the first secret. It fails when a secret is too short or when there
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

// ServerConfig returns the TLS settings for connections that others open.
func (i *Identity) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{alpn},
		Certificates: []tls.Certificate{i.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    i.authorities,
	}
}

// ClientConfig returns the TLS settings for connections that this node opens.
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

// PeerAddr returns the peer address that the other side's certificate names.
func PeerAddr(state tls.ConnectionState) model.NodeAddr {
	if len(state.PeerCertificates) == 0 {
		return ""
	}
	return model.NodeAddr(state.PeerCertificates[0].Subject.CommonName)
}

// authority is the certificate authority derived from one secret.
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
