package access

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/state/catalog"
	"snipetack/internal/state/result"
)

// Sizes of the random parts of a key.
const (
	keyIDSize  = 6  // bytes
	secretSize = 24 // bytes
)

// keyPrefix marks a string as a caller's key.
const keyPrefix = "sk-"

// Secret is a newly issued key with its secret text, which is shown once and never stored.
type Secret struct {
	Text string      // what the caller sends as its bearer token
	Key  catalog.Key // what is stored
}

// Issue creates a random key for an account; the key does not expire.
func Issue(account string, now time.Time) (Secret, error) {
	b := make([]byte, keyIDSize+secretSize)
	if _, err := rand.Read(b); err != nil {
		return Secret{}, errors.Wrapf(err, "making a key for account %q", account)
	}
	id := hex.EncodeToString(b[:keyIDSize])
	t := keyPrefix + id + "-" + hex.EncodeToString(b[keyIDSize:])
	k := catalog.Key{ID: id, Account: account, Digest: Digest(t), IssuedAt: now}
	return Secret{Text: t, Key: k}, nil
}

// Digest returns the SHA-256 digest of a secret, which is stored in its place.
func Digest(secret string) [32]byte {
	return sha256.Sum256([]byte(secret))
}

// Authenticate returns the live key that a bearer token belongs to, or a result.Failure that says whether it is missing,
// unknown, or withdrawn or expired.
func Authenticate(c *catalog.Configuration, bearer string, now time.Time) (catalog.Key, error) {
	if bearer == "" {
		return catalog.Key{}, result.New(result.KeyMissing, "send the key as a bearer token")
	}
	k, ok := c.Keys[keyID(bearer)]
	d := Digest(bearer)
	if subtle.ConstantTimeCompare(d[:], k.Digest[:]) != 1 || !ok {
		return catalog.Key{}, result.New(result.KeyUnknown, "the key is not known")
	}
	if !Live(k, now) {
		return catalog.Key{}, result.New(result.KeyWithdrawn, "key %s no longer works", k.ID)
	}
	return k, nil
}

// Live reports whether a key is neither withdrawn nor expired at a time.
func Live(k catalog.Key, now time.Time) bool {
	return !k.Withdrawn && (k.ExpiresAt.IsZero() || now.Before(k.ExpiresAt))
}

// Admit returns an error unless a route is open to an account; a route that lists no accounts is open to all.
func Admit(r catalog.Route, account string) error {
	if len(r.Accounts) == 0 {
		return nil
	}
	for _, a := range r.Accounts {
		if a == account {
			return nil
		}
	}
	return result.New(result.RouteDenied, "account %s may not use route %s", account, r.Name)
}

// Bearer returns the bearer token of an Authorization header, or "" when it has none.
func Bearer(header string) string {
	s, t, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(s, "bearer") {
		return ""
	}
	return strings.TrimSpace(t)
}

// keyID returns the id part of a key's text, or "" when the text has another form.
func keyID(bearer string) string {
	s, ok := strings.CutPrefix(bearer, keyPrefix)
	if !ok {
		return ""
	}
	id, _, _ := strings.Cut(s, "-")
	return id
}
