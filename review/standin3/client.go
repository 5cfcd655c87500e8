package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"
)

// answer is what a client got; status is 0 without an answer.
type answer struct {
	status int
	body   string
	err    error // why the answer is not complete
}

// call makes one call on a new connection.
func call(address, method, target string, header map[string]string, body []byte, limit time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+target, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	for k, v := range header {
		r.Header.Set(k, v)
	}
	if h := header["Host"]; h != "" {
		r.Host = h
		r.Header.Del("Host")
	}
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer t.CloseIdleConnections()
	a, err := t.RoundTrip(r)
	if err != nil {
		return answer{err: err}
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return answer{status: a.StatusCode, body: string(b), err: err}
}
