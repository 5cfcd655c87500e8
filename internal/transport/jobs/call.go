package jobs

import (
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/state/docket"
	"snipetack/internal/state/wire"
)

// operation is what a call asks for; numbers are never reused.
type operation uint64

const (
	submit operation = 1
	read   operation = 2
	body   operation = 3
	end    operation = 4
)

// call is a request to a batch VM, the one that leads unless copied is set.
type call struct {
	operation operation
	command   []byte // a docket.Command, for submit and end
	job       string
	account   string
	after     int
	wait      time.Duration
	item      string
	copied    bool // results of a VM that does not lead will do, for read
}

// Status is the outcome of a call; numbers are never reused.
type Status byte

// The outcomes.
const (
	OK      Status = 1
	NoRoom  Status = 2
	Unknown Status = 3 // there is no such job or item
	Invalid Status = 4
	Moved   Status = 5 // another VM leads; the call did nothing
	Unclear Status = 6 // the change may or may not be kept
)

// Result is an item's end.
type Result struct {
	Item     string
	Complete bool
	Output   string
}

// Page is a part of a job's results.
type Page struct {
	Total   int // items of the job
	Results []Result
	Next    int // position after the last result
}

// answer is what a batch VM says.
type answer struct {
	status Status
	leader string // address, with Moved
	page   Page
	body   []byte
}

func encodeCall(c call) []byte {
	e := wire.NewEncoder()
	e.Uint(1, uint64(c.operation))
	e.Bytes(2, c.command)
	e.Text(3, c.job)
	e.Text(4, c.account)
	e.Uint(5, uint64(max(0, c.after)))
	e.Duration(6, c.wait)
	e.Text(7, c.item)
	e.Bool(8, c.copied)
	return e.Encoded()
}

func decodeCall(b []byte) (call, error) {
	var c call
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			c.operation = operation(d.Uint())
		case 2:
			c.command = d.Bytes()
		case 3:
			c.job = d.Text()
		case 4:
			c.account = d.Text()
		case 5:
			c.after = int(d.Uint())
		case 6:
			c.wait = d.Duration()
		case 7:
			c.item = d.Text()
		case 8:
			c.copied = d.Bool()
		}
	}
	return c, errors.Wrap(d.Err(), "decoding a call on batch jobs")
}

func encodeAnswer(a answer) []byte {
	e := wire.NewEncoder()
	e.Uint(1, uint64(a.status))
	e.Text(2, a.leader)
	e.Uint(3, uint64(a.page.Total))
	e.Uint(4, uint64(a.page.Next))
	for _, r := range a.page.Results {
		e.Record(5, func(e *wire.Encoder) {
			e.Text(1, r.Item)
			e.Bool(2, r.Complete)
			e.Text(3, r.Output)
		})
	}
	e.Bytes(6, a.body)
	return e.Encoded()
}

func decodeAnswer(b []byte) (answer, error) {
	var a answer
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			a.status = Status(d.Uint())
		case 2:
			a.leader = d.Text()
		case 3:
			a.page.Total = int(d.Uint())
		case 4:
			a.page.Next = int(d.Uint())
		case 5:
			a.page.Results = append(a.page.Results, decodeResult(d))
		case 6:
			a.body = d.Bytes()
		}
	}
	return a, errors.Wrap(d.Err(), "decoding an answer on batch jobs")
}

func decodeResult(p *wire.Decoder) Result {
	var r Result
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			r.Item = d.Text()
		case 2:
			r.Complete = d.Bool()
		case 3:
			r.Output = d.Text()
		}
	}
	p.Fail(d.Err())
	return r
}

func commandOf(j docket.Job, a docket.Action, waiting int) []byte {
	return docket.EncodeCommand(docket.Command{Action: a, Job: j, MaxWaiting: waiting})
}
