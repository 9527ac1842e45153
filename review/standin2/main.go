// Command standin2 plays the scripted cases of the second review. It is the store, the workers and the requesters of a small
// deployment, and starts the project's own program for the VMs.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2 // the case could not run
)

var cases = map[string]func(folder string, trouble bool) (int, error){
	"restart":       playRestart,
	"pause":         playPause,
	"documents":     playDocuments,
	"groups":        playGroups,
	"many-sessions": playManySessions,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(failed)
	}
	code, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin2:", err)
		code = failed
	}
	os.Exit(code)
}
