package cli

import (
	"fmt"
	"strings"
)

type placementList struct {
	listFlags
}

func (c placementList) run(e *environment) error {
	f, err := c.client()
	if err != nil {
		return err
	}
	p, err := f.Placement(e.ctx, "")
	if err != nil {
		return err
	}
	t := newTable("UPSTREAM", "LOADED", "ROLE", "PENDING")
	var l []any
	for _, u := range p.Upstreams {
		l = append(l, u)
		t.add(u.Upstream, orDash(strings.Join(u.Loaded, ", ")), orDash(u.Role), orDash(u.Pending))
	}
	return output(e, c.JSON, l, t)
}

type placementExplain struct {
	listFlags
	Positional struct {
		Name string `positional-arg-name:"NAME" description:"upstream, model, adapter or version; without it, everything"`
	} `positional-args:"yes"`
}

func (c placementExplain) run(e *environment) error {
	f, err := c.client()
	if err != nil {
		return err
	}
	p, err := f.Placement(e.ctx, c.Positional.Name)
	if err != nil {
		return err
	}
	t := newTable("AT", "ACTION", "TARGET", "UPSTREAM", "REASON")
	var l []any
	for _, d := range p.Decisions {
		l = append(l, d)
		t.add(formatTime(unixTime(d.At)), d.Action, d.Target, orDash(d.Upstream), d.Reason)
	}
	if !c.JSON {
		fmt.Fprintf(e.out, "decisions of %s since it leads\n", p.Leader)
	}
	return output(e, c.JSON, l, t)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
