package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// recorder writes lines with the time since the start; it is safe for concurrent use.
type recorder struct {
	mu    sync.Mutex
	w     io.WriteCloser
	began time.Time
}

func newRecorder(file string) (*recorder, error) {
	w, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	return &recorder{w: w, began: time.Now()}, nil
}

func (r *recorder) printf(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, a...))
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Close()
}
