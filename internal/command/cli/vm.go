package cli

import (
	"fmt"
	"math"
	"time"

	"snipetack/internal/transport/operator"
)

type vmList struct {
	listFlags
}

// vmLine is the JSON form of a VM.
type vmLine struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Role       string `json:"role"` // entry, keeper or leader
	State      string `json:"state"`
	Revision   uint64 `json:"revision"`
	AgeMillis  int64  `json:"age_ms"` // -1 when unknown
	InFlight   int    `json:"in_flight"`
	Missing    string `json:"missing,omitempty"` // why its report is missing; empty when it reported
}

func (c vmList) run(e *environment) error {
	f, err := c.client()
	if err != nil {
		return err
	}
	r, err := f.Reports(e.ctx)
	if err != nil {
		return err
	}
	l := vmsOf(r)
	var v []any
	for _, x := range l {
		v = append(v, x)
	}
	return output(e, c.JSON, v, vmTable(l))
}

type vmDrain struct {
	fleetFlags
	Positional struct {
		Name string `positional-arg-name:"VM" description:"name of the VM"`
	} `positional-args:"yes" required:"yes"`
}

func (c vmDrain) run(e *environment) error {
	f, err := c.client()
	if err != nil {
		return err
	}
	r, err := f.DrainVM(e.ctx, c.Positional.Name)
	if err != nil {
		return err
	}
	leads := "leads nothing"
	if r.Leader == r.VM {
		leads = "still leads, since no other keeper has taken over"
	}
	_, err = fmt.Fprintf(e.out, "VM %s is unready and %s; stop its process to end it, start it again to undo this\n", r.VM, leads)
	return err
}

func vmTable(l []vmLine) *table {
	t := newTable("VM", "DATA CENTRE", "ROLE", "STATE", "REVISION", "AGE", "IN FLIGHT")
	for _, v := range l {
		if v.Missing != "" {
			t.add(v.Name, v.DataCentre, v.Role, v.State, "-", "-", "-")
			continue
		}
		t.add(v.Name, v.DataCentre, v.Role, v.State, fmt.Sprint(v.Revision), formatAge(v.AgeMillis), fmt.Sprint(v.InFlight))
	}
	return t
}

func vmsOf(r []operator.Report) []vmLine {
	leader := leaderOf(r)
	var l []vmLine
	for _, x := range r {
		v := vmLine{Name: x.VM, DataCentre: x.DataCentre, Role: "entry", State: stateOf(x), Revision: x.Revision, Missing: x.Missing, AgeMillis: -1}
		if x.Keeper {
			v.Role = "keeper"
		}
		if x.VM == leader {
			v.Role = "leader"
		}
		if x.Missing == "" && x.Age < math.MaxInt64/2 {
			v.AgeMillis = x.Age.Milliseconds()
		}
		for _, n := range x.InFlight {
			v.InFlight += n
		}
		l = append(l, v)
	}
	return l
}

// leaderOf returns the leader of the highest term in the reports, or "" if none names a leader.
func leaderOf(l []operator.Report) string {
	var best operator.Report
	for _, r := range l {
		if r.Leader != "" && r.Term >= best.Term {
			best = r
		}
	}
	return best.Leader
}

func stateOf(r operator.Report) string {
	switch {
	case r.Missing != "":
		return "missing"
	case r.Draining:
		return "draining"
	case !r.Fresh:
		return "stale"
	default:
		return "ready"
	}
}

func formatAge(millis int64) string {
	if millis < 0 {
		return "never"
	}
	return (time.Duration(millis) * time.Millisecond).String()
}
