package batch

import "sync"

// Counter counts this VM's online requests in flight at each upstream; it is safe for concurrent use.
type Counter struct {
	mu      sync.Mutex
	n       map[string]int
	changed chan struct{}
}

var _ LoadProvider = (*Counter)(nil)

// NewCounter returns a Counter at zero.
func NewCounter() *Counter {
	return &Counter{n: map[string]int{}, changed: make(chan struct{}, 1)}
}

// Add adds n, which may be negative, to the count of an upstream.
func (c *Counter) Add(upstream string, n int) {
	c.mu.Lock()
	c.n[upstream] += n
	c.mu.Unlock()
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// InFlight returns the count of an upstream.
func (c *Counter) InFlight(upstream string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n[upstream]
}

// Changed is signalled after changes; one signal may stand for several.
func (c *Counter) Changed() <-chan struct{} { return c.changed }
