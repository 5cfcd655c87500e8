package identity

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/pkg/errors"
)

// Lifetimes of issued certificates. Their validity begins clockAllowance early, for VMs whose clocks are behind.
const (
	authorityLifetime   = 10 * 365 * 24 * time.Hour
	certificateLifetime = 365 * 24 * time.Hour
	clockAllowance      = time.Hour
)

// Authority is the fleet's own certificate authority.
type Authority struct {
	Certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority creates an authority for a fleet with a new key. Its certificate is valid for authorityLifetime from now.
func NewAuthority(fleet string, now time.Time) (*Authority, error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generating the authority's key")
	}
	t, err := template(fleet+" authority", now, authorityLifetime)
	if err != nil {
		return nil, err
	}
	t.IsCA = true
	t.BasicConstraintsValid = true
	t.KeyUsage = x509.KeyUsageCertSign
	b, err := x509.CreateCertificate(rand.Reader, t, t, &k.PublicKey, k)
	if err != nil {
		return nil, errors.Wrap(err, "signing the authority's certificate")
	}
	c, err := x509.ParseCertificate(b)
	return &Authority{Certificate: c, key: k}, errors.Wrap(err, "parsing the authority's certificate")
}

// Issue returns a certificate for a VM with a new key, valid for certificateLifetime from now.
func (a *Authority) Issue(vm string, now time.Time) (tls.Certificate, error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, errors.Wrapf(err, "generating a key for VM %q", vm)
	}
	t, err := template(vm, now, certificateLifetime)
	if err != nil {
		return tls.Certificate{}, err
	}
	t.DNSNames = []string{vm}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	b, err := x509.CreateCertificate(rand.Reader, t, a.Certificate, &k.PublicKey, a.key)
	if err != nil {
		return tls.Certificate{}, errors.Wrapf(err, "signing a certificate for VM %q", vm)
	}
	return tls.Certificate{Certificate: [][]byte{b}, PrivateKey: k}, nil
}

// template returns the fields common to all certificates, with a random 120-bit serial number.
func template(name string, now time.Time, lifetime time.Duration) (*x509.Certificate, error) {
	n, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, errors.Wrap(err, "drawing a serial number")
	}
	return &x509.Certificate{
		SerialNumber: n,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockAllowance),
		NotAfter:     now.Add(lifetime),
	}, nil
}
