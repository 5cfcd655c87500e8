package cli

import (
	"fmt"
	"maps"
	"slices"

	"snipetack/internal/state/catalog"
	"snipetack/internal/transport/operator"
)

type status struct {
	listFlags
}

// statusDocument is the JSON form of the status screen.
type statusDocument struct {
	Revision uint64        `json:"revision"`
	Leader   string        `json:"leader"` // empty when none is known
	VMs      []vmLine      `json:"vms"`
	Services []serviceLine `json:"services"`
	Jobs     jobSummary    `json:"jobs"`
}

// jobSummary counts the batch jobs with work left and lists those at risk of missing their due time.
type jobSummary struct {
	Open     int            `json:"open"`
	Items    int            `json:"items_left"`
	InDanger []operator.Job `json:"in_danger"`
}

// serviceLine is the JSON form of a service, with the sums over its upstreams; AtOnce counts the slots of those that are not
// leaving.
type serviceLine struct {
	Name      string `json:"name"`
	Upstreams int    `json:"upstreams"`
	Leaving   int    `json:"leaving"`
	AtOnce    int    `json:"at_once"`
	InFlight  int    `json:"in_flight"`
	Waiting   int    `json:"waiting"` // in the queues of all VMs
}

func (c status) run(e *environment) error {
	f, n, err := c.open(e)
	if err != nil {
		return err
	}
	r, err := f.Reports(e.ctx)
	if err != nil {
		return err
	}
	j, err := f.Jobs(e.ctx, "")
	if err != nil {
		return err
	}
	d := statusDocument{Jobs: summarizeJobs(j), Revision: n.Revision, Leader: leaderOf(r), VMs: vmsOf(r), Services: servicesOf(n, r)}
	if c.JSON {
		return output(e, true, []any{d}, nil)
	}
	return d.write(e)
}

func (d statusDocument) write(e *environment) error {
	ready, behind := 0, 0
	for _, v := range d.VMs {
		if v.State == "ready" {
			ready++
		}
		if v.Missing == "" && v.Revision < d.Revision {
			behind++
		}
	}
	leader := d.Leader
	if leader == "" {
		leader = "none known"
	}
	fmt.Fprintf(e.out, "revision %d, %d VMs behind; %d of %d VMs ready; leader %s\n\n", d.Revision, behind, ready, len(d.VMs), leader)
	if err := vmTable(d.VMs).write(e.out); err != nil {
		return err
	}
	fmt.Fprintln(e.out)
	t := newTable("SERVICE", "UPSTREAMS", "LEAVING", "AT ONCE", "IN FLIGHT", "WAITING")
	for _, s := range d.Services {
		t.add(s.Name, fmt.Sprint(s.Upstreams), fmt.Sprint(s.Leaving), fmt.Sprint(s.AtOnce), fmt.Sprint(s.InFlight), fmt.Sprint(s.Waiting))
	}
	if err := t.write(e.out); err != nil {
		return err
	}
	fmt.Fprintf(e.out, "\n%d batch jobs open, %d items left, %d jobs in danger\n", d.Jobs.Open, d.Jobs.Items, len(d.Jobs.InDanger))
	if len(d.Jobs.InDanger) == 0 {
		return nil
	}
	return jobTable(d.Jobs.InDanger).write(e.out)
}

func summarizeJobs(l []operator.Job) jobSummary {
	s := jobSummary{Open: len(l), InDanger: []operator.Job{}}
	for _, j := range l {
		s.Items += j.Items - j.Done - j.Failed
		if j.AtRisk {
			s.InDanger = append(s.InDanger, j)
		}
	}
	return s
}

func servicesOf(c *catalog.Configuration, r []operator.Report) []serviceLine {
	m := map[string]*serviceLine{}
	for n := range c.Services {
		m[n] = &serviceLine{Name: n}
		for _, v := range r {
			m[n].Waiting += v.Waiting[n]
		}
	}
	for _, u := range upstreamsOf(c, r) {
		s := m[u.Service]
		s.Upstreams++
		s.InFlight += u.InFlight
		if u.State == "leaving" {
			s.Leaving++
			continue
		}
		s.AtOnce += u.AtOnce
	}
	var l []serviceLine
	for _, n := range slices.Sorted(maps.Keys(m)) {
		l = append(l, *m[n])
	}
	return l
}
