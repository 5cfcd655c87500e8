package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what is sent, answered and run to a file and to standard output.
type record struct {
	began time.Time
	file  *os.File

	mu       sync.Mutex
	breaks   int
	unplayed bool
}

func newRecord(file string) (*record, error) {
	f, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f}, nil
}

// note writes one line.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := fmt.Sprintf("%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(l)
	fmt.Print(l)
}

// broke notes that the rule was broken.
func (r *record) broke(format string, args ...any) {
	r.note("BROKEN: "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaks++
}

// cannot notes that the case could not be played.
func (r *record) cannot(format string, args ...any) {
	r.note("NOT PLAYED: "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unplayed = true
}

// verdict returns the exit code.
func (r *record) verdict() int {
	r.mu.Lock()
	n, unplayed := r.breaks, r.unplayed
	r.mu.Unlock()
	switch {
	case n > 0:
		r.note("the rule was broken")
		return broken
	case unplayed:
		return failed
	}
	r.note("the rule held")
	return held
}

func (r *record) close() { _ = r.file.Close() }
