package node

import (
	"context"
	"sync"
	"time"

	"snipetack/internal/coordination/share"
	"snipetack/internal/state/wire"
	"snipetack/internal/transport/link"
)

// Timing of quota requests.
const (
	quotaTimeout = 50 * time.Millisecond  // a sixth of the shortest usual objective
	quotaShun    = 300 * time.Millisecond // the owner is not asked again after it gave no answer
)

// tokens are requests of an account: wanted, or admitted.
type tokens struct {
	account string
	count   int
	after   time.Duration // until there is room for one more
}

// verdict answers a request that waits for its token.
type verdict struct {
	ok    bool
	after time.Duration
	alone bool // the owner gave no answer
}

// quota asks the owner of the accounts' limits, many requests at once, and falls back to this VM's shares.
type quota struct {
	calls *link.Link
	m     *member

	mu      sync.Mutex
	waiting map[string][]chan verdict
	asking  bool
	shunned time.Time // the owner is not asked before
}

func newQuota(l *link.Link, m *member) *quota {
	return &quota{calls: l, m: m, waiting: map[string][]chan verdict{}}
}

// Take admits a request, or returns after how long there will be room.
func (q *quota) Take(ctx context.Context, account string, l share.Limit) (bool, time.Duration) {
	if l.Rate <= 0 {
		return true, 0
	}
	b := q.m.buckets
	b.Count(time.Now(), account)
	done := q.ask(account)
	if done == nil {
		return b.Take(time.Now(), account, l)
	}
	select {
	case v := <-done:
		if v.alone {
			return b.Take(time.Now(), account, l)
		}
		b.AdmittedByOwner(time.Now(), account)
		return v.ok, v.after
	case <-ctx.Done():
		return false, 0
	}
}

// ask queues a request for the owner; it returns nil when the owner can't be asked now.
func (q *quota) ask(account string) <-chan verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	if time.Now().Before(q.shunned) || q.m.Leader() == "" {
		return nil
	}
	done := make(chan verdict, 1)
	q.waiting[account] = append(q.waiting[account], done)
	if !q.asking {
		q.asking = true
		go q.run()
	}
	return done
}

// run asks the owner until nothing waits.
func (q *quota) run() {
	for {
		q.mu.Lock()
		w := q.waiting
		q.waiting = map[string][]chan verdict{}
		if len(w) == 0 {
			q.asking = false
			q.mu.Unlock()
			return
		}
		q.mu.Unlock()
		l, err := q.call(w)
		if err != nil {
			q.failed(w, err)
			continue
		}
		for _, t := range l {
			for i, done := range w[t.account] {
				done <- verdict{ok: i < t.count, after: t.after}
			}
			delete(w, t.account)
		}
		answerAlone(w)
	}
}

func (q *quota) call(w map[string][]chan verdict) ([]tokens, error) {
	ctx, cancel := context.WithTimeout(context.Background(), quotaTimeout)
	defer cancel()
	var l []tokens
	for a, x := range w {
		l = append(l, tokens{account: a, count: len(x)})
	}
	b, err := q.calls.Call(ctx, q.m.Leader(), link.Quota, encodeTokens(l))
	if err != nil {
		return nil, err
	}
	return decodeTokens(b)
}

func (q *quota) failed(w map[string][]chan verdict, err error) {
	q.m.n.Log.Warn("owner of the limits not reached", "peer", q.m.Leader(), "error", err)
	q.mu.Lock()
	q.shunned = time.Now().Add(quotaShun)
	for a, x := range q.waiting {
		w[a] = append(w[a], x...)
	}
	q.waiting = map[string][]chan verdict{}
	q.mu.Unlock()
	answerAlone(w)
}

func answerAlone(w map[string][]chan verdict) {
	for _, l := range w {
		for _, done := range l {
			done <- verdict{alone: true}
		}
	}
}

func encodeTokens(l []tokens) []byte {
	e := wire.NewEncoder()
	for _, t := range l {
		e.Record(1, func(e *wire.Encoder) {
			e.Text(1, t.account)
			e.Uint(2, uint64(max(0, t.count)))
			e.Duration(3, t.after)
		})
	}
	return e.Encoded()
}

func decodeTokens(b []byte) ([]tokens, error) {
	var l []tokens
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		if f != 1 {
			continue
		}
		var t tokens
		r := d.Record()
		for g, ok := r.Next(); ok; g, ok = r.Next() {
			switch g {
			case 1:
				t.account = r.Text()
			case 2:
				t.count = int(r.Uint())
			case 3:
				t.after = r.Duration()
			}
		}
		d.Fail(r.Err())
		l = append(l, t)
	}
	return l, d.Err()
}
