package questionnaire

import (
	"math"
	"time"

	"github.com/tailscale/hujson"

	"snipetack/internal/command/document"
)

// Kinds of services and workloads.
const (
	kindEngine = "engine"
	kindPlain  = "plain"
	kindOnline = "online"
	kindBatch  = "batch"
)

// Defaults of answers that may be left out.
const (
	defaultProgressTimeout = 5 * time.Second
	defaultDeadline        = time.Minute
	defaultQueueLimit      = 256
	defaultResendWindow    = 10 * time.Minute
)

// Decode reads answers and makes all checks that don't need a fleet's configuration. It returns the first mistake as a
// document.Problem, in which file names the document.
func Decode(file string, b []byte) (Answers, error) {
	v, err := document.New("answers", file, b)
	if err != nil {
		return Answers{}, err
	}
	d := &decoder{Decoder: v, upstreams: map[string]string{}, addresses: map[string]string{}}
	a := Answers{Document: append([]byte(nil), b...), source: v}
	err = d.Root(map[string]document.Field{
		"team":      d.Text(&a.Team),
		"services":  d.services(&a.Services),
		"accounts":  d.accounts(&a.Accounts),
		"routes":    d.routes(&a.Routes),
		"workloads": d.workloads(&a.Workloads),
	}, "team", "accounts")
	if err != nil {
		return Answers{}, err
	}
	return a, a.check()
}

// decoder adds the kinds of fields that only answers have, and finds duplicate upstreams across services.
type decoder struct {
	*document.Decoder
	upstreams map[string]string // path by name
	addresses map[string]string // path by address
}

func (d *decoder) services(to *[]Service) document.Field {
	names := map[string]string{}
	return d.List(func(path string, v hujson.Value) {
		s := Service{ProgressTimeout: defaultProgressTimeout, Deadline: defaultDeadline, QueueLimit: defaultQueueLimit}
		d.Object(path, v, map[string]document.Field{
			"name":                             d.Unique(&s.Name, names),
			"kind":                             d.OneOf(&s.Kind, kindEngine, kindPlain),
			"models":                           d.Texts(&s.Models),
			"longest_silence_seconds":          d.seconds(&s.ProgressTimeout),
			"deadline_seconds":                 d.seconds(&s.Deadline),
			"queue_limit":                      d.integer(&s.QueueLimit, 1),
			"requests_per_second_per_upstream": d.number(&s.UpstreamRate, "must be above zero", positive),
			"at_once_per_upstream":             d.integer(&s.UpstreamSlots, 1),
			"checks_fencing":                   d.Bool(&s.ChecksFencing),
			"memory_bytes_per_upstream":        d.bytes(&s.UpstreamMemory),
			"artifacts":                        d.artifacts(&s.Artifacts),
			"upstreams":                        d.upstreamList(&s.Upstreams),
		}, "name", "kind", "requests_per_second_per_upstream", "at_once_per_upstream", "upstreams")
		*to = append(*to, s)
	})
}

func (d *decoder) upstreamList(to *[]Upstream) document.Field {
	return d.List(func(path string, v hujson.Value) {
		var u Upstream
		d.Object(path, v, map[string]document.Field{
			"name":        d.Unique(&u.Name, d.upstreams),
			"address":     d.Unique(&u.Address, d.addresses),
			"data_centre": d.Text(&u.DataCentre),
			"leaving":     d.Bool(&u.Leaving),
			"role":        d.Text(&u.Role),
		}, "name", "address", "data_centre")
		*to = append(*to, u)
	})
}

func (d *decoder) artifacts(to *[]Artifact) document.Field {
	names := map[string]string{}
	return d.List(func(path string, v hujson.Value) {
		var a Artifact
		d.Object(path, v, map[string]document.Field{
			"name":  d.Unique(&a.Name, names),
			"bytes": d.bytes(&a.Size),
		}, "name", "bytes")
		*to = append(*to, a)
	})
}

func (d *decoder) bytes(to *int64) document.Field {
	return func(path string, v hujson.Value) {
		var n int
		d.integer(&n, 1)(path, v)
		*to = int64(n)
	}
}

func (d *decoder) accounts(to *[]Account) document.Field {
	names := map[string]string{}
	return d.List(func(path string, v hujson.Value) {
		a := Account{Keys: 1, Weight: 1, ResendWindow: defaultResendWindow}
		d.Object(path, v, map[string]document.Field{
			"name":                   d.Unique(&a.Name, names),
			"keys":                   d.integer(&a.Keys, 0),
			"rate_per_second":        d.number(&a.Rate, "must not be negative", notNegative),
			"burst":                  d.integer(&a.Burst, 1),
			"batch_items_per_second": d.number(&a.BatchRate, "must not be negative", notNegative),
			"batch_burst":            d.integer(&a.BatchBurst, 0),
			"weight":                 d.number(&a.Weight, "must be above zero", positive),
			"resend_window_seconds":  d.integerSeconds(&a.ResendWindow),
		}, "name", "rate_per_second", "burst")
		*to = append(*to, a)
	})
}

func (d *decoder) routes(to *[]Route) document.Field {
	names := map[string]string{}
	paths := map[string]string{}
	return d.List(func(path string, v hujson.Value) {
		var r Route
		d.Object(path, v, map[string]document.Field{
			"name":       d.Unique(&r.Name, names),
			"path":       d.Unique(&r.Path, paths),
			"service":    d.Text(&r.Service),
			"open":       d.Bool(&r.Open),
			"may_repeat": d.Bool(&r.MayRepeat),
			"accounts":   d.Texts(&r.Accounts),
		}, "name", "path")
		*to = append(*to, r)
	})
}

func (d *decoder) workloads(to *[]Workload) document.Field {
	names := map[string]string{}
	return d.List(func(path string, v hujson.Value) {
		var w Workload
		d.Object(path, v, map[string]document.Field{
			"name":                d.Unique(&w.Name, names),
			"account":             d.Text(&w.Account),
			"route":               d.Text(&w.Route),
			"model":               d.Text(&w.Model),
			"kind":                d.OneOf(&w.Kind, kindOnline, kindBatch),
			"requests_per_second": d.number(&w.Rate, "must not be negative", notNegative),
			"items":               d.integer(&w.Items, 1),
			"due_seconds":         d.seconds(&w.Due),
		}, "name", "account", "kind")
		*to = append(*to, w)
	})
}

func (d *decoder) number(to *float64, rule string, ok func(float64) bool) document.Field {
	return func(path string, v hujson.Value) {
		d.Number(to)(path, v)
		if !ok(*to) {
			d.Fail(path, "%g %s", *to, rule)
		}
	}
}

func (d *decoder) integer(to *int, minimum int) document.Field {
	return func(path string, v hujson.Value) {
		d.Integer(to)(path, v)
		if *to < minimum {
			d.Fail(path, "%d is below %d", *to, minimum)
		}
	}
}

// seconds reads a positive duration in seconds and rounds it to milliseconds.
func (d *decoder) seconds(to *time.Duration) document.Field {
	return func(path string, v hujson.Value) {
		var n float64
		d.number(&n, "must be above zero", positive)(path, v)
		*to = time.Duration(math.Round(n*1000)) * time.Millisecond
	}
}

func (d *decoder) integerSeconds(to *time.Duration) document.Field {
	return func(path string, v hujson.Value) {
		var n int
		d.integer(&n, 0)(path, v)
		*to = time.Duration(n) * time.Second
	}
}

func positive(n float64) bool    { return n > 0 }
func notNegative(n float64) bool { return n >= 0 }
