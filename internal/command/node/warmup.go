package node

import (
	"maps"
	"time"

	"snipetack/internal/coordination/roster"
	"snipetack/internal/coordination/warmup"
)

const (
	coldLogInterval = time.Second // between log lines on cold upstreams
	maxLoggedCold   = 16          // upstreams named in one
)

// coldLog is what the log says of cold upstreams; member.publishing guards it.
type coldLog struct {
	reasons map[string]warmup.Reason // that count as cold without the list's word
	at      time.Time
	limits  map[string]float64 // that were published last
}

// coldRate returns the requests per second that an upstream takes as it is cold, or 0 when it is warm or its service has no cold rate.
func (m *member) coldRate(now time.Time, id string) float64 {
	rate := m.coldRates().rates[id]
	if rate <= 0 || m.warmup.Reason(now, id) == warmup.Warm {
		return 0
	}
	return rate
}

// coldRates returns the cold rates of the listed upstreams whose services have one. They must not be modified.
func (m *member) coldRates() *coldRates {
	m.mu.RLock()
	p, tag := m.plan, m.listTag
	c := m.coldCache
	l := m.upstreams
	m.mu.RUnlock()
	if p == nil {
		return &coldRates{}
	}
	if c != nil && c.version == p.Version && c.tag == tag {
		return c
	}
	c = &coldRates{version: p.Version, tag: tag, rates: map[string]float64{}}
	for _, s := range p.Services {
		c.any = c.any || s.ColdRate > 0
	}
	for _, u := range l {
		if s := p.Services[u.Service]; s.ColdRate > 0 {
			c.rates[u.ID] = s.ColdRate
		}
	}
	m.mu.Lock()
	m.coldCache = c
	m.mu.Unlock()
	return c
}

// coldRates are the cold rates for one configuration and list.
type coldRates struct {
	version, tag uint64
	any          bool // whether a service has a cold rate
	rates        map[string]float64
}

// observeCold takes over the newest list and what other VMs observed of cold upstreams. It comes before the list is usable, or the first requests to
// an upstream that is new on it would not be counted.
func (m *member) observeCold(read time.Time, l []roster.Upstream, words []warmup.Word) {
	if !m.coldRates().any {
		return
	}
	if !read.IsZero() {
		x := make([]warmup.Upstream, 0, len(l))
		for _, u := range l {
			x = append(x, warmup.Upstream{ID: u.ID, Zone: u.Zone, Born: u.Born, Cold: u.Cold})
		}
		m.warmup.Listed(read, x)
	}
	m.warmup.Adopt(time.Now(), words)
	m.publishLimits()
}

// adoptCold takes over what another VM has reported of cold upstreams.
func (m *member) adoptCold(words []warmup.Word) {
	if len(words) > 0 {
		m.warmup.Adopt(time.Now(), words)
		m.publishLimits()
	}
}

// Returned records that the evacuation of a data centre ended: its upstreams count as cold until a list that was read later shows otherwise.
func (m *member) Returned(zone string, at time.Time) {
	m.warmup.Returned(zone, at)
	m.publishLimits()
}

// upstreamBack records that an upstream whose connections broke responds again.
func (m *member) upstreamBack(now time.Time, id string) {
	if m.coldRates().rates[id] <= 0 {
		return
	}
	m.warmup.Restarted(now, id)
	m.publishLimits()
	m.requestReport()
}

// publishLimits makes the limits of upstreams usable: those that upstreams name and the rates that cold ones take, whichever is lower.
func (m *member) publishLimits() {
	m.publishing.Lock()
	defer m.publishing.Unlock()
	now := time.Now()
	l := m.limits.InForce()
	unlisted := map[string]warmup.Reason{}
	cold := 0
	for id, rate := range m.coldRates().rates {
		reason := m.warmup.Reason(now, id)
		if reason == warmup.Warm {
			continue
		}
		cold++
		if reason != warmup.Listed {
			unlisted[id] = reason
		}
		if l[id] <= 0 || rate < l[id] {
			l[id] = rate
		}
	}
	m.cold.Store(int64(cold))
	m.logCold(now, unlisted)
	if m.onLimits != nil && !maps.Equal(l, m.coldLog.limits) {
		m.coldLog.limits = l
		m.onLimits(l)
	}
}

// logCold logs which upstreams count as cold without the list's word when that has changed, at most every coldLogInterval. m.publishing is held.
func (m *member) logCold(now time.Time, unlisted map[string]warmup.Reason) {
	if maps.Equal(unlisted, m.coldLog.reasons) || now.Sub(m.coldLog.at) < coldLogInterval {
		return
	}
	var became, ended []string
	var reason warmup.Reason
	for id, r := range unlisted {
		if m.coldLog.reasons[id] == warmup.Warm && len(became) < maxLoggedCold {
			became, reason = append(became, id), r
		}
	}
	for id := range m.coldLog.reasons {
		if unlisted[id] == warmup.Warm && len(ended) < maxLoggedCold {
			ended = append(ended, id)
		}
	}
	m.n.Log.Info("cold upstreams", "count", m.cold.Load(), "without_list", len(unlisted), "became", became, "reason", string(reason), "ended", ended)
	m.coldLog.reasons, m.coldLog.at = unlisted, now
}
