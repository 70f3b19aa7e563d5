//go:build review

// Command rig plays the cases of the review: it starts node processes beside stand-ins of the platform, of endpoints and of
// clients, on loopback addresses, and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play plays a case. It returns whether the rule held, or an error if the case could not run.
type play func(f *fleet, trouble bool) (held bool, err error)

var cases = map[string]play{}

// playLimit ends a case that takes too long.
const playLimit = 110 * time.Second

func init() {
	// The threads that start nodes must live as long as the process, see startNode.
	runtime.LockOSThread()
}

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	program := flag.String("program", "target/agatepulley", "program of a node")
	flag.Parse()
	time.AfterFunc(playLimit, func() {
		fmt.Fprintln(os.Stderr, "the case takes too long")
		os.Exit(exitNotRun)
	})
	os.Exit(playCase(*name, *record, *program, os.Getenv("TROUBLE") != "0"))
}

func playCase(name, record, program string, trouble bool) int {
	p := cases[name]
	if p == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	f, err := newFleet(program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.close()
	f.note("case %s, with the disruption: %v", name, trouble)
	held, err := p(f, trouble)
	switch {
	case err != nil:
		f.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case !held:
		f.note("the rule was broken")
		fmt.Println("broken")
		return exitBroken
	}
	f.note("the rule held")
	fmt.Println("held")
	return exitHeld
}
