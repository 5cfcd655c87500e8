package quarantine

import (
	"maps"
	"slices"
	"sync"
	"time"

	"snipetack/internal/state/plan"
)

// Retention is how long a quarantine stays in force after the last request that it held back.
const Retention = 10 * time.Minute

// List holds the quarantines in force on a VM; it is safe for concurrent use.
type List struct {
	mu       sync.Mutex
	revision uint64
	rules    []plan.Quarantine
	matched  map[string]bool // keys of the quarantines that held a request back since TakeMatched
	refuted  map[string]bool // keys of the quarantines in force of which a request that they match had a sound response
	watches  map[*watch]struct{}
}

// watch is a request that is not held back so far.
type watch struct {
	subject Subject
	blocked func()
}

// NewList returns an empty List.
func NewList() *List {
	return &List{matched: map[string]bool{}, refuted: map[string]bool{}, watches: map[*watch]struct{}{}}
}

// Revision returns the revision of the quarantines in force; 0 before the first ones.
func (l *List) Revision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}

// Len returns the number of quarantines in force.
func (l *List) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.rules)
}

// Keys returns the keys of the quarantines in force.
func (l *List) Keys() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	keys := make([]string, 0, len(l.rules))
	for _, q := range l.rules {
		keys = append(keys, q.Key())
	}
	return keys
}

// Adopt puts quarantines in force unless newer ones are, reports whether it did, and calls the blocked functions of the
// watches whose prompts they hold back.
func (l *List) Adopt(revision uint64, rules []plan.Quarantine) bool {
	l.mu.Lock()
	if revision <= l.revision {
		l.mu.Unlock()
		return false
	}
	l.revision, l.rules = revision, slices.Clone(rules)
	maps.DeleteFunc(l.refuted, func(k string, _ bool) bool {
		return !slices.ContainsFunc(rules, func(q plan.Quarantine) bool { return q.Key() == k })
	})
	var blocked []func()
	for w := range l.watches {
		if l.match(w.subject) {
			delete(l.watches, w)
			blocked = append(blocked, w.blocked)
		}
	}
	l.mu.Unlock()
	for _, f := range blocked {
		f()
	}
	return true
}

// Blocks reports whether a request must not be sent.
func (l *List) Blocks(s Subject) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.match(s)
}

// Watch reports whether a request may be sent now. If it may, blocked is called once when a later quarantine holds the request
// back, until stop is called.
func (l *List) Watch(s Subject, blocked func()) (stop func(), ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.match(s) {
		return func() {}, false
	}
	w := &watch{subject: s, blocked: blocked}
	l.watches[w] = struct{}{}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.watches, w)
	}, true
}

// TakeMatched returns the keys of the quarantines that held a request back since the last call.
func (l *List) TakeMatched() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var keys []string
	for k := range l.matched {
		keys = append(keys, k)
	}
	clear(l.matched)
	return keys
}

// Holding returns the keys of the quarantines that hold a request back.
func (l *List) Holding(s Subject) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var keys []string
	for _, q := range l.rules {
		if matches(q, s) {
			l.matched[q.Key()] = true
			keys = append(keys, q.Key())
		}
	}
	return keys
}

// Refute records that a request had a sound response: the quarantines that match it are wrong.
func (l *List) Refute(s Subject) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, q := range l.rules {
		if matches(q, s) {
			l.refuted[q.Key()] = true
		}
	}
}

// Refuted returns the keys of the quarantines in force that were refuted.
func (l *List) Refuted() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.refuted))
}

func (l *List) match(s Subject) bool {
	for _, q := range l.rules {
		if matches(q, s) {
			l.matched[q.Key()] = true
			return true
		}
	}
	return false
}

func matches(q plan.Quarantine, s Subject) bool {
	f := q.Fingerprint()
	return f != "" && f == s.Fingerprint || q.Matches(s.Segments)
}
