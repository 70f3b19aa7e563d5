//go:build review2

// Command rig-2 plays the cases 6 to 10 of the review on processes of the project. It is built by review/build-2.sh and started by
// the run.sh of a case, in the root of the repository.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by the name of their folder. Each returns the number of times that the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (int, error){
	"6": silentReaders,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(name, recordPath string) int {
	r, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	f, err := newFleet(r)
	if err != nil {
		r.add("the case could not run: %v", err)
		return exitNotRun
	}
	defer f.close()
	broken, err := cases[name](f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.add("the case could not run: %v", err)
		return exitNotRun
	case broken > 0:
		r.add("BROKEN: %d times", broken)
		return exitBroken
	}
	r.add("HELD")
	return exitHeld
}
