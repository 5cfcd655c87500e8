package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file; notes also go to standard output.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
	w    *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

// line adds a line with the time since the start in seconds.
func (r *record) line(format string, args ...any) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := fmt.Sprintf("%8.3f %s", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	fmt.Fprintln(r.w, l)
	return l
}

// note adds a line and prints it.
func (r *record) note(format string, args ...any) {
	fmt.Fprintln(os.Stdout, r.line(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.w.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	_ = r.file.Close()
}
