package feed

import (
	"sync"
	"time"

	"snipetack/internal/state/catalog"
)

// FreshnessLease is the age of the copy from which its VM must not admit requests by API key, since the copy may lack a
// revocation.
const FreshnessLease = 5 * time.Second

// driftAllowance shortens the lease, as the clocks of two VMs may run at different rates.
const driftAllowance = FreshnessLease / 200

// Copy is a VM's copy of the configuration; it is safe for concurrent use.
type Copy struct {
	mu       sync.RWMutex
	current  *catalog.Configuration
	asOf     time.Time // everything committed by this time, of the VM's own clock, is in the copy; zero when unknown
	changed  chan struct{}
	observer func(*catalog.Configuration)
}

// New returns a Copy that is empty and not fresh. The observer gets each new configuration; it may be nil, must not block,
// and must not call the Copy, whose lock is held.
func New(observer func(*catalog.Configuration)) *Copy {
	return &Copy{current: catalog.NewConfiguration(), changed: make(chan struct{}), observer: observer}
}

// Current returns the newest configuration; it is immutable.
func (c *Copy) Current() *catalog.Configuration {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.current
}

// Fresh reports whether the copy is recent enough to authenticate API keys.
func (c *Copy) Fresh() bool {
	return c.Age() <= FreshnessLease-driftAllowance
}

// Age returns an upper bound on the age of the copy, or the maximum duration before the first stamp.
func (c *Copy) Age() time.Duration {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.asOf.IsZero() {
		return time.Duration(1<<63 - 1)
	}
	return time.Since(c.asOf)
}

// Changed returns a channel that is closed at the next revision.
func (c *Copy) Changed() <-chan struct{} {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.changed
}

// install replaces the copy with a complete configuration, unless that is not newer.
func (c *Copy) install(n *catalog.Configuration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n.Revision <= c.current.Revision {
		return
	}
	c.replace(n)
}

// apply applies the next change; it reports false when a revision is missing in between or the change does not apply.
func (c *Copy) apply(a catalog.Applied) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.Revision <= c.current.Revision {
		return true
	}
	if a.Revision != c.current.Revision+1 {
		return false
	}
	n, err := c.current.With(a.Change.Ops)
	if err != nil {
		return false
	}
	c.replace(n)
	return true
}

// confirm records that a revision contained everything committed by asOf; it reports false when the copy lacks the revision.
func (c *Copy) confirm(revision uint64, asOf time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current.Revision < revision {
		return false
	}
	if asOf.After(c.asOf) {
		c.asOf = asOf
	}
	return true
}

// replace puts a configuration in force and notifies; the lock must be held.
func (c *Copy) replace(n *catalog.Configuration) {
	c.current = n
	close(c.changed)
	c.changed = make(chan struct{})
	if c.observer != nil {
		c.observer(n)
	}
}
