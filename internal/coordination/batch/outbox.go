package batch

import (
	"math/rand/v2"
	"time"

	"snipetack/internal/state/ledger"
)

// outbox collects the outcomes of runs until the next report.
type outbox struct {
	s        Settings
	random   *rand.Rand
	lines    map[resultFile][]line
	order    []resultFile
	retries  []ledger.Retry
	released []ledger.Ref
	broken   []ledger.Ref
}

// resultFile identifies the results file of a job, or its errors file.
type resultFile struct {
	job    string
	failed bool
}

type line struct {
	item int
	text []byte
}

func newOutbox(s Settings, r *rand.Rand) *outbox {
	return &outbox{s: s, random: r, lines: map[resultFile][]line{}}
}

// add records how a run ended. A preempted item stays leased and adds nothing.
func (o *outbox) add(t Task, e Ending, now time.Time) {
	switch e.End {
	case Finished:
		o.result(t.Ref, false, e.Line)
	case Failed:
		if t.Attempts+1 >= o.s.MaxAttempts {
			o.result(t.Ref, true, e.Line)
			return
		}
		at := now.Add(Backoff(o.s, t.Attempts+1, o.random))
		o.retries = append(o.retries, ledger.Retry{Ref: t.Ref, NotBefore: at})
	case Refused, Throttled:
		o.released = append(o.released, t.Ref)
	case Broken:
		// It broke an upstream again while it ran alone, so the item is the cause.
		if t.Suspicion > o.s.MaxBreaks && t.Job.Repeatable {
			o.result(t.Ref, true, e.Line)
			return
		}
		o.broken = append(o.broken, t.Ref)
	case Uncertain:
		o.broken = append(o.broken, t.Ref)
	}
}

func (o *outbox) result(r ledger.Ref, failed bool, text []byte) {
	k := resultFile{job: r.Job, failed: failed}
	if o.lines[k] == nil {
		o.order = append(o.order, k)
	}
	o.lines[k] = append(o.lines[k], line{item: r.Item, text: append(text, '\n')})
}

func (o *outbox) empty() bool {
	return len(o.order)+len(o.retries)+len(o.released)+len(o.broken) == 0
}

// report moves everything collected into a report; after an error it stays for the next one.
func (o *outbox) report() (*ledger.Report, error) {
	r := &ledger.Report{Retries: o.retries, Released: o.released, Broken: o.broken}
	for _, k := range o.order {
		b := ledger.Bundle{Job: k.job, Failed: k.failed}
		var text []byte
		for _, l := range o.lines[k] {
			b.Items = append(b.Items, l.item)
			b.Lengths = append(b.Lengths, len(l.text))
			text = append(text, l.text...)
		}
		d, err := ledger.Compress(text)
		if err != nil {
			return nil, err
		}
		b.Data = d
		r.Bundles = append(r.Bundles, b)
	}
	*o = *newOutbox(o.s, o.random)
	return r, nil
}
