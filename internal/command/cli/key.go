package cli

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/coordination/access"
	"snipetack/internal/state/catalog"
	"snipetack/internal/transport/operator"
)

type keyList struct {
	listFlags
	Account string `long:"account" description:"only keys of this account" value-name:"ACCOUNT"`
}

// keyLine is the JSON form of a key. It leaves out the key's digest.
type keyLine struct {
	ID      string `json:"id"`
	Account string `json:"account"`
	State   string `json:"state"`
	Issued  string `json:"issued_at"`
	Expires string `json:"expires_at"`
}

func (c keyList) run(e *environment) error {
	n, err := c.configuration(e)
	if err != nil {
		return err
	}
	t := newTable("KEY", "ACCOUNT", "STATE", "ISSUED", "EXPIRES")
	var l []any
	for _, k := range keysOf(n, c.Account) {
		v := keyLine{k.ID, k.Account, keyState(k, time.Now()), formatTime(k.IssuedAt), formatTime(k.ExpiresAt)}
		l = append(l, v)
		t.add(v.ID, v.Account, v.State, v.Issued, v.Expires)
	}
	return output(e, c.JSON, l, t)
}

type keyIssue struct {
	fleetFlags
	Account  string        `long:"account" description:"account that the key belongs to" value-name:"ACCOUNT" required:"yes"`
	Expires  time.Duration `long:"expires-in" description:"how long the key works; without it, until it is withdrawn" value-name:"DURATION"`
	KeysFile string        `long:"keys-file" description:"write the key here before the change is sent" value-name:"FILE"`
}

func (c keyIssue) run(e *environment) error {
	f, n, err := c.open(e)
	if err != nil {
		return err
	}
	if _, ok := n.Accounts[c.Account]; !ok {
		return errors.Errorf("account %q is not known", c.Account)
	}
	if c.Expires < 0 {
		return errors.Errorf("--expires-in %s is negative", c.Expires)
	}
	s, err := access.Issue(c.Account, time.Now())
	if err != nil {
		return err
	}
	if c.Expires > 0 {
		s.Key.ExpiresAt = s.Key.IssuedAt.Add(c.Expires)
	}
	if err := saveKeys(c.KeysFile, []access.Secret{s}); err != nil {
		return err
	}
	r, err := commit(e, f, catalog.Change{ID: newChangeID(), Rebase: true, Ops: []catalog.Op{{Key: &s.Key}}})
	if err != nil {
		return err
	}
	fmt.Fprintf(e.out, "issued key %s in revision %d; it is shown only now:\n", s.Key.ID, r)
	_, err = fmt.Fprintln(e.out, s.Text)
	return errors.Wrap(err, "printing the key")
}

type keyWithdraw struct {
	fleetFlags
	Positional struct {
		ID string `positional-arg-name:"KEY" description:"id of the key"`
	} `positional-args:"yes" required:"yes"`
}

func (c keyWithdraw) run(e *environment) error {
	f, n, err := c.open(e)
	if err != nil {
		return err
	}
	k, ok := n.Keys[c.Positional.ID]
	if !ok {
		return errors.Errorf("key %q is not known", c.Positional.ID)
	}
	r := n.Revision
	if k.Withdrawn {
		fmt.Fprintf(e.out, "key %s is withdrawn already\n", k.ID)
	} else {
		r, err = commit(e, f, catalog.Change{ID: newChangeID(), Rebase: true, Ops: []catalog.Op{{Withdraw: k.ID}}})
		if err != nil {
			return err
		}
		fmt.Fprintf(e.out, "withdrawn in revision %d\n", r)
	}
	return awaitConfirmation(e, f, r)
}

// awaitConfirmation waits until each VM has confirmed a revision or its freshness lease has run out, and prints the number of
// VMs that have confirmed it whenever that changes. An error does not mean that the revision is not committed.
func awaitConfirmation(e *environment, f *operator.Client, revision uint64) error {
	last := -1
	n, err := f.Confirm(e.ctx, revision, func(n operator.Confirmation) {
		if len(n.Confirmed) == last {
			return
		}
		last = len(n.Confirmed)
		fmt.Fprintf(e.out, "in force on %d of %d VMs\n", last, last+len(n.Waiting)+len(n.Expired))
	})
	if err != nil {
		return errors.Wrapf(err, "waiting for revision %d to be in force; it is committed", revision)
	}
	if len(n.Expired) > 0 {
		fmt.Fprintf(e.out, "no confirmation from %s; their leases have run out, and they refuse requests with a key\n", strings.Join(n.Expired, ", "))
	}
	return nil
}

// keysOf returns the keys of an account, sorted by account and id; an empty account means all.
func keysOf(c *catalog.Configuration, account string) []catalog.Key {
	var l []catalog.Key
	for k := range maps.Values(c.Keys) {
		if account == "" || k.Account == account {
			l = append(l, k)
		}
	}
	slices.SortFunc(l, func(a, b catalog.Key) int {
		return strings.Compare(a.Account+"\x00"+a.ID, b.Account+"\x00"+b.ID)
	})
	return l
}

func keyState(k catalog.Key, now time.Time) string {
	switch {
	case k.Withdrawn:
		return "withdrawn"
	case !access.Live(k, now):
		return "expired"
	default:
		return "live"
	}
}

// saveKeys writes keys to a file, an account and a key a line; it does nothing without a file or keys.
func saveKeys(file string, l []access.Secret) error {
	if file == "" || len(l) == 0 {
		return nil
	}
	b := strings.Join(keyLines(l), "\n") + "\n"
	return errors.Wrap(os.WriteFile(file, []byte(b), 0o600), "writing the keys")
}

func keyLines(l []access.Secret) []string {
	var s []string
	for _, k := range l {
		s = append(s, k.Key.Account+" "+k.Text)
	}
	return s
}
