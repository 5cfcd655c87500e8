package origin

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Memory is how long an origin is known at least, unless there are too many; callers give a stream up sooner.
const Memory = 30 * time.Second

const (
	maxStreams = 1 << 16 // begun within Memory that a Table holds
	holders    = 3       // batch VMs that hold an origin
)

// Origin is the service, and the version of its software, at which a stream began.
type Origin struct {
	Service string
	Version string // "" where the list of upstreams names no versions
}

// Unknown is the version of a stream that began at an upstream whose software was not known then; no upstream has it.
const Unknown = "\x00unknown"

// Key identifies the attempt of a caller that brought the first event of a stream.
type Key uint64

// KeyOf returns the key of a request of an account; callers choose the ids of their requests.
func KeyOf(account, request string) Key {
	return Key(xxhash.Sum64String(account + "\x00" + request))
}

// Holders returns the addresses of those batch VMs that hold the origin with a key, the same on all VMs that know the same batch VMs.
func Holders(k Key, batch []string) []string {
	type ranked struct {
		address string
		rank    uint64
	}
	l := make([]ranked, 0, len(batch))
	for _, a := range batch {
		var d xxhash.Digest
		d.ResetWithSeed(uint64(k))
		_, _ = d.WriteString(a)
		l = append(l, ranked{a, d.Sum64()})
	}
	slices.SortFunc(l, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	var out []string
	for _, r := range l[:min(len(l), holders)] {
		out = append(out, r.address)
	}
	return out
}

// Table holds origins for Memory to twice this time; it is safe for concurrent use.
type Table struct {
	mu            sync.Mutex
	recent, older map[Key]Origin
	rotatedAt     time.Time
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{recent: map[Key]Origin{}, older: map[Key]Origin{}}
}

// Add records where a stream began.
func (t *Table) Add(now time.Time, k Key, o Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	if len(t.recent) < maxStreams {
		t.recent[k] = o
	}
}

// Find returns where a stream began, if that is known.
func (t *Table) Find(now time.Time, k Key) (Origin, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	o, ok := t.recent[k]
	if !ok {
		o, ok = t.older[k]
	}
	return o, ok
}

// Streams returns all streams whose origins are known.
func (t *Table) Streams(now time.Time) []Begun {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	l := make([]Begun, 0, len(t.recent)+len(t.older))
	for k, o := range t.recent {
		l = append(l, Begun{Key: k, Origin: o})
	}
	for k, o := range t.older {
		if _, ok := t.recent[k]; !ok {
			l = append(l, Begun{Key: k, Origin: o})
		}
	}
	return l
}

// Len returns the number of origins.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.recent) + len(t.older)
}

func (t *Table) rotate(now time.Time) {
	switch d := now.Sub(t.rotatedAt); {
	case d < Memory:
		return
	case d < 2*Memory:
		t.older = t.recent
	default:
		t.older = map[Key]Origin{}
	}
	t.recent, t.rotatedAt = map[Key]Origin{}, now
}
