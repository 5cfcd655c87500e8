package roster

import (
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Bounds of an Upstream. Sums over all upstreams of a list stay within an int.
const (
	maxSlots = 1 << 16
	maxCold  = time.Hour
	maxText  = 256 // bytes of an id, a service, an address, a data centre or a version
)

// Upstream is one replica that serves requests.
type Upstream struct {
	ID       string
	Service  string
	Address  string // host:port
	Zone     string
	Version  string        // of its software; what two versions write doesn't fit together in one stream
	Slots    int           // max concurrent requests; 0 means no limit for online requests and no batch items
	Draining bool          // takes no new requests
	Cold     time.Duration // remaining warm-up time
	Born     int64         // start of its process in Unix ms, which tells incarnations under one id apart; 0 when the list does not tell

	Evacuated bool // its data centre is evacuated, so that it is Draining, too; each VM sets it, it is never sent
}

// Check returns an error for an upstream that can't exist: one without id or service, to which no connection can be made, or with numbers or
// texts beyond all bounds.
func (u Upstream) Check() error {
	switch {
	case u.ID == "" || u.Service == "":
		return errors.New("an upstream has no id or no service")
	case !validAddress(u.Address):
		return errors.Errorf("upstream %.*q has no address", maxText, u.ID)
	case u.Slots < 0 || u.Slots > maxSlots:
		return errors.Errorf("upstream %.*q has %d slots", maxText, u.ID, u.Slots)
	case u.Cold < 0 || u.Cold > maxCold:
		return errors.Errorf("upstream %.*q is warm after %s", maxText, u.ID, u.Cold)
	case max(len(u.ID), len(u.Service), len(u.Address), len(u.Zone), len(u.Version)) > maxText:
		return errors.Errorf("upstream %.*q has texts of more than %d bytes", maxText, u.ID, maxText)
	}
	return nil
}

// validAddress reports whether an address is host:port. It does not resolve the host.
func validAddress(a string) bool {
	host, port, err := net.SplitHostPort(a)
	if err != nil || host == "" {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0 && strings.Trim(host, hostCharacters) == ""
}

// hostCharacters are those of IP addresses, with zones, and of host names.
const hostCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.:-_%"
