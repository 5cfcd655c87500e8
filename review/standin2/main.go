package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// playTime bounds a case, so that it ends before its caller stops it.
const playTime = 108 * time.Second

// scenario is one case: the machines that it needs and what it does once they serve.
type scenario struct {
	fronts int
	memory memory
	start  func(x *stage) // runs while the machines start; may be nil
	play   func(ctx context.Context, x *stage)
}

// memory is how much a process of each class may use, in MiB.
type memory struct{ front, core, store int }

// scenarios returns the cases by name.
func scenarios() map[string]scenario {
	small := memory{front: 284, core: 280, store: 324} // as of the site alpweide-rundnetz
	return map[string]scenario{
		"item-readers": {fronts: 2, memory: small, play: playItemReaders},
		"founding":     {fronts: 2, memory: small, start: (*stage).killFirstLeader, play: playFounding},
		"item-headers": {fronts: 2, memory: small, play: playItemHeaders},
		"quota":        {fronts: 2, memory: small, play: playQuota},
		"versions":     {fronts: 1, memory: small, play: playVersions},
		"job-fields":   {fronts: 2, memory: small, play: playJobFields},
	}
}

func main() {
	if len(os.Args) < 4 {
		fmt.Fprintln(os.Stderr, "usage: review-2 prepare CASE DIR | play CASE DIR RECORD")
		os.Exit(failed)
	}
	s, ok := scenarios()[os.Args[2]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[2])
		os.Exit(failed)
	}
	switch {
	case os.Args[1] == "prepare":
		if err := prepare(os.Args[3], s); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(failed)
		}
	case os.Args[1] == "play" && len(os.Args) == 5:
		os.Exit(run(s, os.Args[3], os.Args[4]))
	default:
		os.Exit(failed)
	}
}

// run plays a scenario and returns its exit code.
func run(s scenario, dir, file string) int {
	r, err := newRecord(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer r.close()
	x, err := newStage(dir, s, r)
	if err != nil {
		r.note("the case could not run: %v", err)
		return failed
	}
	ctx, cancel := context.WithTimeout(context.Background(), playTime)
	defer cancel()
	if s.start != nil && x.trouble {
		go s.start(x)
	}
	if !x.awaitService(ctx) {
		r.note("the case could not run: the fleet does not serve")
		return failed
	}
	s.play(ctx, x)
	return r.verdict()
}
