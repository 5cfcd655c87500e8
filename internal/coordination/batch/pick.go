package batch

import (
	"sort"
	"time"

	"snipetack/internal/state/ledger"
)

// Demand is the input of Pick.
type Demand struct {
	Jobs     []ledger.Job // open jobs of one service
	Items    int          // to claim
	Capacity float64      // batch tokens per second of the service over all upstreams; zero if unknown
}

// candidate is an open job with the items chosen from it so far.
type candidate struct {
	job        ledger.Job
	pending    int     // items neither ended, leased nor chosen
	itemTokens float64 // mean of the job's items, at least 1
	atRisk     bool
	claimed    int
}

// Pick chooses how many items of which jobs to claim next. Up to AtRiskShare of them go to jobs at risk of missing
// their due time, earliest due first. The rest go, one by one, to the account with the fewest leased tokens relative
// to its weight, and within an account by priority, then due time.
func Pick(s Settings, d Demand, now time.Time) []ledger.Claim {
	l := candidatesOf(d.Jobs)
	markAtRisk(s, l, d.Capacity, now)
	used := usage(l)
	n := claimAtRisk(l, used, int(float64(d.Items)*s.AtRiskShare+0.5))
	for n < d.Items {
		w := fairest(l, used)
		if w == nil {
			break
		}
		w.claimOne(used)
		n++
	}
	var c []ledger.Claim
	for _, w := range l {
		if w.claimed > 0 {
			c = append(c, ledger.Claim{Job: w.job.ID, Items: w.claimed})
		}
	}
	return c
}

// AnyAtRisk reports whether any job is at risk of missing its due time.
func AnyAtRisk(s Settings, d Demand, now time.Time) bool {
	l := candidatesOf(d.Jobs)
	markAtRisk(s, l, d.Capacity, now)
	for _, w := range l {
		if w.atRisk {
			return true
		}
	}
	return false
}

// candidatesOf returns the open jobs with items, ordered by due time, then age.
func candidatesOf(jobs []ledger.Job) []*candidate {
	var l []*candidate
	for _, j := range jobs {
		if !j.Open() || j.Items == 0 {
			continue
		}
		l = append(l, &candidate{job: j, pending: j.Pending(), itemTokens: max(1, float64(j.Tokens)/float64(j.Items))})
	}
	sort.SliceStable(l, func(i, k int) bool {
		a, b := l[i].job, l[k].job
		if !a.Due.Equal(b.Due) {
			return a.Due.Before(b.Due)
		}
		if !a.CreatedAt.Equal(b.CreatedAt) {
			return a.CreatedAt.Before(b.CreatedAt)
		}
		return a.ID < b.ID
	})
	return l
}

// markAtRisk finds the last job whose work, together with all work due before it, takes more than DueMargin of the
// time left until it is due, and marks it and all jobs due before it. Without a known capacity it marks none.
func markAtRisk(s Settings, l []*candidate, capacity float64, now time.Time) {
	if capacity <= 0 {
		return
	}
	work, last := 0.0, -1
	for i, w := range l {
		work += w.itemTokens * float64(w.pending+w.job.Leased)
		if work/capacity > s.DueMargin*w.job.Due.Sub(now).Seconds() {
			last = i
		}
	}
	for i := range l[:last+1] {
		l[i].atRisk = true
	}
}

// claimAtRisk chooses up to n items of jobs at risk, earliest due first, and returns how many.
func claimAtRisk(l []*candidate, used map[string]float64, n int) int {
	taken := 0
	for _, w := range l {
		for w.atRisk && w.pending > 0 && taken < n {
			w.claimOne(used)
			taken++
		}
	}
	return taken
}

// usage returns the leased tokens of each account divided by its weight.
func usage(l []*candidate) map[string]float64 {
	used := map[string]float64{}
	for _, w := range l {
		used[w.job.Account] += w.itemTokens * float64(w.job.Leased) / weight(w.job)
	}
	return used
}

// fairest returns the job to choose an item of next, or nil when none has items left.
func fairest(l []*candidate, used map[string]float64) *candidate {
	var best *candidate
	for _, w := range l {
		if w.pending == 0 {
			continue
		}
		if best == nil || servedBefore(w, best, used) {
			best = w
		}
	}
	return best
}

func servedBefore(a, b *candidate, used map[string]float64) bool {
	if a.job.Account != b.job.Account {
		return used[a.job.Account] < used[b.job.Account]
	}
	return a.job.Priority > b.job.Priority
}

func (w *candidate) claimOne(used map[string]float64) {
	w.pending--
	w.claimed++
	used[w.job.Account] += w.itemTokens / weight(w.job)
}

func weight(j ledger.Job) float64 {
	if j.Weight <= 0 {
		return 1
	}
	return j.Weight
}
