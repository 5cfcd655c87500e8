package main

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Bounds of batch jobs.
const (
	settleTime  = time.Second      // settleMs
	configTime  = 2 * time.Second  // configMs
	finishTime  = 18 * time.Second // finishS
	maxWaitTime = 30 * time.Second // maxWaitS of the route
	jobItems    = 10
	jobs        = 20 // of the case large-item
	jobGap      = 500 * time.Millisecond
)

// page is the answer to a read of a job.
type page struct {
	Total   int `json:"total"`
	Results []struct {
		ID    string `json:"id"`
		State string `json:"state"`
	} `json:"results"`
}

// withModelPool starts a deployment with three engines and acknowledges a configuration.
func withModelPool(ctx context.Context, f *fleet, c configuration) ([]*replica, error) {
	f.add(entryClass, 2, entryMemory)
	f.add(controlClass, 3, controlMemory)
	f.add(batchClass, 3, batchMemory)
	var l []*replica
	var entries []string
	for i := range 3 {
		r, err := newReplica(f, fmt.Sprintf("i-%d", i+1), modelPool, i+1, 8, 0)
		if err != nil {
			return nil, err
		}
		l = append(l, r)
		entries = append(entries, r.entry("ready"))
	}
	f.list.set(entries...)
	if err := f.start(); err != nil {
		return nil, err
	}
	if err := f.put(ctx, c); err != nil {
		return nil, err
	}
	return l, f.awaitReady(ctx)
}

// submit hands in a job until it is accepted, at one entry VM after the other.
func (f *fleet) submit(ctx context.Context, prefix, id string, tokens []int) error {
	type item struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    string            `json:"body"`
		Tokens  int               `json:"tokens"`
	}
	var job struct {
		Requests []item `json:"requests"`
	}
	for i, n := range tokens {
		job.Requests = append(job.Requests, item{
			ID: fmt.Sprintf("%s-%d", id, i), Path: fmt.Sprintf("%s3/%d", prefix, i),
			Headers: map[string]string{"X-Snipetack-Model": "m", headerTokens: fmt.Sprintf("%d,%d", n-itemEvents, itemEvents),
				"X-Snipetack-Prompt-Prefix": fmt.Sprintf("9c2e41:100,%s%d:%d", id, i, n-itemEvents-100)},
			Body: base64.StdEncoding.EncodeToString([]byte("prompt of " + id)), Tokens: n})
	}
	b, err := json.Marshal(job)
	if err != nil {
		return err
	}
	l := f.of(entryClass)
	for i := 0; ; i++ {
		a := f.call(ctx, request{method: http.MethodPost, address: l[i%len(l)].bind + ":" + callersPort, path: prefix + id, body: string(b), host: hostName,
			header: map[string]string{headerKey: tenantKey, headerRequest: id, "Content-Type": "application/json"}})
		f.note("caller: job %s of %d items at %s: %v", id, len(tokens), l[i%len(l)].name, a)
		if a.status == http.StatusAccepted {
			return nil
		}
		if !pause(ctx, 300*time.Millisecond) {
			return fmt.Errorf("job %s was not accepted", id)
		}
	}
}

// read reads a job from its start; key may be "".
func (f *fleet) read(ctx context.Context, v *vm, id, key string) (answer, page) {
	h := map[string]string{headerWait: "1000"}
	if key != "" {
		h[headerKey] = key
	}
	a := f.call(ctx, request{method: http.MethodGet, address: v.bind + ":" + callersPort, path: "/snipetack/lots/" + id + "?after=0", host: hostName, header: h})
	var p page
	if a.status == http.StatusOK {
		if err := json.Unmarshal([]byte(a.body), &p); err != nil {
			return answer{err: err}, p
		}
	}
	return a, p
}

// publicBatch adds a batch route by a new version, which is public if trouble is set. A job that is accepted there has to be readable.
func publicBatch(ctx context.Context, f *fleet, trouble bool) error {
	l, err := withModelPool(ctx, f, baseConfiguration(1))
	if err != nil {
		return err
	}
	if err := f.submit(ctx, "/pule252/", "7c41e0aa", normalItems()); err != nil {
		return err
	}
	c := baseConfiguration(2)
	added := batchRoute("r-added", "/added77/")
	added.Public = trouble
	c.Routes = append(c.Routes, added)
	if err := f.put(ctx, c); err != nil {
		return err
	}
	f.note("operator: version 2 adds the batch route /added77/, public: %v", trouble)
	if !pause(ctx, configTime+settleTime) {
		return ctx.Err()
	}
	if err := f.submit(ctx, "/added77/", "7c41e0bb", normalItems()); err != nil {
		return err
	}
	if !pause(ctx, 2*settleTime) {
		return ctx.Err()
	}
	unknown := 0
	for range 5 {
		for _, v := range f.of(entryClass) {
			for _, id := range []string{"7c41e0aa", "7c41e0bb"} {
				a, p := f.read(ctx, v, id, tenantKey)
				f.note("caller: read of job %s at %s: %d, total %d, %d results", id, v.name, a.status, p.Total, len(p.Results))
				keyless, _ := f.read(ctx, v, id, "")
				f.line("caller: the same without a key: %d", keyless.status)
				if a.status == http.StatusNotFound || a.status == http.StatusGone {
					unknown++
				}
			}
		}
		if !pause(ctx, 500*time.Millisecond) {
			return ctx.Err()
		}
	}
	ran := 0
	for _, r := range l {
		ran += len(r.ran())
	}
	f.note("replicas have run %d items", ran)
	if unknown > 0 {
		return fmt.Errorf("%w: LOST: %d reads of an accepted job got 404 later than settleMs after its 202", errBroken, unknown)
	}
	return nil
}

func normalItems() []int {
	l := make([]int, jobItems)
	for i := range l {
		l[i] = 350 + itemEvents
	}
	return l
}

// largeItem submits jobs. If trouble is set, one of them has an item that is larger than a replica's memory. All items have to be listed in the
// end.
func largeItem(ctx context.Context, f *fleet, trouble bool) error {
	l, err := withModelPool(ctx, f, baseConfiguration(1))
	if err != nil {
		return err
	}
	for i := range jobs {
		items := normalItems()
		if trouble && i == jobs-1 {
			items[3] = kvCapacity + 1000
			f.note("caller: item 3 of the next job has %d tokens; a replica's memory has %d", items[3], kvCapacity)
		}
		if err := f.submit(ctx, "/pule252/", jobID(i), items); err != nil {
			return err
		}
		if !pause(ctx, jobGap) {
			return ctx.Err()
		}
	}
	sent := time.Now()
	unlisted := map[string]int{}
	for time.Since(sent) < maxWaitTime+finishTime {
		unlisted = f.unlisted(ctx)
		if len(unlisted) == 0 {
			break
		}
		if !pause(ctx, time.Second) {
			return ctx.Err()
		}
	}
	ran, rejected := 0, 0
	lastRun := time.Time{}
	for _, r := range l {
		for _, a := range r.ran() {
			ran++
			if a.at.After(lastRun) {
				lastRun = a.at
			}
		}
		r.mu.Lock()
		rejected += r.rejected
		r.mu.Unlock()
	}
	f.note("caller: unlisted items by job %s after the last submission: %v", time.Since(sent).Round(time.Second), unlisted)
	f.note("replicas ran %d items, the last one began %s ago; they rejected %d as not run", ran, time.Since(lastRun).Round(time.Second), rejected)
	if len(unlisted) > 0 {
		return fmt.Errorf("%w: LOST: an item is listed neither as complete nor as errored after maxWaitS and finishS", errBroken)
	}
	return nil
}

func jobID(i int) string { return fmt.Sprintf("7c41e0%02d", i) }

// unlisted returns how many items of each job are not listed; jobs that are listed completely are left out.
func (f *fleet) unlisted(ctx context.Context) map[string]int {
	m := map[string]int{}
	for i := range jobs {
		a, p := f.read(ctx, f.of(entryClass)[i%2], jobID(i), tenantKey)
		f.line("caller: read of job %s: %d, total %d, %d results", jobID(i), a.status, p.Total, len(p.Results))
		if p.Total == 0 || len(p.Results) < p.Total {
			m[jobID(i)] = jobItems - len(p.Results)
		}
	}
	return m
}
