// Command standin runs the cases of the review. Each case starts entry VMs as processes with the command and the settings template of
// deploy/system.toml, and plays the platform's store, the workers and the callers itself.
//
// Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the cases by name. trouble is false if the disruption is left out. The result is whether the rule was broken.
var cases = map[string]func(l *lab, trouble bool) (broken bool, err error){
	"stop":     runStop,
	"evacuate": runEvacuate,
	"freeze":   runFreeze,
	"poison":   runPoison,
	"path":     runPath,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return exitFailed
	}
	l, err := newLab(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitFailed
	}
	defer l.close()
	trouble := os.Getenv("TROUBLE") != "0"
	l.note("case %s, disruption %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](l, trouble)
	switch {
	case err != nil:
		l.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitFailed
	case broken:
		l.note("result: the rule was broken")
		return exitBroken
	}
	l.note("result: the rule held")
	return exitHeld
}
