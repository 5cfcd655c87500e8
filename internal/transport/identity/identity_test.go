package identity

import (
	"crypto/x509"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func issueInto(t *testing.T, a *Authority, path, vm string) *x509.Certificate {
	c, err := a.Issue(vm, time.Now())
	require.NoError(t, err)
	require.NoError(t, SaveCertificate(path, vm, c))
	x, err := x509.ParseCertificate(c.Certificate[0])
	require.NoError(t, err)
	return x
}

func currentCertificate(t *testing.T, p Provider) *x509.Certificate {
	c, err := p.Certificate()
	require.NoError(t, err)
	x, err := x509.ParseCertificate(c.Certificate[0])
	require.NoError(t, err)
	return x
}

// Guards against a VM that uses its old certificate until it restarts, and against a damaged file that takes away the
// working one.
func TestRenewalNeedsNoRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := t.TempDir()
		created, err := NewAuthority("test", time.Now())
		require.NoError(t, err)
		require.NoError(t, created.Save(d))
		a, err := LoadAuthority(d)
		require.NoError(t, err)
		first := issueInto(t, a, d, "vm-1")
		p, err := Load(d, "vm-1")
		require.NoError(t, err)
		require.Equal(t, first.SerialNumber, currentCertificate(t, p).SerialNumber)

		second := issueInto(t, a, d, "vm-1")
		time.Sleep(reloadInterval)
		require.Equal(t, second.SerialNumber, currentCertificate(t, p).SerialNumber)

		require.NoError(t, os.WriteFile(filepath.Join(d, "vm-1.pem"), []byte("damaged"), 0o600))
		time.Sleep(reloadInterval)
		require.Equal(t, second.SerialNumber, currentCertificate(t, p).SerialNumber)

		x, err := a.Issue("vm-1", time.Now())
		require.NoError(t, err)
		require.NoError(t, SaveCertificate(d, "vm-1", x))
		time.Sleep(reloadInterval)
		r, err := p.Roots()
		require.NoError(t, err)
		_, err = currentCertificate(t, p).Verify(x509.VerifyOptions{Roots: r, CurrentTime: time.Now(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}})
		require.NoError(t, err)
	})
}

func TestLoadErrorNamesVMAndFolder(t *testing.T) {
	d := t.TempDir()
	_, err := Load(d, "vm-1")
	require.ErrorContains(t, err, `loading the certificate of VM "vm-1" from `+d)
}
