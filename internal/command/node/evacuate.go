package node

import (
	"context"
	"time"

	"snipetack/internal/coordination/evacuation"
	"snipetack/internal/state/plan"
	"snipetack/internal/state/result"
)

// maxOrderSteps bounds how often an order is decided on: other operators may give orders about the data centre at the same time.
const maxOrderSteps = 4

// Evacuate lets no VM start anything at the upstreams of a data centre; a repeated order changes nothing.
func (c *control) Evacuate(ctx context.Context, zone string) error {
	return c.orderEvacuation(ctx, zone, false)
}

// EndEvacuation revokes Evacuate; a repeated order changes nothing.
func (c *control) EndEvacuation(ctx context.Context, zone string) error {
	return c.orderEvacuation(ctx, zone, true)
}

// Evacuations returns the newest committed evacuations and their revision.
func (c *control) Evacuations(ctx context.Context) (revision uint64, l []plan.Evacuation, err error) {
	s, err := c.state(ctx)
	return s.EvacuationRevision, s.Evacuations, err
}

func (c *control) orderEvacuation(ctx context.Context, zone string, end bool) error {
	began := time.Now()
	err := c.settleEvacuation(ctx, zone, end)
	c.n.Log.Info("evacuation ordered", "zone", zone, "end", end, "took", time.Since(began), "error", err)
	return err
}

// settleEvacuation carries out an order. A change is proposed by the state that this VM has, which saves a round trip; every other outcome needs
// the newest committed state.
func (c *control) settleEvacuation(ctx context.Context, zone string, end bool) error {
	s, newest := c.machine.State(), false
	for range maxOrderSteps {
		v, command, refusal := evacuation.Decide(time.Now(), s, c.n.member.site(), zone, end)
		if v == evacuation.Propose {
			r, err := c.commit(ctx, command)
			if err != nil {
				return err
			}
			if !plan.Superseded(r) {
				return nil
			}
		} else if newest {
			if refusal != nil {
				return refusal
			}
			return nil
		}
		var err error
		if s, err = c.state(ctx); err != nil {
			return err
		}
		newest = true
	}
	return result.New(result.ChangeConflict, "other orders about data centre %q came first", zone).WithRan(result.NotRun)
}

// site returns what this VM knows about data centres.
func (m *member) site() evacuation.Site {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := evacuation.Site{Zones: map[string]bool{}, Complete: !m.listRead.IsZero(), Supported: m.evacuates}
	for z := range m.n.Settings.Zones {
		s.Zones[z] = true
	}
	if z := m.n.Settings.Zone; z != "" {
		s.Zones[z] = true
	}
	for _, u := range m.upstreams {
		if u.Zone != "" {
			s.Zones[u.Zone] = true
		}
	}
	return s
}

// adoptEvacuations puts newer evacuations in force.
func (m *member) adoptEvacuations(revision uint64, l []plan.Evacuation) {
	changed := m.evacuations.Adopt(time.Now(), revision, l)
	for _, e := range changed {
		text := "evacuation in force"
		if e.Ended {
			text = "evacuation ended"
			m.Returned(e.Zone, time.Now())
		}
		m.n.Log.Info(text, "zone", e.Zone, "revision", e.Revision)
	}
	if len(changed) > 0 {
		m.publishList()
	}
}

// evacuated returns 1 for each evacuated data centre and 0 for each that was evacuated.
func (m *member) evacuated() map[string]float64 {
	values := map[string]float64{}
	_, l := m.evacuations.Known()
	for _, e := range l {
		values[e.Zone] = 1
		if e.Ended {
			values[e.Zone] = 0
		}
	}
	return values
}

// members returns the addresses of the control group's members, as far as this VM's replica knows them.
func (c *control) members() []string {
	var l []string
	for _, s := range c.replica.Status() {
		for _, x := range s.Configuration.Members() {
			l = append(l, x.VM)
		}
	}
	return l
}
