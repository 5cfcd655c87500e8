package cli

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/coordination/access"
	"snipetack/internal/state/catalog"
)

// listFlags are the flags shared by commands that print a table or JSON.
type listFlags struct {
	fleetFlags
	JSON bool `long:"json" description:"print JSON, an entry a line"`
}

// configuration fetches the configuration that the VM at the operator address holds.
func (f listFlags) configuration(e *environment) (*catalog.Configuration, error) {
	c, err := f.client()
	if err != nil {
		return nil, err
	}
	return c.Configuration(e.ctx)
}

type accountList struct {
	listFlags
}

// accountLine is the JSON form of an account.
type accountLine struct {
	Name       string  `json:"name"`
	Rate       float64 `json:"rate_per_second"`
	Burst      int     `json:"burst"`
	BatchRate  float64 `json:"batch_items_per_second"`
	BatchBurst int     `json:"batch_burst"`
	Weight     float64 `json:"weight"`
	Resend     float64 `json:"resend_window_seconds"`
	LiveKeys   int     `json:"live_keys"`
}

func (c accountList) run(e *environment) error {
	n, err := c.configuration(e)
	if err != nil {
		return err
	}
	t := newTable("ACCOUNT", "RATE/S", "BURST", "BATCH/S", "BATCH BURST", "WEIGHT", "LIVE KEYS")
	var l []any
	for _, k := range slices.Sorted(maps.Keys(n.Accounts)) {
		a := accountOf(n, n.Accounts[k], time.Now())
		l = append(l, a)
		t.add(a.Name, fmt.Sprint(a.Rate), fmt.Sprint(a.Burst), fmt.Sprint(a.BatchRate), fmt.Sprint(a.BatchBurst), fmt.Sprint(a.Weight), fmt.Sprint(a.LiveKeys))
	}
	return output(e, c.JSON, l, t)
}

type accountShow struct {
	listFlags
	Positional struct {
		Name string `positional-arg-name:"ACCOUNT" description:"name of the account"`
	} `positional-args:"yes" required:"yes"`
}

func (c accountShow) run(e *environment) error {
	n, err := c.configuration(e)
	if err != nil {
		return err
	}
	v, ok := n.Accounts[c.Positional.Name]
	if !ok {
		return errors.Errorf("account %q is not known", c.Positional.Name)
	}
	a := accountOf(n, v, time.Now())
	if c.JSON {
		return output(e, true, []any{a}, nil)
	}
	t := newTable("account", a.Name)
	t.add("rate a second", fmt.Sprint(a.Rate))
	t.add("burst", fmt.Sprint(a.Burst))
	t.add("batch items a second", fmt.Sprint(a.BatchRate))
	t.add("batch burst", fmt.Sprint(a.BatchBurst))
	t.add("weight", fmt.Sprint(a.Weight))
	t.add("resend window", v.ResendWindow.String())
	for _, r := range slices.Sorted(maps.Keys(n.Routes)) {
		if access.Admit(n.Routes[r], a.Name) == nil {
			t.add("route", r+" "+n.Routes[r].PathPrefix)
		}
	}
	for _, k := range keysOf(n, a.Name) {
		t.add("key", k.ID+" "+keyState(k, time.Now()))
	}
	return t.write(e.out)
}

// accountOf returns the JSON form of an account; LiveKeys counts its keys that are valid at now.
func accountOf(c *catalog.Configuration, a catalog.Account, now time.Time) accountLine {
	n := 0
	for _, k := range keysOf(c, a.Name) {
		if access.Live(k, now) {
			n++
		}
	}
	return accountLine{a.Name, a.Rate, a.Burst, a.BatchRate, a.BatchBurst, a.Weight, a.ResendWindow.Seconds(), n}
}

// output prints the table t, or with asJSON the values l as JSON, one a line; t may then be nil.
func output(e *environment, asJSON bool, l []any, t *table) error {
	if !asJSON {
		return t.write(e.out)
	}
	d := json.NewEncoder(e.out)
	for _, v := range l {
		if err := d.Encode(v); err != nil {
			return errors.Wrap(err, "printing JSON")
		}
	}
	return nil
}
