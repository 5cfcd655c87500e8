// Command standin plays the cases of the review: it starts a small deployment of snipetack as processes, stands in for the
// platform, the operator, the callers and the replicas, and checks one rule by what these see.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// runLimit bounds a whole run.
const runLimit = 115 * time.Second

// errBroken is the error of a case whose rule was broken.
var errBroken = errors.New("the rule was broken")

// play runs a case; trouble says whether with its disruption.
type play func(ctx context.Context, f *fleet, trouble bool) error

func main() {
	name := flag.String("case", "", "name of the case")
	binary := flag.String("binary", "target/snipetack", "program of the deploy file")
	file := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*name, *binary, *file, os.Getenv("TROUBLE") != "0"))
}

func run(name, binary, file string, trouble bool) int {
	plays := map[string]play{
		"many-changes": manyChanges,
		"public-batch": publicBatch,
		"quota-cut":    quotaCut,
		"cut-entry":    cutEntry,
		"old-writer":   oldWriter,
		"large-item":   largeItem,
		"upgrade":      upgrade,
	}
	p, ok := plays[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", name)
		return exitFailed
	}
	r, err := newRecord(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	ctx, cancel := context.WithTimeout(context.Background(), runLimit)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	f, err := newFleet(binary, r)
	if err != nil {
		r.note("the case could not run: %v", err)
		return exitFailed
	}
	defer f.close()
	r.note("case %s, trouble %v", name, trouble)
	err = p(ctx, f, trouble)
	switch {
	case errors.Is(err, errBroken):
		r.note("BROKEN: %v", err)
		return exitBroken
	case err != nil:
		r.note("the case could not run: %v", err)
		return exitFailed
	}
	r.note("HELD")
	return exitHeld
}
