package cli

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/command/settings"
	"snipetack/internal/transport/identity"
)

// tokenSize is the number of random bytes in an operator's token; the token holds them in hexadecimal.
const tokenSize = 24

type certs struct {
	Settings string `long:"settings" description:"settings file" value-name:"FILE" required:"yes"`
}

// run issues a new certificate for every VM. An authority and an operator's token that exist already are reused.
func (c certs) run(e *environment) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return invalid{err}
	}
	a, err := loadOrCreateAuthority(s)
	if err != nil {
		return err
	}
	for _, v := range s.VMs {
		t, err := a.Issue(v.Name, time.Now())
		if err != nil {
			return err
		}
		if err := identity.SaveCertificate(s.CertificateFolder, v.Name, t); err != nil {
			return err
		}
	}
	if err := ensureToken(s.OperatorTokenFile); err != nil {
		return err
	}
	_, err = fmt.Fprintf(e.out, "%d certificates in %s, operator token in %s\n", len(s.VMs), s.CertificateFolder, s.OperatorTokenFile)
	return err
}

// loadOrCreateAuthority returns the fleet's certificate authority, and creates and saves one if the folder holds none. An
// authority that can't be read is an error: replacing it would invalidate the certificates issued so far.
func loadOrCreateAuthority(s settings.Settings) (*identity.Authority, error) {
	a, err := identity.LoadAuthority(s.CertificateFolder)
	if err == nil {
		return a, nil
	}
	if !errors.Is(err, os.ErrNotExist) {
		return nil, invalid{err}
	}
	a, err = identity.NewAuthority(s.Fleet, time.Now())
	if err != nil {
		return nil, err
	}
	return a, a.Save(s.CertificateFolder)
}

// ensureToken writes a new random token to a file unless the file exists.
func ensureToken(file string) error {
	if _, err := os.Stat(file); err == nil {
		return nil
	}
	b := make([]byte, tokenSize)
	if _, err := rand.Read(b); err != nil {
		return errors.Wrap(err, "generating the operator's token")
	}
	err := os.WriteFile(file, []byte("op-"+hex.EncodeToString(b)+"\n"), 0o600)
	return errors.Wrap(err, "writing the operator's token")
}
