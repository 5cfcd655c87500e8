package cli

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/command/questionnaire"
	"snipetack/internal/coordination/pause"
	"snipetack/internal/state/catalog"
	"snipetack/internal/transport/operator"
)

// drainInterval is the time between two counts of the requests in flight while an upstream drains.
const drainInterval = 500 * time.Millisecond

type upstreamList struct {
	listFlags
}

// upstreamLine is the JSON form of an upstream.
type upstreamLine struct {
	Name       string `json:"name"`
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	AtOnce     int    `json:"at_once"`
	InFlight   int    `json:"in_flight"`
	State      string `json:"state"`
}

func (c upstreamList) run(e *environment) error {
	f, n, err := c.open(e)
	if err != nil {
		return err
	}
	r, err := f.Reports(e.ctx)
	if err != nil {
		return err
	}
	t := newTable("UPSTREAM", "SERVICE", "DATA CENTRE", "ADDRESS", "AT ONCE", "IN FLIGHT", "STATE")
	var l []any
	for _, v := range upstreamsOf(n, r) {
		l = append(l, v)
		t.add(v.Name, v.Service, v.DataCentre, v.Address, fmt.Sprint(v.AtOnce), fmt.Sprint(v.InFlight), v.State)
	}
	return output(e, c.JSON, l, t)
}

type upstreamDrain struct {
	fleetFlags
	Undo       bool `long:"undo" description:"have the upstream take new work again"`
	Positional struct {
		Name string `positional-arg-name:"UPSTREAM" description:"name of the upstream"`
	} `positional-args:"yes" required:"yes"`
}

// run changes the mark in the team's answers, so that the configuration still equals what they generate.
func (c upstreamDrain) run(e *environment) error {
	f, n, err := c.open(e)
	if err != nil {
		return err
	}
	u, ok := n.Upstreams[c.Positional.Name]
	if !ok {
		return errors.Errorf("upstream %q is not known", c.Positional.Name)
	}
	r := n.Revision
	if u.Leaving == !c.Undo {
		fmt.Fprintf(e.out, "upstream %s is already in that state\n", u.Name)
	} else {
		h, err := c.change(n, u)
		if err != nil {
			return err
		}
		if r, err = commit(e, f, h); err != nil {
			return err
		}
		fmt.Fprintf(e.out, "applied as revision %d\n", r)
	}
	if err := awaitConfirmation(e, f, r); err != nil || c.Undo {
		return err
	}
	return awaitIdle(e, f, u.Name)
}

// change returns the change that marks the upstream as leaving, or with Undo as not leaving. It changes the answers of the
// team that names the upstream, or only the upstream if no team's answers do.
func (c upstreamDrain) change(n *catalog.Configuration, u catalog.Upstream) (catalog.Change, error) {
	a, err := questionnaire.SetLeaving(n, u.Name, !c.Undo)
	if err != nil {
		u.Leaving = !c.Undo
		return catalog.Change{ID: newChangeID(), Base: n.Revision, Ops: []catalog.Op{{Upstream: &u}}}, nil
	}
	p, err := questionnaire.Generate(a, n, time.Now())
	return p.Change(newChangeID()), err
}

// awaitIdle waits until no VM that responds has a request in flight at an upstream, and prints their number whenever it
// changes. VMs that do not respond are not counted.
func awaitIdle(e *environment, f *operator.Client, name string) error {
	last := -1
	for {
		l, err := f.Reports(e.ctx)
		if err != nil {
			return err
		}
		n := 0
		for _, r := range l {
			n += r.InFlight[name]
		}
		if n != last {
			fmt.Fprintf(e.out, "%d requests in flight at %s\n", n, name)
			last = n
		}
		if n == 0 {
			return nil
		}
		if !pause.For(e.ctx, drainInterval) {
			return errors.New("stopped waiting; the upstream takes no new work and is not idle yet")
		}
	}
}

func upstreamsOf(c *catalog.Configuration, r []operator.Report) []upstreamLine {
	var l []upstreamLine
	for _, n := range slices.Sorted(maps.Keys(c.Upstreams)) {
		u := c.Upstreams[n]
		v := upstreamLine{Name: n, Service: u.Service, DataCentre: u.DataCentre, Address: u.Address, AtOnce: u.Slots, State: "serving"}
		if u.Leaving {
			v.State = "leaving"
		}
		for _, x := range r {
			v.InFlight += x.InFlight[n]
		}
		l = append(l, v)
	}
	return l
}
