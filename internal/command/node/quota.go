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
	quotaTimeout   = 50 * time.Millisecond  // some round trips between data centres; a caller loses less by this VM's own share than by a longer wait
	ownerAvoidTime = 300 * time.Millisecond // no calls to the owner for this time after it did not respond
)

// accountAdmission is one account in an admission request to the owner or in its response.
type accountAdmission struct {
	account string
	count   int           // requests that wait; in the response, those admitted
	after   time.Duration // in the response, how long to wait until one more is admitted
}

// admissionMessage is a call for admissions or the response to it.
type admissionMessage struct {
	accounts    []accountAdmission
	apart       bool        // the calling VM has used its own shares since the last response
	incarnation int64       // of the calling VM where it declares its shares, else 0
	shares      share.Grant // in force on the calling VM, where it declares them
	declare     bool        // in the response: the next call shall declare the shares
}

// decision is the outcome for a request that waits for its admission.
type decision struct {
	ok         bool
	after      time.Duration
	noResponse bool // the owner did not respond: the local share decides
}

// quota admits requests within the accounts' rate limits. It sends admission requests to the owner of the limits, which is the
// leading control VM, one call at a time for all requests that wait. While the owner is unresponsive it falls back to this
// VM's shares. It is safe for concurrent use.
type quota struct {
	calls *link.Link
	m     *member

	mu         sync.Mutex
	waiting    map[string][]chan decision // by account
	running    bool                       // the goroutine that calls the owner
	avoidUntil time.Time                  // no calls to the owner before this time

	declare bool // the owner does not know this VM's shares; used by run only
}

func newQuota(l *link.Link, m *member) *quota {
	return &quota{calls: l, m: m, waiting: map[string][]chan decision{}}
}

// Take admits a request, or returns how long to wait until the next one can be admitted. It returns false and 0 when ctx ends
// first.
func (q *quota) Take(ctx context.Context, account string, l share.Limit) (bool, time.Duration) {
	if l.Rate <= 0 {
		return true, 0
	}
	b := q.m.buckets
	b.Count(time.Now(), account)
	done := q.enqueue(account)
	if done == nil {
		return b.Take(time.Now(), account, l)
	}
	select {
	case v := <-done:
		if v.noResponse {
			return b.Take(time.Now(), account, l)
		}
		b.DecidedByOwner(time.Now(), account, v.ok)
		return v.ok, v.after
	case <-ctx.Done():
		return false, 0
	}
}

// enqueue queues a request for the owner; it returns nil when no owner is known or it is avoided.
func (q *quota) enqueue(account string) <-chan decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	if time.Now().Before(q.avoidUntil) || q.m.Leader() == "" {
		return nil
	}
	done := make(chan decision, 1)
	q.waiting[account] = append(q.waiting[account], done)
	if !q.running {
		q.running = true
		go q.run()
	}
	return done
}

// run sends token requests to the owner until no request waits. Accounts that the response lacks are decided locally.
func (q *quota) run() {
	for {
		q.mu.Lock()
		w := q.waiting
		q.waiting = map[string][]chan decision{}
		if len(w) == 0 {
			q.running = false
			q.mu.Unlock()
			return
		}
		q.mu.Unlock()
		l, err := q.call(w)
		if err != nil {
			q.handleFailure(w, err)
			continue
		}
		for _, t := range l {
			for i, done := range w[t.account] {
				done <- decision{ok: i < t.count, after: t.after}
			}
			delete(w, t.account)
		}
		decideLocally(w)
	}
}

// call sends one token request for all accounts in w.
func (q *quota) call(w map[string][]chan decision) ([]accountAdmission, error) {
	ctx, cancel := context.WithTimeout(context.Background(), quotaTimeout)
	defer cancel()
	buckets := q.m.buckets
	m := admissionMessage{apart: buckets.Apart()}
	for a, x := range w {
		m.accounts = append(m.accounts, accountAdmission{account: a, count: len(x)})
	}
	if q.declare {
		m.incarnation, m.shares = q.m.incarnation, buckets.Grant(time.Now())
	}
	b, err := q.calls.Call(ctx, q.m.Leader(), link.Quota, encodeAdmissions(m))
	if err != nil {
		return nil, err
	}
	if m, err = decodeAdmissions(b); err != nil {
		return nil, err
	}
	q.declare = m.declare
	buckets.InContact(time.Now())
	return m.accounts, nil
}

// handleFailure avoids the owner for ownerAvoidTime and lets the local shares decide on w and on what has been queued since.
func (q *quota) handleFailure(w map[string][]chan decision, err error) {
	q.m.n.Log.Warn("owner of the rate limits not reached; requests are admitted from local shares", "peer", q.m.Leader(), "error", err)
	q.mu.Lock()
	now := time.Now()
	q.avoidUntil = now.Add(ownerAvoidTime)
	q.m.buckets.Detach(now, q.avoidUntil)
	for a, x := range q.waiting {
		w[a] = append(w[a], x...)
	}
	q.waiting = map[string][]chan decision{}
	q.mu.Unlock()
	decideLocally(w)
}

// decideLocally lets the local shares decide on all waiting requests.
func decideLocally(w map[string][]chan decision) {
	for _, l := range w {
		for _, done := range l {
			done <- decision{noResponse: true}
		}
	}
}

func encodeAdmissions(m admissionMessage) []byte {
	e := wire.NewEncoder()
	for _, t := range m.accounts {
		e.Record(1, func(e *wire.Encoder) {
			e.Text(1, t.account)
			e.Uint(2, uint64(max(0, t.count)))
			e.Duration(3, t.after)
		})
	}
	e.Bool(2, m.apart)
	e.Int(3, m.incarnation)
	e.Float(4, m.shares.Even)
	for a, s := range m.shares.Extra {
		e.Record(5, func(e *wire.Encoder) {
			e.Text(1, a)
			e.Float(2, s)
		})
	}
	e.Bool(6, m.declare)
	return e.Encoded()
}

func decodeAdmissions(b []byte) (admissionMessage, error) {
	m := admissionMessage{shares: share.Grant{Extra: map[string]float64{}}}
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			m.accounts = append(m.accounts, decodeAccountAdmission(d))
		case 2:
			m.apart = d.Bool()
		case 3:
			m.incarnation = d.Int()
		case 4:
			m.shares.Even = d.Float()
		case 5:
			account, s := "", 0.0
			r := d.Record()
			for g, ok := r.Next(); ok; g, ok = r.Next() {
				switch g {
				case 1:
					account = r.Text()
				case 2:
					s = r.Float()
				}
			}
			d.Fail(r.Err())
			m.shares.Extra[account] = s
		case 6:
			m.declare = d.Bool()
		}
	}
	return m, d.Err()
}

func decodeAccountAdmission(p *wire.Decoder) accountAdmission {
	var t accountAdmission
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			t.account = d.Text()
		case 2:
			t.count = int(d.Uint())
		case 3:
			t.after = d.Duration()
		}
	}
	p.Fail(d.Err())
	return t
}
