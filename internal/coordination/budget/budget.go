package budget

import (
	"sync"
	"time"
)

// Parts of a process's memory and of what its clients may hold.
const (
	largeFraction = 3.0 / 4 // of what clients may hold, for holdings above SmallBytes; the rest is left to small requests
)

// SmallBytes is what a connection may hold as a small request, for which a part of the memory is kept.
const SmallBytes = 64 << 10

// connBytes is what each connection takes in buffers and stacks.
const connBytes = 20 << 10

// Stage is what a connection waits for.
type Stage int

// The stages of a connection.
const (
	Head   Stage = iota // the client sends, or has yet to send, the head of a request
	Body                // the client sends the body of a request
	Run                 // the request is being served
	Accept              // the client accepts bytes of its response
	Idle                // the client may send its next request
)

// String returns the stage's name in logs and metrics.
func (s Stage) String() string {
	return [...]string{"head", "body", "run", "response", "idle"}[s]
}

// Shortest times without progress after which a connection may be closed for another client. An ordinary client in the same data
// centre sends a head at once and pauses in a body or a response for less than a round trip.
const (
	headPatience   = 100 * time.Millisecond
	bodyPatience   = 250 * time.Millisecond
	acceptPatience = time.Second
	idlePatience   = 250 * time.Millisecond
)

// slowBody is the rate in bytes a second that a body must keep, beside pauses, so that its connection is not closed for another client.
const slowBody = 256 << 10

// Budget is the memory and the descriptors that the clients of a process may hold; it is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	memory   int64 // bytes for all
	files    int
	held     int64
	open     map[*Conn]struct{}
	evicting int64         // bytes that will be returned by connections that are being closed and requests that are refused
	requests uint64        // so far
	freed    chan struct{} // closed when bytes are released
}

// New returns a Budget of so much memory for clients, in bytes, of a process with so many descriptors.
func New(memory int64, files int) *Budget {
	return &Budget{memory: memory, files: files, open: map[*Conn]struct{}{}, freed: make(chan struct{})}
}

// Held returns the bytes that clients hold.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Memory returns the bytes that clients may hold together.
func (b *Budget) Memory() int64 { return b.memory }

// Open returns the number of connections that are open.
func (b *Budget) Open() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.open)
}

// TryAcquire reserves bytes that belong to no connection, as those of large holdings; it closes connections without progress for them.
func (b *Budget) TryAcquire(n int64) bool {
	b.mu.Lock()
	victims, ok := b.reserve(time.Now(), nil, n)
	b.mu.Unlock()
	end(victims)
	return ok
}

// Release returns bytes that TryAcquire has reserved.
func (b *Budget) Release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(n)
}

// CloseSlowReaders closes up to n connections whose client accepts nothing of its response, those that it holds for longest first. It
// is for requests that wait for what these responses keep, such as slots at upstreams.
func (b *Budget) CloseSlowReaders(now time.Time, n int) {
	b.mu.Lock()
	var victims []*Conn
	for len(victims) < n {
		v := b.worst(now, false, func(x *Conn) bool { return x.stage == Accept })
		if v == nil {
			break
		}
		b.evict(v)
		victims = append(victims, v)
	}
	b.mu.Unlock()
	end(victims)
}

// release returns bytes and wakes those that wait for room.
func (b *Budget) release(n int64) {
	if n == 0 {
		return
	}
	b.held -= n
	close(b.freed)
	b.freed = make(chan struct{})
}

// limit returns how many bytes may be held for a holding that grows to so many.
func (b *Budget) limit(total int64) int64 {
	if total <= SmallBytes {
		return b.memory
	}
	return int64(largeFraction * float64(b.memory))
}

// reserve reserves n bytes for a connection, or for none. If there is no room it returns false and the connections to close for it.
func (b *Budget) reserve(now time.Time, c *Conn, n int64) (victims []*Conn, ok bool) {
	total := n + SmallBytes
	if c != nil {
		total = c.bytes + n
		if c.evicted || c.yielded {
			return nil, false
		}
	}
	limit := b.limit(total)
	if b.held+n <= limit {
		b.held += n
		return nil, true
	}
	if n > limit {
		return nil, false
	}
	missing := b.held + n - limit - b.evicting
	for missing > 0 {
		v := b.worst(now, true, func(x *Conn) bool { return x != c && (x.bytes > 0 || x.stage == Accept) })
		if v == nil {
			break
		}
		b.evict(v)
		missing -= v.bytes + connBytes
		victims = append(victims, v)
	}
	for c != nil && missing > 0 {
		v := b.junior(c)
		if v == nil {
			break
		}
		v.yielded = true
		b.promise(v, v.bytes)
		missing -= v.bytes
		close(b.freed) // so that it notices
		b.freed = make(chan struct{})
	}
	return victims, false
}

// junior returns the connection with the largest body that waits for room and comes after c, the last of equal ones, or nil. Without a
// choice among them, requests with parts of their bodies would wait for each other.
func (b *Budget) junior(c *Conn) *Conn {
	var w *Conn
	for x := range b.open {
		if x != c && x.waiting && !x.yielded && !x.evicted && x.bytes > SmallBytes && c.claim(x) && (w == nil || x.bytes > w.bytes || x.bytes == w.bytes && w.claim(x)) {
			w = x
		}
	}
	return w
}

// promise counts bytes of a connection as evicting until they are returned.
func (b *Budget) promise(c *Conn, n int64) {
	c.promised += n
	b.evicting += n
}

// free returns bytes of a connection.
func (b *Budget) free(c *Conn, n int64) {
	d := min(n, c.promised)
	c.promised -= d
	b.evicting -= d
	b.release(n)
}

// evict marks a connection as one that is being closed.
func (b *Budget) evict(v *Conn) {
	v.evicted = true
	b.promise(v, v.bytes+connBytes-v.promised)
}

// worst returns the connection without enough progress that is to be closed first, or nil: one that has delivered no request
// before one that waits for its next, and of these the one that lacks progress for longest, for memory weighed by what it holds.
func (b *Budget) worst(now time.Time, memory bool, eligible func(*Conn) bool) *Conn {
	var w *Conn
	rank, late := 0, 0.0
	for c := range b.open {
		if c.evicted || !eligible(c) {
			continue
		}
		r, t := c.lateness(now)
		d := t.Seconds()
		if memory {
			d *= float64(c.bytes + connBytes)
		}
		if r > rank || r == rank && r > 0 && d > late {
			w, rank, late = c, r, d
		}
	}
	return w
}

// end closes connections, outside the lock.
func end(l []*Conn) {
	for _, c := range l {
		c.end(c.Reason())
	}
}
