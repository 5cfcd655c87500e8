package intent

import (
	"bytes"
	"cmp"
	"container/list"
	"slices"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/state/wire"
)

// Limits on what is stored; the oldest is dropped first.
const (
	MaxResponseBytes      = 64 << 10 // body of one stored response
	maxTotalResponseBytes = 16 << 20 // bodies of all stored responses
	maxIntents            = 200_000  // requests
	maxAccountIntents     = 50_000   // requests of one client account, so that it can't evict those of others
)

// maxClockSkew is the difference between the clocks of two VMs that is allowed for: a run is reported as lost only when
// its time limit has passed by this much, because the VM that inquires may have a clock ahead of the one that began it.
const maxClockSkew = 30 * time.Second

// requestKey identifies a request.
type requestKey struct {
	account string
	key     string
}

type entry struct {
	request     requestKey
	digest      []byte
	run         string
	at          time.Time
	limit       time.Duration
	state       State // Running, Done or Free
	response    Response
	responseSeq uint64 // position in the order in which responses were stored; 0 if none was
}

// Machine is the intents group's state machine; it is not safe for concurrent use.
type Machine struct {
	entries         map[requestKey]*list.Element
	order           *list.List // of *entry, oldest first
	accountEntries  map[string]int
	responses       []*entry // ordered by responseSeq; some responses may have been dropped since
	responseBytes   int
	lastResponseSeq uint64
}

// New returns an empty Machine.
func New() *Machine {
	return &Machine{entries: map[requestKey]*list.Element{}, order: list.New(), accountEntries: map[string]int{}}
}

// Apply executes an encoded Command and returns an encoded Outcome, or nil when the command can't be decoded.
func (m *Machine) Apply(_ uint64, command []byte) []byte {
	c, err := DecodeCommand(command)
	if err != nil {
		return nil
	}
	return EncodeOutcome(m.Execute(c))
}

// Execute applies a command and returns the state of its request after it. The Outcome of an unknown action is empty.
func (m *Machine) Execute(c Command) Outcome {
	e := m.find(c)
	switch c.Action {
	case Begin:
		return m.begin(e, c)
	case Finish:
		return m.finish(e, c)
	case Abandon:
		return m.abandon(e, c)
	default:
		return Outcome{}
	}
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() []byte {
	w := wire.NewEncoder()
	for p := m.order.Front(); p != nil; p = p.Next() {
		w.Record(1, func(w *wire.Encoder) { encodeEntry(w, p.Value.(*entry)) })
	}
	return w.Encoded()
}

// Restore replaces the state by a snapshot.
func (m *Machine) Restore(snapshot []byte) error {
	n := New()
	d := wire.NewDecoder(snapshot)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		if f != 1 {
			continue
		}
		e, err := decodeEntry(d.Record())
		d.Fail(err)
		n.insert(e)
	}
	if d.Err() != nil {
		return errors.Wrap(d.Err(), "restoring intents from a snapshot")
	}
	n.restoreResponses()
	*m = *n
	return nil
}

// restoreResponses rebuilds the order in which responses were stored, so that all replicas drop the same ones.
func (m *Machine) restoreResponses() {
	for p := m.order.Front(); p != nil; p = p.Next() {
		e := p.Value.(*entry)
		m.lastResponseSeq = max(m.lastResponseSeq, e.responseSeq)
		if e.response.Kept {
			m.responses = append(m.responses, e)
			m.responseBytes += len(e.response.Body)
		}
	}
	slices.SortFunc(m.responses, func(a, b *entry) int { return cmp.Compare(a.responseSeq, b.responseSeq) })
}

func (m *Machine) find(c Command) *entry {
	p, ok := m.entries[requestKey{c.Account, c.Key}]
	if !ok {
		return nil
	}
	return p.Value.(*entry)
}

func (m *Machine) begin(e *entry, c Command) Outcome {
	switch {
	case e == nil:
		m.insert(newEntry(c))
		return Outcome{State: Started}
	case e.state == Free && e.run != c.Run:
		m.remove(e)
		m.insert(newEntry(c))
		return Outcome{State: Started}
	case e.run == c.Run && e.state == Running:
		return Outcome{State: Started}
	case e.state == Free:
		return Outcome{State: Free}
	case !bytes.Equal(e.digest, c.Digest):
		return Outcome{State: Clash}
	case e.state == Running && c.At.After(e.at.Add(e.limit+maxClockSkew)):
		return Outcome{State: Lost}
	default:
		return Outcome{State: e.state, Response: e.response}
	}
}

// finish stores the response of the run that holds the request, once. It is Lost for any other run: one that another
// has replaced, or that was abandoned.
func (m *Machine) finish(e *entry, c Command) Outcome {
	if e == nil || e.run != c.Run || e.state == Free {
		return Outcome{State: Lost}
	}
	if e.state == Running {
		e.state = Done
		e.response = c.Response
		if len(c.Response.Body) > MaxResponseBytes {
			e.response = Response{}
		}
		m.addResponse(e)
	}
	return Outcome{State: Done, Response: e.response}
}

// abandon keeps an entry in state Free, even if there was none, so that a delayed copy of the run's Begin can't claim
// the request afterwards.
func (m *Machine) abandon(e *entry, c Command) Outcome {
	if e == nil {
		e = newEntry(c)
		m.insert(e)
	}
	if e.run != c.Run || e.state == Done {
		return Outcome{State: e.state}
	}
	e.state = Free
	return Outcome{State: Free}
}

func (m *Machine) insert(e *entry) {
	m.entries[e.request] = m.order.PushBack(e)
	m.accountEntries[e.request.account]++
	if m.accountEntries[e.request.account] > maxAccountIntents {
		m.removeOldest(e.request.account)
	}
	for m.order.Len() > maxIntents {
		m.remove(m.order.Front().Value.(*entry))
	}
}

func (m *Machine) removeOldest(account string) {
	for p := m.order.Front(); p != nil; p = p.Next() {
		if e := p.Value.(*entry); e.request.account == account {
			m.remove(e)
			return
		}
	}
}

func (m *Machine) remove(e *entry) {
	m.order.Remove(m.entries[e.request])
	delete(m.entries, e.request)
	m.accountEntries[e.request.account]--
	if m.accountEntries[e.request.account] == 0 {
		delete(m.accountEntries, e.request.account)
	}
	m.dropResponse(e)
}

// addResponse adds e's response to those stored and drops the oldest ones beyond maxTotalResponseBytes.
func (m *Machine) addResponse(e *entry) {
	if !e.response.Kept {
		return
	}
	m.lastResponseSeq++
	e.responseSeq = m.lastResponseSeq
	m.responses = append(m.responses, e)
	m.responseBytes += len(e.response.Body)
	for len(m.responses) > 0 && (m.responseBytes > maxTotalResponseBytes || !m.responses[0].response.Kept) {
		m.dropResponse(m.responses[0])
		m.responses = m.responses[1:]
	}
}

func (m *Machine) dropResponse(e *entry) {
	if e.response.Kept {
		m.responseBytes -= len(e.response.Body)
		e.response = Response{}
	}
}

func newEntry(c Command) *entry {
	return &entry{
		request: requestKey{c.Account, c.Key},
		digest:  c.Digest,
		run:     c.Run,
		at:      c.At,
		limit:   c.Limit,
		state:   Running,
	}
}

func encodeEntry(w *wire.Encoder, e *entry) {
	w.Text(1, e.request.account)
	w.Text(2, e.request.key)
	w.Bytes(3, e.digest)
	w.Text(4, e.run)
	w.Time(5, e.at)
	w.Duration(6, e.limit)
	w.Uint(7, uint64(e.state))
	w.Record(8, func(w *wire.Encoder) { encodeResponse(w, e.response) })
	w.Uint(9, e.responseSeq)
}

func decodeEntry(d *wire.Decoder) (*entry, error) {
	e := &entry{}
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			e.request.account = d.Text()
		case 2:
			e.request.key = d.Text()
		case 3:
			e.digest = append([]byte(nil), d.Bytes()...)
		case 4:
			e.run = d.Text()
		case 5:
			e.at = d.Time()
		case 6:
			e.limit = d.Duration()
		case 7:
			e.state = State(d.Uint())
		case 8:
			e.response = decodeResponse(d)
		case 9:
			e.responseSeq = d.Uint()
		}
	}
	return e, d.Err()
}
