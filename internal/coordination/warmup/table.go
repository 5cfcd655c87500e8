package warmup

import (
	"sync"
	"time"
)

const (
	wordMemory = 5 * time.Second // for which other VMs are told what a response or a restart showed; lists show it later
	newsStep   = time.Second     // by which the end of the warm-up in a response differs at least from the one that was told before
)

// Reason is why an upstream counts as cold.
type Reason string

// The reasons, as they are in the log.
const (
	Warm      Reason = ""
	Listed    Reason = "the list says so"
	Named     Reason = "its response says so"
	Restarted Reason = "it has started again"
	Joined    Reason = "it is new on the list"
	Returned  Reason = "its data centre was evacuated"
)

// Table holds what a VM knows of the upstreams that are cold; it is safe for concurrent use.
type Table struct {
	lag      time.Duration
	doubtful func(id string) bool

	mu        sync.Mutex
	upstreams map[string]*upstream // those on the list, by id
	shown     time.Time            // up to when the newest list shows what happened; zero before the first list
}

// Upstream is an entry of the list.
type Upstream struct {
	ID   string
	Zone string
	Born int64         // start of its process in Unix ms; 0 when the list does not tell
	Cold time.Duration // remaining warm-up time
}

// upstream is what is known of one upstream.
type upstream struct {
	zone   string
	born   int64
	event  time.Time // last event after which it may be cold; zero once a list has shown the time after it
	reason Reason    // of event
	until  time.Time // end of the warm-up by the newest word
	word   time.Time // as of when that is
	named  bool      // the word is from a response
	told   *Word     // last word that other VMs were told
	toldAt time.Time
	news   bool // told has to be reported
}

// Word is what a response or a restart showed of an upstream; it goes to the other VMs.
type Word struct {
	Upstream string
	Age      time.Duration
	Left     time.Duration // of the warm-up; 0 is none
	Event    bool          // the upstream has started again, and Left is not known
}

// New returns an empty Table. The list may lag by lag; doubtful reports whether an upstream may have started again since the list was read.
func New(lag time.Duration, doubtful func(id string) bool) *Table {
	return &Table{lag: lag, doubtful: doubtful, upstreams: map[string]*upstream{}}
}

// Listed takes over a list of upstreams and when it was read. An upstream that is new since this VM has a list, or has another start of its process than
// before, counts as cold until a later list shows otherwise.
func (t *Table) Listed(read time.Time, l []Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	shown := read.Add(-t.lag)
	if shown.Before(t.shown) {
		return
	}
	first := t.shown.IsZero()
	t.shown = shown
	m := make(map[string]*upstream, len(l))
	for _, x := range l {
		u := t.upstreams[x.ID]
		switch {
		case u == nil:
			u = &upstream{}
			if !first {
				u.event, u.reason = read, Joined
			}
		case u.born != 0 && x.Born != 0 && u.born != x.Born:
			u.event, u.reason = read, Restarted
		}
		u.zone = x.Zone
		if x.Born != 0 {
			u.born = x.Born
		}
		if !u.event.IsZero() && !shown.Before(u.event) {
			u.event = time.Time{}
		}
		if !shown.Before(u.word) {
			u.word, u.until, u.named = shown, read.Add(x.Cold), false
			if x.Cold <= 0 {
				u.until = time.Time{}
			}
		}
		m[x.ID] = u
	}
	t.upstreams = m
}

// Named records the remaining warm-up time that a response of an upstream names, and reports whether other VMs have to be told.
func (t *Table) Named(now time.Time, id string, left time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[id]
	if u == nil {
		return false
	}
	before, known := u.until, u.event.IsZero()
	u.name(now, left)
	d := u.until.Sub(before)
	if known && (d < newsStep && d > -newsStep || !u.until.After(now) && !before.After(now)) {
		return false
	}
	u.tell(now, Word{Upstream: id, Left: left})
	return true
}

func (u *upstream) name(at time.Time, left time.Duration) {
	u.word, u.until, u.named = at, at.Add(left), true
	u.event = time.Time{}
}

func (u *upstream) tell(now time.Time, w Word) { u.told, u.toldAt, u.news = &w, now, true }

// Restarted records that an upstream responds again after its connections broke.
func (t *Table) Restarted(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u := t.upstreams[id]; u != nil {
		u.event, u.reason = now, Restarted
		u.tell(now, Word{Upstream: id, Event: true})
	}
}

// Returned records that the evacuation of a data centre ended: its upstreams count as cold until a list shows otherwise.
func (t *Table) Returned(zone string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range t.upstreams {
		if u.zone == zone && at.After(t.shown) && at.After(u.event) {
			u.event, u.reason = at, Returned
		}
	}
}

// Reason returns why an upstream counts as cold, or Warm.
func (t *Table) Reason(now time.Time, id string) Reason {
	doubtful := t.doubtful(id)
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[id]
	switch {
	case u == nil:
		return Warm
	case !u.event.IsZero():
		return u.reason
	case now.Before(u.until) && u.named:
		return Named
	case now.Before(u.until):
		return Listed
	case doubtful:
		return Restarted
	}
	return Warm
}

// TakeNews returns what this VM has observed and not reported since, and counts it as reported.
func (t *Table) TakeNews(now time.Time) []Word {
	return t.words(now, func(u *upstream) bool {
		news := u.news
		u.news = false
		return news
	})
}

// Words returns what this and other VMs observed lately.
func (t *Table) Words(now time.Time) []Word {
	return t.words(now, func(*upstream) bool { return true })
}

func (t *Table) words(now time.Time, take func(u *upstream) bool) []Word {
	t.mu.Lock()
	defer t.mu.Unlock()
	var l []Word
	for _, u := range t.upstreams {
		if u.told == nil || now.Sub(u.toldAt) > wordMemory || !take(u) {
			continue
		}
		w := *u.told
		w.Age = now.Sub(u.toldAt)
		l = append(l, w)
	}
	return l
}

// ReportAll counts all words as not reported, for a new leader.
func (t *Table) ReportAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range t.upstreams {
		u.news = u.told != nil
	}
}

// Adopt takes over what other VMs observed, where it is newer than what this VM knows.
func (t *Table) Adopt(now time.Time, l []Word) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range l {
		u, at := t.upstreams[w.Upstream], now.Add(-w.Age)
		if u == nil || !at.After(t.shown) || u.told != nil && !at.After(u.toldAt) {
			continue
		}
		switch {
		case w.Event && at.After(u.event) && at.After(u.word):
			u.event, u.reason = at, Restarted
		case !w.Event && at.After(u.word) && !at.Before(u.event):
			u.name(at, w.Left)
		default:
			continue
		}
		u.told, u.toldAt = &Word{Upstream: w.Upstream, Left: w.Left, Event: w.Event}, at
	}
}
