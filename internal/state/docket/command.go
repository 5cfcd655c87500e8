package docket

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/state/wire"
)

// Action is what a command does; numbers are stored.
type Action uint64

// The actions.
const (
	Submit       Action = 1 // adds a job
	RecordResult Action = 2 // records an item's result
	Fail         Action = 3 // counts a failed run of an item
	End          Action = 4 // ends a job for its caller; open items get no result
	Forget       Action = 5 // removes a job past its retention
)

// Command is one change of a Docket.
type Command struct {
	Action     Action
	Job        Job           // complete for Submit; only ID, and Account for End, otherwise
	Item       int           // index in the job, for RecordResult and Fail
	Outcome    Outcome       // for RecordResult
	Output     string        // for RecordResult
	Ran        time.Duration // run time of all runs of the item, for RecordResult; 0 while unknown
	MaxWaiting int           // max tokens of the account's open items on the route, for Submit; 0 is no limit
}

// Verdict is the outcome of a command.
type Verdict byte

// The verdicts; numbers are part of the wire form.
const (
	Accepted  Verdict = 1
	OverLimit Verdict = 2 // the tokens of the account's open items would exceed MaxWaiting
	NoJob     Verdict = 3 // no such job, or for End not of this account
	Invalid   Verdict = 4 // malformed, or the job id belongs to another account
)

// Apply executes a committed command and returns its Verdict as one byte. Results and failures of items that do not
// exist are ignored and accepted.
func (d *Docket) Apply(_ uint64, command []byte) []byte {
	c, err := DecodeCommand(command)
	if err != nil {
		return []byte{byte(Invalid)}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.apply(c)
	close(d.changed)
	d.changed = make(chan struct{})
	return []byte{byte(v)}
}

func (d *Docket) apply(c Command) Verdict {
	j := d.jobs[c.Job.ID]
	if c.Action == Submit {
		return d.submit(j, c)
	}
	if j == nil {
		return NoJob
	}
	switch c.Action {
	case RecordResult:
		before := 0
		if c.Item < len(j.Items) {
			before = len(j.Items[c.Item].Body)
		}
		if j.recordResult(c) {
			d.bodyBytes -= before
			d.learn(j.Items[c.Item].Tokens, c.Ran)
		}
	case Fail:
		if c.Item < len(j.Items) {
			j.Items[c.Item].Failures++
		}
	case End:
		if j.Account != c.Job.Account {
			return NoJob
		}
		j.Ended = true
	case Forget:
		delete(d.jobs, j.ID)
		d.bodyBytes -= j.BodyBytes()
		d.order = slices.DeleteFunc(d.order, func(id string) bool { return id == j.ID })
	}
	return Accepted
}

// submit adds a job. A repeated submission by the same account is accepted and changes nothing.
func (d *Docket) submit(j *Job, c Command) Verdict {
	if j != nil {
		if j.Account != c.Job.Account {
			return Invalid
		}
		return Accepted
	}
	n := 0
	for _, i := range c.Job.Items {
		n += i.Tokens
	}
	if c.MaxWaiting > 0 && d.waiting(c.Job.Account, c.Job.Route)+n > c.MaxWaiting {
		return OverLimit
	}
	d.add(c.Job)
	return Accepted
}

func (d *Docket) add(j Job) {
	d.jobs[j.ID] = &j
	d.bodyBytes += j.BodyBytes()
	d.order = append(d.order, j.ID)
}

// recordResult records the first result of an item and frees its request body, which is not needed any more. Later
// results are ignored; it returns false then.
func (j *Job) recordResult(c Command) bool {
	if c.Item >= len(j.Items) || j.Items[c.Item].Outcome != Open {
		return false
	}
	i := &j.Items[c.Item]
	i.Outcome, i.Output, i.Body = c.Outcome, c.Output, nil
	j.ResultOrder = append(j.ResultOrder, c.Item)
	return true
}

// learnWeight is the inverse weight of one item in the moving average of run times.
const learnWeight = 20

// learn updates the moving average of run times. It uses integers only, so that all replicas have the same state.
func (d *Docket) learn(tokens int, ran time.Duration) {
	if tokens <= 0 || ran <= 0 {
		return
	}
	x := ran / time.Duration(tokens)
	if d.timePerToken == 0 {
		d.timePerToken = x
	}
	d.timePerToken += (x - d.timePerToken) / learnWeight
}

// Snapshot returns the encoded state.
func (d *Docket) Snapshot() []byte {
	d.mu.RLock()
	defer d.mu.RUnlock()
	e := wire.NewEncoder()
	n := 0
	for _, j := range d.jobs {
		n += j.size()
	}
	e.Grow(n)
	for _, id := range d.order {
		e.Record(1, func(e *wire.Encoder) { encodeJob(e, *d.jobs[id]) })
	}
	e.Uint(2, uint64(d.timePerToken))
	return e.Encoded()
}

// itemOverhead is about how many bytes an encoded item has beside its body, its output and its headers.
const itemOverhead = 128

// size returns about how many bytes the encoded job has, and no fewer.
func (j *Job) size() int {
	n := itemOverhead + len(j.ID) + len(j.Account) + len(j.Route) + len(j.Host)
	for i := range j.Items {
		x := &j.Items[i]
		n += itemOverhead + len(x.ID) + len(x.Path) + len(x.Body) + len(x.Output)
		for k, v := range x.Headers {
			n += len(k) + len(v) + 8
		}
	}
	return n
}

// Restore replaces the state by a snapshot; after an error the state is unchanged.
func (d *Docket) Restore(b []byte) error {
	n := New()
	r := wire.NewDecoder(b)
	for f, ok := r.Next(); ok; f, ok = r.Next() {
		switch f {
		case 1:
			j, err := decodeJob(r.Record())
			r.Fail(err)
			n.add(j)
		case 2:
			n.timePerToken = time.Duration(r.Uint())
		}
	}
	if err := r.Err(); err != nil {
		return errors.Wrap(err, "decoding the batch jobs")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.jobs, d.order, d.timePerToken, d.bodyBytes = n.jobs, n.order, n.timePerToken, n.bodyBytes
	close(d.changed)
	d.changed = make(chan struct{})
	return nil
}

// EncodeCommand returns the stored form of a command.
func EncodeCommand(c Command) []byte {
	e := wire.NewEncoder()
	e.Uint(1, uint64(c.Action))
	e.Record(2, func(e *wire.Encoder) { encodeJob(e, c.Job) })
	e.Uint(3, uint64(c.Item))
	e.Uint(4, uint64(c.Outcome))
	e.Text(5, c.Output)
	e.Uint(6, uint64(c.MaxWaiting))
	e.Uint(7, uint64(max(0, c.Ran)))
	return e.Encoded()
}

// DecodeCommand reads the stored form of a command.
func DecodeCommand(b []byte) (Command, error) {
	var c Command
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			c.Action = Action(d.Uint())
		case 2:
			j, err := decodeJob(d.Record())
			d.Fail(err)
			c.Job = j
		case 3:
			c.Item = int(d.Uint())
		case 4:
			c.Outcome = Outcome(d.Uint())
		case 5:
			c.Output = d.Text()
		case 6:
			c.MaxWaiting = int(d.Uint())
		case 7:
			c.Ran = time.Duration(d.Uint())
		}
	}
	return c, errors.Wrap(d.Err(), "decoding a batch command")
}

func encodeJob(e *wire.Encoder, j Job) {
	e.Text(1, j.ID)
	e.Text(2, j.Account)
	e.Text(3, j.Route)
	e.Text(4, j.Host)
	e.Time(5, j.Accepted)
	e.Bool(6, j.Ended)
	for i := range j.Items {
		e.Record(7, func(e *wire.Encoder) { encodeItem(e, j.Items[i]) })
	}
	for _, i := range j.ResultOrder {
		// Stored plus 1, because Uint omits zeros.
		e.Uint(8, uint64(i)+1)
	}
}

func decodeJob(d *wire.Decoder) (Job, error) {
	var j Job
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			j.ID = d.Text()
		case 2:
			j.Account = d.Text()
		case 3:
			j.Route = d.Text()
		case 4:
			j.Host = d.Text()
		case 5:
			j.Accepted = d.Time()
		case 6:
			j.Ended = d.Bool()
		case 7:
			i, err := decodeItem(d.Record())
			d.Fail(err)
			j.Items = append(j.Items, i)
		case 8:
			j.ResultOrder = append(j.ResultOrder, int(d.Uint())-1)
		}
	}
	return j, d.Err()
}

func encodeItem(e *wire.Encoder, i Item) {
	e.Text(1, i.ID)
	e.Text(2, i.Path)
	for _, k := range sortedKeys(i.Headers) {
		e.Element(3, []byte(k))
		e.Element(4, []byte(i.Headers[k]))
	}
	e.Bytes(5, i.Body)
	e.Uint(6, uint64(i.Tokens))
	e.Uint(7, uint64(i.Failures))
	e.Uint(8, uint64(i.Outcome))
	e.Text(9, i.Output)
}

func decodeItem(d *wire.Decoder) (Item, error) {
	var i Item
	k := ""
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			i.ID = d.Text()
		case 2:
			i.Path = d.Text()
		case 3:
			k = d.Text()
		case 4:
			if i.Headers == nil {
				i.Headers = map[string]string{}
			}
			i.Headers[k] = d.Text()
		case 5:
			i.Body = slices.Clone(d.Bytes())
		case 6:
			i.Tokens = int(d.Uint())
		case 7:
			i.Failures = int(d.Uint())
		case 8:
			i.Outcome = Outcome(d.Uint())
		case 9:
			i.Output = d.Text()
		}
	}
	return i, d.Err()
}

func sortedKeys(m map[string]string) []string {
	l := make([]string, 0, len(m))
	for k := range m {
		l = append(l, k)
	}
	slices.Sort(l)
	return l
}

// Age returns how long ago a job was accepted.
func (j *Job) Age(now time.Time) time.Duration { return now.Sub(j.Accepted) }
