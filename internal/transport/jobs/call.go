package jobs

import (
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/state/docket"
	"snipetack/internal/state/wire"
)

// operation is what a call requests. Its numbers are part of the wire format and never reused.
type operation uint64

const (
	opSubmit operation = 1
	opRead   operation = 2
	opBody   operation = 3
	opEnd    operation = 4
)

// call is a request to a batch VM. Only the leader serves it, unless anyReplica is set.
type call struct {
	operation  operation
	command    []byte // an encoded docket.Command, for opSubmit and opEnd
	job        string
	account    string
	after      int           // for opRead, the position of the first result to return
	wait       time.Duration // for opRead, how long to wait for a result when there is none
	item       string        // id, for opBody
	anyReplica bool          // for opRead, a VM that does not lead may respond with the results that it has

	// accountDropped says that the caller has an account, which the call leaves out because the call with it was rejected.
	accountDropped bool
}

// Status is the outcome of a call. Its numbers are part of the wire format and never reused.
type Status byte

// The outcomes.
const (
	OK          Status = 1
	OverLimit   Status = 2 // the tokens of the account's open items on the route, running ones included, would exceed the limit
	NotFound    Status = 3 // the account has no such job or open item
	Invalid     Status = 4 // the command is malformed or was rejected
	NotLeader   Status = 5 // this VM does not lead; the call had no effect
	Unconfirmed Status = 6 // the call may have had an effect, but no commit was confirmed
	Overloaded  Status = 7 // the upstreams can't do the job before its items may be given up, or there is no room for it; it was not accepted
)

// Result is the result of an item.
type Result struct {
	Item     string // id
	Complete bool   // false when the item ended without a complete response
	Output   string // data of its events, separated by newlines
}

// Page is a range of a job's results, in the order in which they were committed.
type Page struct {
	Total   int // items of the job
	Results []Result
	Next    int // position after the last result, from which to read on
}

// response is a batch VM's response to a call.
type response struct {
	status Status
	leader string // with NotLeader, the leader's address or ""
	page   Page
	body   []byte
	after  time.Duration // with Overloaded and OverLimit, when the job could be accepted; 0 from former builds
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
	e.Bool(8, c.anyReplica)
	e.Bool(9, c.accountDropped)
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
			c.anyReplica = d.Bool()
		case 9:
			c.accountDropped = d.Bool()
		}
	}
	return c, errors.Wrap(d.Err(), "decoding a call on batch jobs")
}

func encodeResponse(a response) []byte {
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
	e.Duration(7, a.after)
	return e.Encoded()
}

func decodeResponse(b []byte) (response, error) {
	var a response
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
		case 7:
			a.after = d.Duration()
		}
	}
	return a, errors.Wrap(d.Err(), "decoding a response on batch jobs")
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

// commandOf returns an encoded command on a job; waiting is the limit of the tokens of the account's open
// items on the route, 0 for none.
func commandOf(j docket.Job, a docket.Action, waiting int) []byte {
	return docket.EncodeCommand(docket.Command{Action: a, Job: j, MaxWaiting: waiting})
}
