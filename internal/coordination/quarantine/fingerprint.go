package quarantine

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
)

// fingerprintBytes is the length of the digest in a fingerprint; callers choose bodies, so equal digests must be hard to find.
const fingerprintBytes = 16

// Fingerprint returns a text of 22 characters that is the same for requests with equal account, method, host, target and body.
func Fingerprint(account, method, host, target string, body []byte) string {
	h := sha256.New()
	for _, b := range [][]byte{[]byte(account), []byte(method), []byte(host), []byte(target), body} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(b))) // keeps "ab","c" apart from "a","bc"
		_, _ = h.Write(n[:])
		_, _ = h.Write(b)
	}
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}
