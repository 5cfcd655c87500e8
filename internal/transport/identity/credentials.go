package identity

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/pkg/errors"
)

// protocolName is the ALPN identifier of the mesh; versions with different numbers can't connect to each other.
const protocolName = "snipetack-mesh-1"

// Provider yields a VM's certificate and the authorities to verify its peers with. It is safe for concurrent use.
type Provider interface {
	// Certificate returns the current certificate. It is called for each handshake, so a renewal needs no restart.
	Certificate() (tls.Certificate, error)
	// Roots returns the authorities, one of which must have signed a peer's certificate.
	Roots() (*x509.CertPool, error)
}

// static is a Provider whose values never change.
type static struct {
	certificate tls.Certificate
	roots       *x509.CertPool
}

var _ Provider = (*static)(nil)

// New returns a Provider of one certificate and one authority that never change.
func New(c tls.Certificate, authority *x509.Certificate) Provider {
	p := x509.NewCertPool()
	p.AddCert(authority)
	return &static{certificate: c, roots: p}
}

func (f *static) Certificate() (tls.Certificate, error) { return f.certificate, nil }

func (f *static) Roots() (*x509.CertPool, error) { return f.roots, nil }

// ServerConfig returns the TLS configuration of an accepting VM. It requires a client certificate, and takes the current
// credentials from p at each handshake.
func ServerConfig(p Provider) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocolName},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return currentServerConfig(p)
		},
	}
}

// ClientConfig returns the TLS configuration for dialling a VM, whose certificate must name it. It holds the credentials
// current at the call, so each dial needs a new one.
func ClientConfig(p Provider, vm string) (*tls.Config, error) {
	c, err := p.Certificate()
	if err != nil {
		return nil, err
	}
	r, err := p.Roots()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocolName},
		Certificates: []tls.Certificate{c},
		RootCAs:      r,
		ServerName:   vm,
	}, nil
}

// PeerVM returns the name of the VM at the other end of a connection, from the certificate that the handshake verified.
func PeerVM(s tls.ConnectionState) (string, error) {
	if len(s.PeerCertificates) == 0 {
		return "", errors.New("the peer showed no certificate")
	}
	return s.PeerCertificates[0].Subject.CommonName, nil
}

// currentServerConfig returns the TLS configuration for one handshake of an accepting VM.
func currentServerConfig(p Provider) (*tls.Config, error) {
	c, err := p.Certificate()
	if err != nil {
		return nil, err
	}
	r, err := p.Roots()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocolName},
		Certificates: []tls.Certificate{c},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    r,
	}, nil
}
