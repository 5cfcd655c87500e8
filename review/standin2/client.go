package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// otherKey belongs to the tenant nuki114, and key to huka270.
const otherKey = "s989anu6wsjnbanfqasn"

// callTime bounds one call of a client.
const callTime = 6 * time.Second

// answer is the answer to a call; the status is 0 when none came.
type answer struct {
	status int
	body   []byte
	err    error
}

// String describes an answer in a line of the record.
func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	return fmt.Sprintf("%d, %d bytes", a.status, len(a.body))
}

// call makes a call on a new connection.
func (x *stage) call(ctx context.Context, method, address, path string, body []byte, header map[string]string) answer {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer t.CloseIdleConnections()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	r.Host = host
	r.Header.Set("X-Api-Key", key)
	for k, v := range header {
		r.Header.Set(k, v)
	}
	if r.Header.Get("X-Api-Key") == "" {
		r.Header.Del("X-Api-Key")
	}
	a, err := t.RoundTrip(r)
	if err != nil {
		return answer{err: err}
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: a.StatusCode, body: b}
}

// item is one request of a batch job.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// newItem returns an item whose answer has as many tokens.
func newItem(id string, body []byte, tokens int) item {
	return item{ID: id, Path: "/pule252/3/" + id, Body: base64.StdEncoding.EncodeToString(body), Tokens: tokens + 100,
		Headers: map[string]string{"X-Snipetack-Model": "m", "X-Snipetack-Token-Count": fmt.Sprintf("100,%d", tokens), "X-Snipetack-Prompt-Prefix": id + ":100"}}
}

// sendJob submits a batch job under a path by one call, with a key or without one.
func (x *stage) sendJob(ctx context.Context, front, prefix, id string, items []item, apiKey string) answer {
	b, err := json.Marshal(map[string]any{"requests": items})
	if err != nil {
		return answer{err: err}
	}
	a := x.call(ctx, "POST", front, prefix+id, b, map[string]string{"X-Snipetack-Request-Id": id, "Content-Type": "application/json", "X-Api-Key": apiKey})
	x.note("job %s of %d bytes: %s", id, len(b), a)
	return a
}

// submit sends a batch job to the fronts in turn until it is accepted, and reports whether it is.
func (x *stage) submit(ctx context.Context, id string, items []item, apiKey string, attempts int) bool {
	fronts := x.fronts()
	for i := range attempts {
		if x.sendJob(ctx, fronts[i%len(fronts)], "/pule252/", id, items, apiKey).status == http.StatusAccepted {
			return true
		}
		time.Sleep(retryTime)
	}
	return false
}

// page is a page of results of a batch job.
type page struct {
	Total   int `json:"total"`
	Results []struct {
		ID     string `json:"id"`
		State  string `json:"state"`
		Output string `json:"output"`
	} `json:"results"`
}

// read reads the results of a batch job from the start, at any front, until a front answers 200 or the time is over.
func (x *stage) read(ctx context.Context, id, apiKey string, limit time.Duration) (page, bool) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var p page
	last := answer{}
	fronts := x.fronts()
	for i := 0; ctx.Err() == nil; i++ {
		last = x.call(ctx, "GET", fronts[i%len(fronts)], "/snipetack/lots/"+id+"?after=0", nil, map[string]string{"X-Api-Key": apiKey})
		if last.status == http.StatusOK {
			if err := json.Unmarshal(last.body, &p); err != nil {
				x.note("job %s: unreadable page: %v", id, err)
				return p, false
			}
			return p, true
		}
		time.Sleep(retryTime)
	}
	x.note("job %s can't be read for %s; last: %s", id, limit, last)
	return p, false
}

// readSlowly sends GETs ahead on a new connection and reads a kilobyte of the answers each second until ctx ends.
func readSlowly(ctx context.Context, address, path string) {
	d := net.Dialer{Timeout: time.Second}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetReadBuffer(4 * kilobytes)
	}
	for range sentAhead {
		if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\n\r\n", path, host, key); err != nil {
			return
		}
	}
	b := make([]byte, kilobytes)
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		if _, err := c.Read(b); err != nil {
			return
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}
