package node

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"snipetack/internal/coordination/dispatch"
	"snipetack/internal/coordination/fairness"
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
	d.OnShed = func(reason string) {
		shed.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
	}
	return e.n.registerGauges([]gauge{
		{"accounts_over_share", "Client accounts that got more than their share of a service lately.", func() float64 { return float64(e.shares.Over(time.Now())) }},
	})
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
