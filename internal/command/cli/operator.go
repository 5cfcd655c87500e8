package cli

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"maps"
	"os"
	"slices"

	"github.com/pkg/errors"

	"snipetack/internal/coordination/access"
	"snipetack/internal/state/catalog"
)

type operatorList struct {
	listFlags
}

// operatorLine is the JSON form of an operator.
type operatorLine struct {
	Name string `json:"name"`
}

func (c operatorList) run(e *environment) error {
	n, err := c.configuration(e)
	if err != nil {
		return err
	}
	t := newTable("OPERATOR")
	var l []any
	for _, o := range slices.Sorted(maps.Keys(n.Operators)) {
		l = append(l, operatorLine{o})
		t.add(o)
	}
	return output(e, c.JSON, l, t)
}

type operatorAdd struct {
	fleetFlags
	File       string `long:"save-token" description:"file that the new operator's token is written to" value-name:"FILE" required:"yes"`
	Positional struct {
		Name string `positional-arg-name:"OPERATOR" description:"name of the operator"`
	} `positional-args:"yes" required:"yes"`
}

// run saves the token before it sends the change, so that the token is not lost when the response is.
func (c operatorAdd) run(e *environment) error {
	f, err := c.client()
	if err != nil {
		return err
	}
	b := make([]byte, tokenSize)
	if _, err := rand.Read(b); err != nil {
		return errors.Wrap(err, "generating the operator's token")
	}
	t := "op-" + hex.EncodeToString(b)
	if err := os.WriteFile(c.File, []byte(t+"\n"), 0o600); err != nil {
		return errors.Wrap(err, "writing the operator's token")
	}
	o := catalog.Operator{Name: c.Positional.Name, Digest: access.Digest(t)}
	r, err := commit(e, f, catalog.Change{ID: newChangeID(), Rebase: true, Ops: []catalog.Op{{Operator: &o}}})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(e.out, "operator %s added in revision %d; the token is in %s\n", o.Name, r, c.File)
	return err
}

type operatorRemove struct {
	fleetFlags
	Positional struct {
		Name string `positional-arg-name:"OPERATOR" description:"name of the operator"`
	} `positional-args:"yes" required:"yes"`
}

func (c operatorRemove) run(e *environment) error {
	f, err := c.client()
	if err != nil {
		return err
	}
	d := catalog.Deletion{Table: catalog.Operators, Name: c.Positional.Name}
	r, err := commit(e, f, catalog.Change{ID: newChangeID(), Rebase: true, Ops: []catalog.Op{{Delete: &d}}})
	if err != nil {
		return err
	}
	fmt.Fprintf(e.out, "operator %s removed in revision %d\n", d.Name, r)
	return awaitConfirmation(e, f, r)
}
