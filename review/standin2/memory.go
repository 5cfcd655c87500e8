package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Doses of the cases on memory.
const (
	itemReaders    = 130 // at each front
	sentAhead      = 4   // requests of a reader
	itemBody       = 2900 << 10
	itemTokens     = 24_000 // so that the item runs through all rounds
	readerRounds   = 6
	readersTime    = 9 * time.Second // of a round
	roundPause     = 3 * time.Second
	fieldsOfAnItem = 45_000
	fewFields      = 10
	fieldsPause    = 50 * time.Millisecond
	ordinaryItems  = 10
	ordinaryTokens = 1548 // as many events as the site's items have
	sendTime       = 80 * time.Second
	quietTime      = 8 * time.Second
	readTime       = 10 * time.Second
)

// Bounds of the rule on processes that end by themselves: so many times on a tenth of the machines, and on two at least.
const (
	faultEnds     = 3
	faultMachines = 2
)

// checkEnds checks the rule on processes that end by themselves, which includes those over their memory.
func (x *stage) checkEnds() {
	x.notePeaks()
	x.mu.Lock()
	n, ends := 0, ""
	for _, m := range x.Machines {
		if k := x.kills[m.Name]; k > 0 {
			ends += fmt.Sprintf(" %s %d", m.Name, k)
			if k >= faultEnds {
				n++
			}
		}
	}
	x.mu.Unlock()
	x.note("killed for memory over the limit, times:%s", ends)
	if n >= faultMachines && 10*n >= len(x.Machines) {
		x.broke("on %d of %d machines the process used more than its memory %d times or more", n, len(x.Machines), faultEnds)
	}
}

// playItemReaders lets clients at each front read the body of one open item slowly, after they have sent a few requests ahead.
func playItemReaders(ctx context.Context, x *stage) {
	const job, open = "7c41e09b52d6a3f8", "e5b2907c14da6f38"
	if !x.submit(ctx, job, []item{newItem(open, make([]byte, itemBody), itemTokens)}, key, 5) {
		x.cannot("the job was not accepted")
		return
	}
	path := "/snipetack/items/" + job + "?id=" + open
	if a := x.call(ctx, "GET", x.fronts()[0], path, nil, nil); a.status != http.StatusOK || len(a.body) != itemBody {
		x.cannot("the item's body: %s", a)
		return
	}
	for range readerRounds {
		if x.trouble {
			x.crowd(ctx, path)
			x.note("%d clients at each front have read the item's body slowly for %s", itemReaders, readersTime)
		} else {
			x.note("%d reads of the item's body, one after another", x.readInTurn(ctx, path))
		}
		time.Sleep(roundPause)
	}
	x.checkEnds()
}

// crowd is one round of slow readers at all fronts.
func (x *stage) crowd(ctx context.Context, path string) {
	ctx, cancel := context.WithTimeout(ctx, readersTime)
	defer cancel()
	var g sync.WaitGroup
	for range itemReaders {
		for _, f := range x.fronts() {
			g.Go(func() { readSlowly(ctx, f, path) })
		}
		time.Sleep(sampleTime)
	}
	g.Wait()
}

// readInTurn makes as many requests as a round of slow readers at one front, and returns how many of them got the whole body.
func (x *stage) readInTurn(ctx context.Context, path string) int {
	n := 0
	for i := range itemReaders {
		if a := x.call(ctx, "GET", x.fronts()[i%len(x.fronts())], path, nil, nil); a.status == http.StatusOK && len(a.body) == itemBody {
			n++
		}
	}
	return n
}

// playJobFields lets a tenant's client submit jobs of legal size with very many short fields, beside an ordinary job of another tenant.
func playJobFields(ctx context.Context, x *stage) {
	const job = "19aa03b7c2d44e05"
	var l []item
	for i := range ordinaryItems {
		l = append(l, newItem(fmt.Sprintf("0b4c7d0000%06x", i), []byte("statement"), ordinaryTokens))
	}
	if !x.submit(ctx, job, l, otherKey, 5) {
		x.cannot("the ordinary job was not accepted")
		return
	}
	x.submitFields(ctx)
	n := x.ends()
	x.note("no more jobs are sent")
	time.Sleep(quietTime)
	x.note("%d kills while jobs were sent, %d later", n, x.ends()-n)
	p, ok := x.read(ctx, job, otherKey, readTime)
	x.note("the ordinary job can be read: %t, %d results of %d", ok, len(p.Results), len(l))
	x.checkEnds()
}

// submitFields submits jobs whose one item has very many headers, one after another; smaller ones once a process has used up its memory.
func (x *stage) submitFields(ctx context.Context) {
	for i := uint64(0); ctx.Err() == nil && time.Since(x.began) < sendTime; i++ {
		fields := fieldsOfAnItem
		switch {
		case !x.trouble:
			fields = fewFields
		case x.ends() > 0:
			fields = fieldsOfAnItem / 3
		}
		n := newItem(fmt.Sprintf("%016x", 0xe5b2907c00000000+i), []byte("x"), 60)
		for k := range fields {
			n.Headers[fmt.Sprintf("%x", k)] = ""
		}
		x.submit(ctx, fmt.Sprintf("%016x", 0x7c41e09b00000000+i), []item{n}, key, 2)
		time.Sleep(fieldsPause)
	}
}

// ends returns how often the platform killed processes for their memory.
func (x *stage) ends() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := 0
	for _, k := range x.kills {
		n += k
	}
	return n
}
