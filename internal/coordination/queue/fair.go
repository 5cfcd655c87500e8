package queue

import (
	"container/heap"
	"math"
	"slices"
)

// minCost is the cost of an item that is pushed with less or none.
const minCost = 1.0

// Fair is a queue that serves flows in proportion to their weights, by start-time fair queueing.
//
// Each item's start tag is the virtual time at which its service would start if its flow were served at exactly its
// share. The item with the lowest start tag is served next, so a flow that uses less than its share does not wait for
// the backlog of the others.
type Fair[T comparable] struct {
	flows       map[string]*flow[T]
	active      flowHeap[T] // flows with items
	virtualTime float64     // start tag of the item served last
	maxLag      float64     // max work served before the first item of a flow that was idle; zero means no bound
	weight      float64     // sum over the active flows
	cost        float64     // sum over all items
	count       int
	order       uint64
}

// flow is one account's part of a Fair queue.
type flow[T comparable] struct {
	name     string
	weight   float64
	startTag float64 // start tag of the first item; if there is none, earliest start tag of the next one
	cost     float64 // sum over its items
	items    []entry[T]
	order    uint64 // breaks ties by the order in which flows became active
	index    int    // in the heap
}

type entry[T comparable] struct {
	item T
	cost float64
}

// NewFair returns an empty queue.
func NewFair[T comparable]() *Fair[T] {
	return &Fair[T]{flows: map[string]*flow[T]{}}
}

// Push adds an item to a flow and sets the weight of the whole flow.
func (f *Fair[T]) Push(name string, weight, cost float64, item T) {
	w := f.flows[name]
	if w == nil {
		f.dropIdleFlows()
		w = &flow[T]{name: name}
		f.flows[name] = w
	}
	if len(w.items) == 0 {
		w.startTag = f.nextStartTag(w, weight)
		f.order++
		w.order = f.order
		heap.Push(&f.active, w)
	} else {
		f.weight -= w.weight
	}
	w.weight = max(weight, math.SmallestNonzeroFloat32)
	f.weight += w.weight
	e := entry[T]{item: item, cost: max(cost, minCost)}
	w.items = append(w.items, e)
	f.add(w, e.cost, 1)
}

// Pop removes the next item in fair order; it returns false if the queue is empty.
func (f *Fair[T]) Pop() (T, bool) {
	if f.count == 0 {
		var none T
		return none, false
	}
	w := f.active[0]
	e := w.items[0]
	f.virtualTime = w.startTag
	w.startTag += e.cost / w.weight
	f.remove(w, 0)
	return e.item, true
}

// Remove takes an item out of a flow and reports whether it was there.
func (f *Fair[T]) Remove(name string, item T) bool {
	w := f.flows[name]
	if w == nil {
		return false
	}
	i := slices.IndexFunc(w.items, func(e entry[T]) bool { return e.item == item })
	if i < 0 {
		return false
	}
	f.remove(w, i)
	return true
}

// Longest returns the flow with the most items relative to its weight, and the newest item of that flow.
func (f *Fair[T]) Longest() (name string, item T, ok bool) {
	most := 0.0
	var order uint64
	for _, w := range f.active {
		if n := float64(len(w.items)) / w.weight; n > most || n == most && w.order < order {
			most, order = n, w.order
			name, item, ok = w.name, w.items[len(w.items)-1].item, true
		}
	}
	return name, item, ok
}

// Len returns the number of items.
func (f *Fair[T]) Len() int { return f.count }

// FlowLen returns the number of items of a flow.
func (f *Fair[T]) FlowLen(name string) int {
	if w := f.flows[name]; w != nil {
		return len(w.items)
	}
	return 0
}

// WorkAhead estimates how much work is served before an item that a flow pushes now.
func (f *Fair[T]) WorkAhead(name string, weight float64) float64 {
	w := f.flows[name]
	if w == nil {
		return 0
	}
	if len(w.items) == 0 {
		return min(f.cost, (f.nextStartTag(w, weight)-f.virtualTime)*(f.weight+weight))
	}
	return min(f.cost, (w.startTag-f.virtualTime+w.cost/weight)*f.weight)
}

// SetMaxLag bounds the work that is served before the first item of a flow that was idle; zero means no bound.
func (f *Fair[T]) SetMaxLag(work float64) { f.maxLag = work }

// nextStartTag returns the start tag of the next item of an idle flow.
func (f *Fair[T]) nextStartTag(w *flow[T], weight float64) float64 {
	t := max(w.startTag, f.virtualTime)
	if f.maxLag > 0 {
		t = min(t, f.virtualTime+f.maxLag/(f.weight+weight))
	}
	return t
}

func (f *Fair[T]) add(w *flow[T], cost float64, n int) {
	w.cost += cost
	f.cost += cost
	f.count += n
}

func (f *Fair[T]) remove(w *flow[T], i int) {
	f.add(w, -w.items[i].cost, -1)
	if i == 0 {
		w.items[0] = entry[T]{} // releases the item to the garbage collector while the array is in use
		w.items = w.items[1:]
	} else {
		w.items = slices.Delete(w.items, i, i+1)
	}
	if len(w.items) > 0 {
		heap.Fix(&f.active, w.index)
		return
	}
	f.weight -= w.weight
	heap.Remove(&f.active, w.index)
	if f.count == 0 {
		f.cost, f.weight = 0, 0 // clears the rounding errors of the sums
	}
}

// dropIdleFlows removes idle flows once they outnumber the active ones. It keeps those whose start tag is ahead of the
// virtual time, since they have had more than their share; the others would get the same tag as a new flow.
func (f *Fair[T]) dropIdleFlows() {
	if len(f.flows) < 2*len(f.active)+16 {
		return
	}
	for n, w := range f.flows {
		if len(w.items) == 0 && w.startTag <= f.virtualTime {
			delete(f.flows, n)
		}
	}
}

// flowHeap orders flows by start tag.
type flowHeap[T comparable] []*flow[T]

func (h flowHeap[T]) Len() int { return len(h) }
func (h flowHeap[T]) Less(i, j int) bool {
	return h[i].startTag < h[j].startTag || h[i].startTag == h[j].startTag && h[i].order < h[j].order
}

func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push adds a flow for package heap.
func (h *flowHeap[T]) Push(x any) {
	w := x.(*flow[T])
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop removes the last flow for package heap.
func (h *flowHeap[T]) Pop() any {
	l := *h
	w := l[len(l)-1]
	*h = l[:len(l)-1]
	return w
}
