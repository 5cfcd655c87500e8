package main

import (
	"flag"
	"fmt"
	"os"
	"sort"
	"strings"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play runs a case against a fleet and reports whether the rule held.
type play func(f *fleet, trouble bool) (held bool, err error)

func cases() map[string]play {
	return map[string]play{
		"founding":   playFounding,
		"framing":    playFraming,
		"registered": playRegistered,
		"takeup":     playTakeup,
		"wave":       playWave,
	}
}

func main() {
	name := flag.String("case", "", "case to play")
	dir := flag.String("dir", "", "folder for the settings and data of the processes")
	record := flag.String("record", "", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*name, *dir, *record))
}

// run plays a case and returns its exit code.
func run(name, dir, record string) int {
	p, ok := cases()[name]
	if !ok {
		var l []string
		for n := range cases() {
			l = append(l, n)
		}
		sort.Strings(l)
		fmt.Fprintln(os.Stderr, "unknown case; there are:", strings.Join(l, ", "))
		return exitNotRun
	}
	f, err := newFleet(dir, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.close()
	held, err := p(f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		f.log.printf("the case could not run: %v", err)
		return exitNotRun
	case held:
		f.log.printf("the rule held")
		return exitHeld
	}
	f.log.printf("the rule was broken")
	return exitBroken
}
