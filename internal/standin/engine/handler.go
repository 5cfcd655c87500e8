package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"snipetack/internal/protocol/chat"
)

// defaultTokens is the length of a response to a request without max_tokens.
const defaultTokens = 16

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/chat/completions", e.complete)
	m.HandleFunc("DELETE /v1/requests/{id}", e.cancelRequest)
	m.HandleFunc("GET /load", e.load)
	m.HandleFunc("GET /cache_events", e.cacheEvents)
	m.HandleFunc("POST /orders", e.handleOrder)
	return m
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	f := e.currentFaults()
	var q chat.Request
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p := q.Prompt()
	id := r.Header.Get(chat.RequestIDHeader)
	resumed := r.Header.Get(chat.ResumeHeader)
	e.recordArrival(Arrival{Request: id, Prompt: p, Resumed: resumed != "", Header: r.Header.Clone(), At: time.Now()})
	if (f.Refuse || f.Leaving) && !e.knows(id) {
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	if resumed != "" && resumed != "0" && !f.Unnumbered && (f.Forget || !e.knows(id)) {
		http.Error(w, "unknown request", http.StatusNotFound)
		return
	}
	if f.FailItems && strings.Contains(p, "unreadable") {
		http.Error(w, `{"error":{"message":"the prompt can't be read"}}`, http.StatusBadRequest)
		return
	}
	n := q.MaxTokens
	if n <= 0 {
		n = defaultTokens
	}
	s := e.submit(newSequence(id, p, n))
	if f.Silent {
		<-r.Context().Done()
		return
	}
	if q.Stream {
		e.stream(w, r, s, q, f)
		return
	}
	e.respondComplete(w, r, s, q.Model)
}

// respondComplete responds once the sequence is complete; it cancels the sequence when the caller disconnects.
func (e *Engine) respondComplete(w http.ResponseWriter, r *http.Request, s *sequence, model string) {
	for {
		l, done, dropped, c := s.tokensAfter(0)
		if dropped {
			http.Error(w, "cancelled", http.StatusConflict)
			return
		}
		if done {
			writeJSON(w, chat.NewCompletion(s.id, model, strings.Join(l, ""), len(s.prompt), len(l)))
			return
		}
		select {
		case <-c:
		case <-r.Context().Done():
			e.cancel(s.id)
			s.cancel()
			return
		}
	}
}

// stream sends numbered chunks, starting after Last-Event-ID. A sequence with an ID continues when the caller
// disconnects, so that it can be resumed; one without an ID is cancelled.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s *sequence, q chat.Request, f Faults) {
	w.Header().Set("Content-Type", "text/event-stream")
	n, _ := strconv.Atoi(r.Header.Get(chat.ResumeHeader))
	if f.Unnumbered {
		n = 0
	}
	o := &output{w: w, model: q.Model, id: s.id, faults: f}
	for {
		l, done, dropped, c := s.tokensAfter(n)
		for _, t := range l {
			n++
			if !o.chunk(n, t) {
				o.stopSending(r)
				return
			}
		}
		if dropped {
			return
		}
		if done {
			o.finish(n, len(s.prompt), q.Options.IncludeUsage)
			return
		}
		o.flush()
		select {
		case <-c:
		case <-r.Context().Done():
			if s.id == "" {
				s.cancel()
			}
			return
		case <-e.ctx.Done():
			return
		}
	}
}

func (e *Engine) cancelRequest(w http.ResponseWriter, r *http.Request) {
	if !e.cancel(r.PathValue("id")) {
		http.Error(w, "unknown request", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	l := e.Load()
	writeJSON(w, chat.Load{Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, AgeMillis: time.Since(l.At).Milliseconds(), Leaving: e.currentFaults().Leaving})
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	var l []chat.CacheEvent
	for _, v := range e.cache.events {
		if v.Number > after {
			l = append(l, chat.CacheEvent{Number: v.Number, Block: fmt.Sprintf("%016x", v.Block), Stored: v.Stored})
		}
	}
	e.mu.Unlock()
	writeJSON(w, l)
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o chat.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.executeOrder(Order{Fence: o.Fence, Action: o.Action, Target: o.Target}) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
