package quarantine

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"

	"snipetack/internal/state/plan"
)

// fingerprintBytes is the length of the digest in a fingerprint; callers choose bodies, so equal digests must be hard to find.
const fingerprintBytes = 16

// Subject is what quarantines know a request by.
type Subject struct {
	Segments    []string // ids of the prompt's segments that other requests may share; none without a prompt
	Fingerprint string   // "" for batch items, which stay owed when upstreams crash under them
}

// Fingerprint returns a text of 30 characters that is the same for requests with equal account, method, host, target and body.
func Fingerprint(account, method, host, target string, body []byte) string {
	h := sha256.New()
	for _, b := range [][]byte{[]byte(account), []byte(method), []byte(host), []byte(target), body} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(b))) // keeps "ab","c" apart from "a","bc"
		_, _ = h.Write(n[:])
		_, _ = h.Write(b)
	}
	return plan.FingerprintPrefix + base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}
