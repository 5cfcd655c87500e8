package intent

import (
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/state/wire"
)

// Action is what a command does.
type Action uint64

// The actions of a command.
const (
	Begin   Action = 1 // claims the request for a run
	Finish  Action = 2 // stores the response of a run, which has ended
	Abandon Action = 3 // releases the request after a run of which no byte reached an upstream
)

// State is the state of a request, as seen by the run that a command names.
type State uint64

// The states of a run.
const (
	Started State = 1 // the command's run holds the request and may be dispatched
	Running State = 2 // another run holds the request and may still be in flight
	Done    State = 3 // the run has finished; the Outcome has its response if that is still stored
	Lost    State = 4 // the run's time limit passed without a Finish; of a Finish: its run doesn't hold the request
	Clash   State = 5 // the key was used before with other content
	Free    State = 6 // the run was abandoned; another run may begin
)

// Command changes the state of one request.
type Command struct {
	Action   Action
	Account  string
	Key      string        // the caller's idempotency key
	Digest   []byte        // SHA-256 of the content
	Run      string        // id of the attempt; a retried command carries the same one
	At       time.Time     // proposer's clock; decides only between Running and Lost
	Limit    time.Duration // max duration of the run
	Response Response      // for Finish
}

// Response is the upstream's response to a run.
type Response struct {
	Status      int // HTTP status; 0 if it is unknown or no longer stored
	ContentType string
	Body        []byte
	Kept        bool // the response is stored; false when it was too large or has been dropped
}

// Outcome is the result of a command.
type Outcome struct {
	State    State
	Response Response
}

// EncodeCommand returns the wire form of a command.
func EncodeCommand(c Command) []byte {
	e := wire.NewEncoder()
	e.Uint(1, uint64(c.Action))
	e.Text(2, c.Account)
	e.Text(3, c.Key)
	e.Bytes(4, c.Digest)
	e.Text(5, c.Run)
	e.Time(6, c.At)
	e.Duration(7, c.Limit)
	e.Record(8, func(e *wire.Encoder) { encodeResponse(e, c.Response) })
	return e.Encoded()
}

// DecodeCommand reads the wire form of a command.
func DecodeCommand(b []byte) (Command, error) {
	var c Command
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			c.Action = Action(d.Uint())
		case 2:
			c.Account = d.Text()
		case 3:
			c.Key = d.Text()
		case 4:
			c.Digest = append([]byte(nil), d.Bytes()...)
		case 5:
			c.Run = d.Text()
		case 6:
			c.At = d.Time()
		case 7:
			c.Limit = d.Duration()
		case 8:
			c.Response = decodeResponse(d)
		}
	}
	return c, errors.Wrap(d.Err(), "decoding an intent command")
}

// EncodeOutcome returns the wire form of an outcome.
func EncodeOutcome(o Outcome) []byte {
	e := wire.NewEncoder()
	e.Uint(1, uint64(o.State))
	e.Record(2, func(e *wire.Encoder) { encodeResponse(e, o.Response) })
	return e.Encoded()
}

// DecodeOutcome reads the wire form of an outcome. One without a state is an error: that is the result of a command
// that the Machine can't execute.
func DecodeOutcome(b []byte) (Outcome, error) {
	var o Outcome
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			o.State = State(d.Uint())
		case 2:
			o.Response = decodeResponse(d)
		}
	}
	if d.Err() == nil && o.State == 0 {
		return o, errors.New("the outcome of an intent has no state")
	}
	return o, errors.Wrap(d.Err(), "decoding the outcome of an intent")
}

func encodeResponse(e *wire.Encoder, a Response) {
	e.Uint(1, uint64(a.Status))
	e.Text(2, a.ContentType)
	e.Bytes(3, a.Body)
	e.Bool(4, a.Kept)
}

func decodeResponse(p *wire.Decoder) Response {
	var a Response
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			a.Status = int(d.Uint())
		case 2:
			a.ContentType = d.Text()
		case 3:
			a.Body = append([]byte(nil), d.Bytes()...)
		case 4:
			a.Kept = d.Bool()
		}
	}
	p.Fail(d.Err())
	return a
}
