package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"snipetack/internal/coordination/dispatch"
	"snipetack/internal/coordination/fairness"
	"snipetack/internal/coordination/spillover"
	"snipetack/internal/state/plan"
)

// startContention adds contention handling to the pool of an entry VM, where the settings have it.
func (e *entry) startContention(d *dispatch.Deps) error {
	if !e.n.Settings.Contention {
		return nil
	}
	shed, err := e.n.Telemetry.Meter().Int64Counter("requests_shed", metric.WithDescription("Requests that the fair queue refused or gave up, by reason."))
	if err != nil {
		return errors.Wrap(err, "creating the counter of shed requests")
	}
	e.shares = fairness.New()
	d.Fairness = e.shares
	if err := e.startSpillover(d); err != nil {
		return err
	}
	d.OnShed = func(reason string) {
		shed.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
	}
	return e.n.registerGauges([]gauge{
		{"accounts_over_share", "Client accounts that got more than their share of a service lately.", func() float64 { return float64(e.shares.Over(time.Now())) }},
	})
}

// startSpillover adds the decision on which requests leave the data centre.
func (e *entry) startSpillover(d *dispatch.Deps) error {
	placed, err := e.n.Telemetry.Meter().Int64Counter("requests_placed", metric.WithDescription("Slots that requests got, by data centre of the upstream: the same as this VM's or another."))
	if err != nil {
		return errors.Wrap(err, "creating the counter of requests by data centre")
	}
	s := e.n.Settings.Spillover
	if s == (spillover.Settings{}) { // not read from a file
		s = spillover.DefaultSettings()
	}
	c := spillover.New(s, spillover.Deps{
		Peers: e.n.member.peersHere,
		Age:   func() time.Duration { return loadInterval + e.n.member.loadAge() },
		Rand:  rand.Float64,
	})
	same, other := metric.WithAttributes(attribute.String("data_centre", "same")), metric.WithAttributes(attribute.String("data_centre", "other"))
	d.Spillover = c
	d.OnPlaced = func(left bool) {
		if left {
			placed.Add(context.Background(), 1, other)
		} else {
			placed.Add(context.Background(), 1, same)
		}
	}
	return e.n.registerGauges([]gauge{
		{"spillover_fraction", "Part of this VM's requests that left its data centre in the last seconds.", func() float64 { return c.Fraction(time.Now()) }},
	})
}

// peersHere returns about how many entry VMs this data centre has: the directory of a large fleet has only their number.
func (m *member) peersHere() int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.entriesLocked() / max(1, len(m.batchZonesLocked()))
}

// rates returns the rate limits of the accounts of a plan.
func rates(p *plan.Plan) map[string]float64 {
	m := make(map[string]float64, len(p.Accounts))
	for _, a := range p.Accounts {
		m[a.Name] = a.Rate
	}
	return m
}

// adoptUse adopts what accounts got at other VMs, if a message had that.
func (e *entry) adoptUse(u fairness.Use) {
	if e.shares != nil && u != nil {
		e.shares.SetOthers(time.Now(), u)
	}
}

// dueUse returns what accounts got here for the next report, or nil while that is not due. It also adopts the accounts of a new configuration.
func (e *entry) dueUse(now, last time.Time) fairness.Use {
	if e.shares == nil {
		return nil
	}
	if p := e.n.member.Plan(); p != nil && p != e.sharesPlan {
		e.sharesPlan = p
		e.shares.SetAccounts(rates(p))
	}
	if now.Sub(last) < fairness.ReportInterval(e.n.member.reporters()) {
		return nil
	}
	return e.shares.Own(now).Largest(fairness.MaxReported)
}

// reporters returns how many entry VMs report to the same VM as this one.
func (m *member) reporters() int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	n := m.entriesLocked()
	if m.mirroredLocked() {
		n /= max(1, len(m.batchZonesLocked()))
	}
	return n
}
