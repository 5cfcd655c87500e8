package budget

import "time"

// Listener is the part of a Budget's descriptors that the connections of one listener may take.
type Listener struct {
	b     *Budget
	name  string
	limit int
	open  int
}

// Listener returns a Listener with a part of the descriptors, at least four.
func (b *Budget) Listener(name string, part float64) *Listener {
	return &Listener{b: b, name: name, limit: max(4, int(part*float64(b.files)))}
}

// Name returns the listener's name in logs and metrics.
func (l *Listener) Name() string { return l.name }

// Conn is a connection of a client and what it holds; it is safe for concurrent use.
type Conn struct {
	l        *Listener
	end      func(reason string)
	bytes    int64 // beside connBytes
	stage    Stage
	began    time.Time     // of the stage
	received int64         // bytes of the current request's body
	waited   time.Duration // for bytes of that body, in earlier reads
	evicted  bool          // it is being closed
	waiting  bool          // for room
	yielded  bool          // its request is refused for another one that waits for room
	promised int64         // bytes that count as evicting until they are returned
	order    uint64        // of the request
	closed   bool
}

// Open registers a connection and closes another one for it if there is no room. end closes the connection and is called at most
// once, with the reason, and without a lock. Open returns nil if there is no room.
func (l *Listener) Open(now time.Time, end func(reason string)) *Conn {
	b := l.b
	c := &Conn{l: l, end: end, stage: Head, began: now}
	b.mu.Lock()
	var victim *Conn
	if l.open >= l.limit || b.held+connBytes > b.memory {
		victim = b.worst(now, false, func(x *Conn) bool { return l.open < l.limit || x.l == l })
		if victim == nil {
			b.mu.Unlock()
			return nil
		}
		b.evict(victim)
	}
	l.open++
	b.held += connBytes
	b.open[c] = struct{}{}
	b.mu.Unlock()
	if victim != nil {
		victim.end(victim.Reason())
	}
	return c
}

// Close returns all that a connection holds; a second call has no effect.
func (c *Conn) Close() {
	b := c.l.b
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	c.l.open--
	delete(b.open, c)
	b.free(c, connBytes)
	if c.stage == Head || c.stage == Idle {
		c.clear()
	}
}

// clear returns the bytes that a connection holds beside connBytes. Those of a request are held until its handler has ended.
func (c *Conn) clear() {
	c.l.b.free(c, c.bytes)
	c.bytes = 0
}

// Reason returns why a connection is closed for another client, by its stage.
func (c *Conn) Reason() string {
	c.l.b.mu.Lock()
	defer c.l.b.mu.Unlock()
	return "slow " + c.stage.String()
}

// Enter begins a stage. Entering Idle after a request returns what the request held.
func (c *Conn) Enter(now time.Time, s Stage) {
	b := c.l.b
	b.mu.Lock()
	defer b.mu.Unlock()
	if s == c.stage {
		return
	}
	if s == Idle {
		c.received, c.waited, c.waiting, c.yielded = 0, 0, false, false
		c.clear()
	}
	if c.stage == Head {
		b.requests++
		c.order = b.requests
	}
	c.stage, c.began = s, now
}

// EndRead records that a read in stage Body has returned so many bytes and enters stage Run.
func (c *Conn) EndRead(now time.Time, n int) {
	c.l.b.mu.Lock()
	defer c.l.b.mu.Unlock()
	if c.stage == Body {
		c.waited += now.Sub(c.began)
		c.received += int64(n)
		c.stage, c.began = Run, now
	}
}

// Stage returns the current stage.
func (c *Conn) Stage() Stage {
	c.l.b.mu.Lock()
	defer c.l.b.mu.Unlock()
	return c.stage
}

// Take reserves bytes for the connection's request. Without room it returns a channel that is closed when some may have become free,
// and closes connections that make less progress; the channel is nil if there can't be any room for so many.
func (c *Conn) Take(now time.Time, n int64) (ok bool, wait <-chan struct{}) {
	b := c.l.b
	b.mu.Lock()
	victims, ok := b.reserve(now, c, n)
	if ok {
		c.bytes += n
	} else if !c.evicted && !c.yielded && n <= b.limit(c.bytes+n) {
		wait = b.freed
	}
	c.waiting = wait != nil
	b.mu.Unlock()
	end(victims)
	return ok, wait
}

// Give returns bytes before the end of the request.
func (c *Conn) Give(n int64) {
	b := c.l.b
	b.mu.Lock()
	defer b.mu.Unlock()
	n = min(n, c.bytes)
	c.bytes -= n
	b.free(c, n)
}

// claim reports whether a connection that waits for room comes before another one: it has received more of its body, or as much
// and for an older request.
func (c *Conn) claim(x *Conn) bool {
	return c.received > x.received || c.received == x.received && c.order < x.order
}

// lateness returns how long a connection has lacked progress and its rank among those to be closed; rank 0 is not closed.
func (c *Conn) lateness(now time.Time) (rank int, late time.Duration) {
	d := now.Sub(c.began)
	switch c.stage {
	case Head:
		return rankIf(2, d >= headPatience), d
	case Body:
		d = max(d, d+c.waited-time.Duration(float64(c.received)/slowBody*float64(time.Second)))
		return rankIf(2, d >= bodyPatience), d
	case Accept:
		return rankIf(2, d >= acceptPatience), d
	case Idle:
		return rankIf(1, d >= idlePatience), d
	case Run:
	}
	return 0, 0
}

func rankIf(rank int, ok bool) int {
	if ok {
		return rank
	}
	return 0
}
