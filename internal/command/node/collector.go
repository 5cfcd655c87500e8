package node

import (
	"sync"
	"time"

	"snipetack/internal/coordination/roster"
	"snipetack/internal/transport/batchrun"
)

// Timing of the choice of a collector.
const (
	collectorSilence   = time.Second     // without a hint for this long, an entry VM takes the next collector; hints come every 0.4 s at least
	collectorAvoidance = 5 * time.Second // for which a collector without hints is not taken again
)

// collector is the batch VM that an entry VM tells what it has in flight, and that tells it the loads of others. The zero value has none;
// it is safe for concurrent use.
type collector struct {
	mu      sync.Mutex
	vm      string
	since   time.Time            // when vm was chosen
	heardAt time.Time            // when its last hint came
	avoid   map[string]time.Time // until when a VM is not taken
}

// choose returns the first of the candidates that sends hints, or "" when there is none.
func (c *collector) choose(now time.Time, candidates []string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.vm != "" && now.Sub(c.since) > collectorSilence && now.Sub(c.heardAt) > collectorSilence {
		if c.avoid == nil {
			c.avoid = map[string]time.Time{}
		}
		c.avoid[c.vm] = now.Add(collectorAvoidance)
	}
	next := ""
	for _, v := range candidates {
		if now.After(c.avoid[v]) {
			next = v
			break
		}
	}
	if next != c.vm {
		c.vm, c.since = next, now
		for v, until := range c.avoid {
			if now.After(until) {
				delete(c.avoid, v)
			}
		}
	}
	return next
}

// heard records a hint and reports whether to adopt it: those of another VM than the chosen one count only while that one is silent.
func (c *collector) heard(now time.Time, from string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.vm == "" || from == c.vm {
		c.heardAt = now
		return true
	}
	return now.Sub(c.heardAt) > collectorSilence
}

// loadAge returns how old the loads of other VMs are at most, by which entry VMs choose an upstream.
func (m *member) loadAge() time.Duration {
	m.mu.RLock()
	defer m.mu.RUnlock()
	entries := m.entriesLocked()
	if !m.mirroredLocked() {
		return batchrun.HintInterval(entries)
	}
	n := max(1, len(m.batchZonesLocked()))
	return batchrun.HintInterval(entries/n) + loadForward + batchrun.HintInterval(n)
}

// batchZones returns the addresses of the batch VMs by data centre.
func (m *member) batchZones() map[string][]string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.batchZonesLocked()
}

func (m *member) batchZonesLocked() map[string][]string {
	zones := map[string][]string{}
	for _, v := range m.vms {
		if v.Class == roster.Batch {
			zones[v.Zone] = append(zones[v.Zone], v.Address)
		}
	}
	return zones
}
