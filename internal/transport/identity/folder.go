package identity

import (
	"crypto/ecdsa"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Names of the files in a certificate folder.
const (
	authorityFile     = "authority.pem"
	authorityKeyFile  = "authority.key"
	certificateSuffix = ".pem"
	keySuffix         = ".key"
)

// reloadInterval is the minimum time between two reads of the files.
const reloadInterval = 5 * time.Second

// folder is a Provider that reads the files again after reloadInterval, when it is next used.
type folder struct {
	path      string
	vm        string
	mu        sync.Mutex
	checkedAt time.Time // of the last read, also of a failed one; zero before the first success
	last      static    // of the last successful read
}

var _ Provider = (*folder)(nil)

// Load returns a Provider that reads a VM's certificate and the authority from a folder, and reads them again when it is
// used at least reloadInterval later. It fails when the first read does.
func Load(path, vm string) (Provider, error) {
	f := &folder{path: path, vm: vm}
	if err := f.refresh(time.Now()); err != nil {
		return nil, err
	}
	return f, nil
}

func (f *folder) Certificate() (tls.Certificate, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	err := f.refresh(time.Now())
	return f.last.certificate, err
}

func (f *folder) Roots() (*x509.CertPool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	err := f.refresh(time.Now())
	return f.last.roots, err
}

// refresh reads the files again if reloadInterval has passed. When they can't be read or don't match, as during a renewal,
// the credentials of the last successful read stay in force. Only the first read returns an error.
func (f *folder) refresh(now time.Time) error {
	if !f.checkedAt.IsZero() && now.Sub(f.checkedAt) < reloadInterval {
		return nil
	}
	c, err := tls.LoadX509KeyPair(f.file(f.vm+certificateSuffix), f.file(f.vm+keySuffix))
	if err == nil {
		err = f.loadRoots()
	}
	if err != nil && f.checkedAt.IsZero() {
		return errors.Wrapf(err, "loading the certificate of VM %q from %s", f.vm, f.path)
	}
	if err == nil {
		f.last.certificate = c
	}
	f.checkedAt = now
	return nil
}

func (f *folder) loadRoots() error {
	b, err := os.ReadFile(f.file(authorityFile))
	if err != nil {
		return err
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(b) {
		return errors.Errorf("%s holds no certificate", f.file(authorityFile))
	}
	f.last.roots = p
	return nil
}

func (f *folder) file(name string) string {
	return filepath.Join(f.path, name)
}

// Save writes the authority's certificate and key into a folder, which it creates if needed.
func (a *Authority) Save(path string) error {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return errors.Wrap(err, "creating the certificate folder")
	}
	return savePair(path, authorityFile, authorityKeyFile, a.Certificate.Raw, a.key)
}

// LoadAuthority reads an authority that Save has written.
func LoadAuthority(path string) (*Authority, error) {
	p, err := tls.LoadX509KeyPair(filepath.Join(path, authorityFile), filepath.Join(path, authorityKeyFile))
	if err != nil {
		return nil, errors.Wrapf(err, "loading the authority from %s", path)
	}
	k, ok := p.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil, errors.Errorf("the authority's key in %s is not an ECDSA key", path)
	}
	c, err := x509.ParseCertificate(p.Certificate[0])
	return &Authority{Certificate: c, key: k}, errors.Wrapf(err, "parsing the authority in %s", path)
}

// SaveCertificate writes a VM's certificate and key into an existing folder.
func SaveCertificate(path, vm string, c tls.Certificate) error {
	k, ok := c.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return errors.Errorf("the key of VM %q is not an ECDSA key", vm)
	}
	return savePair(path, vm+certificateSuffix, vm+keySuffix, c.Certificate[0], k)
}

func savePair(path, certificate, key string, raw []byte, k *ecdsa.PrivateKey) error {
	b, err := x509.MarshalPKCS8PrivateKey(k)
	if err != nil {
		return errors.Wrap(err, "encoding a private key")
	}
	if err := savePEM(filepath.Join(path, key), "PRIVATE KEY", b); err != nil {
		return err
	}
	return savePEM(filepath.Join(path, certificate), "CERTIFICATE", raw)
}

// savePEM replaces a file by a rename, so that a reader never sees a part of it. Only the file's owner may read it.
func savePEM(name, kind string, raw []byte) error {
	t := name + ".new"
	b := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw})
	if err := os.WriteFile(t, b, 0o600); err != nil {
		return errors.Wrapf(err, "writing %s", name)
	}
	return errors.Wrapf(os.Rename(t, name), "replacing %s", name)
}
