package node

import (
	"time"

	"snipetack/internal/coordination/replica"
)

// gauge is a metric whose value is read at each scrape.
type gauge struct {
	name        string
	description string
	value       func() float64
}

// registerGauges adds gauges to the VM's metrics.
func (n *Node) registerGauges(l []gauge) error {
	for _, g := range l {
		if err := n.Telemetry.Gauge(g.name, g.description, "1", g.value); err != nil {
			return err
		}
	}
	return nil
}

// registerGauges adds the gauges that every VM has: the age of its configuration and list, and the size of the fleet.
func (m *member) registerGauges() error {
	locked := func(f func() float64) func() float64 {
		return func() float64 {
			m.mu.RLock()
			defer m.mu.RUnlock()
			return f()
		}
	}
	if err := m.n.Telemetry.GaugeBy("evacuated", "1 for each data centre whose evacuation is in force here, 0 after its end.", "1", "zone", m.evacuated); err != nil {
		return err
	}
	return m.n.registerGauges(append(m.n.clientGauges(), []gauge{
		{"evacuation_revision", "Revision of the evacuations in force here.", func() float64 {
			r, _ := m.evacuations.Known()
			return float64(r)
		}},
		{"configuration_version", "Version of the configuration in force here.", locked(func() float64 {
			if m.plan == nil {
				return 0
			}
			return float64(m.plan.Version)
		})},
		{"configuration_age_seconds", "Time since the leading control VM was heard.", locked(func() float64 {
			return time.Since(m.confirmedAt).Seconds()
		})},
		{"upstream_list_age_seconds", "Time since the list of upstreams was read.", locked(func() float64 {
			return time.Since(m.listRead).Seconds()
		})},
		{"upstreams", "Upstreams on the list.", locked(func() float64 { return float64(len(m.upstreams)) })},
		{"quarantines", "Quarantines of prompts in force here.", func() float64 { return float64(m.quarantines.Len()) }},
		{"cold_upstreams", "Cold upstreams whose service has a cold rate.", func() float64 { return float64(m.cold.Load()) }},
		{"limited_upstreams", "Upstreams that name a limit.", func() float64 { return float64(m.limits.Len()) }},
		{"upstream_crashes", "Ends of upstreams that broke off responses here.", func() float64 { return float64(m.crashes.Total()) }},
		{"vms", "VMs in the directory.", locked(func() float64 { return float64(len(m.vms)) })},
	}...))
}

// groupGauges returns the gauges of a replicated group. They are 0 while r returns nil, that is before the VM has joined.
func groupGauges(group uint32, r func() *replica.Replica) []gauge {
	read := func(f func(s replica.Status) float64) func() float64 {
		return func() float64 {
			x := r()
			if x == nil {
				return 0
			}
			for _, s := range x.Status() {
				if s.Group == group {
					return f(s)
				}
			}
			return 0
		}
	}
	return []gauge{
		{"group_term", "Term of the group.", read(func(s replica.Status) float64 { return float64(s.Term) })},
		{"group_commit_index", "Greatest committed index known here.", read(func(s replica.Status) float64 { return float64(s.Commit) })},
		{"group_apply_lag", "Committed entries that are not applied yet.", read(func(s replica.Status) float64 {
			return float64(s.Commit) - float64(min(s.Applied, s.Commit))
		})},
		{"group_voters", "Voters of the group.", read(func(s replica.Status) float64 { return float64(len(s.Configuration.Voters)) })},
		{"group_log_bytes", "Size of the entries in memory.", read(func(s replica.Status) float64 { return float64(s.LogBytes) })},
		{"journal_bytes", "Size of the journal.", func() float64 {
			if x := r(); x != nil {
				return float64(x.JournalBytes())
			}
			return 0
		}},
		{"group_leads", "1 where this VM leads the group.", read(func(s replica.Status) float64 {
			if s.Leads {
				return 1
			}
			return 0
		})},
	}
}
