package batch

import (
	"sync"
	"time"

	"snipetack/internal/state/ledger"
)

// openJobs is a VM's view of the open jobs, which may lag; it is safe for concurrent use.
type openJobs struct {
	s           Settings
	mu          sync.Mutex
	jobs        []ledger.Job
	throughputs map[string]*throughput // by service
}

// throughput estimates the batch tokens per second of a service.
type throughput struct {
	rate   float64   // smoothed; zero until there are samples
	tokens float64   // completed since at
	at     time.Time // of the last sample
}

func newOpenJobs(s Settings) *openJobs {
	return &openJobs{s: s, throughputs: map[string]*throughput{}}
}

// update replaces the open jobs with those of a newer read.
func (b *openJobs) update(jobs []ledger.Job, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.updateThroughput(jobs, now)
	b.jobs = jobs
}

// pick chooses up to n items for an upstream of a service to claim.
func (b *openJobs) pick(service string, n int, now time.Time) []ledger.Claim {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := Demand{Items: n}
	for _, j := range b.jobs {
		if j.Service == service {
			d.Jobs = append(d.Jobs, j)
		}
	}
	if v := b.throughputs[service]; v != nil {
		d.Capacity = v.rate
	}
	return Pick(b.s, d, now)
}

// addLeased counts items leased since the last update, so that the next pick knows of them.
func (b *openJobs) addLeased(job string, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.jobs {
		if b.jobs[i].ID == job {
			b.jobs[i].Leased += n
		}
	}
}

// job returns an open job.
func (b *openJobs) job(id string) (ledger.Job, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, j := range b.jobs {
		if j.ID == id {
			return j, true
		}
	}
	return ledger.Job{}, false
}

// updateThroughput smooths the progress, per service, of the jobs that are open in both updates; an item counts as
// the mean tokens of its job's items.
func (b *openJobs) updateThroughput(jobs []ledger.Job, now time.Time) {
	before := map[string]ledger.Job{}
	for _, j := range b.jobs {
		before[j.ID] = j
	}
	done := map[string]float64{}
	for _, j := range jobs {
		o, ok := before[j.ID]
		if ok && j.Items > 0 {
			done[j.Service] += float64(j.Done-o.Done) * float64(j.Tokens) / float64(j.Items)
		}
	}
	const window = 10 * time.Second // time constant; samples are at least a fifth of it apart
	for s, n := range done {
		v := b.throughputs[s]
		if v == nil {
			v = &throughput{at: now}
			b.throughputs[s] = v
			continue
		}
		d := now.Sub(v.at)
		v.tokens += n
		if d < window/5 {
			continue
		}
		r := v.tokens / d.Seconds()
		if v.rate == 0 {
			v.rate = r
		}
		v.rate += (r - v.rate) * min(1, float64(d)/float64(window))
		v.tokens, v.at = 0, now
	}
}
