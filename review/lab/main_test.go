// Package lab_test runs the scripts of the review: the project's relay as separate processes, between stand-ins of the
// platform's store, of endpoints and of callers. It is built as a test binary, whose arguments name the script and its folder. Each
// script exits with 1 if a rule was broken, 0 if it held, and 2 if it couldn't run.
package lab_test

import (
	"errors"
	"fmt"
	"os"
	"testing"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errNotRun reports a script that couldn't run or whose run shows nothing.
var errNotRun = errors.New("the case couldn't run")

// scripts maps the names of the scripts to their functions, which report whether the rule was broken.
var scripts = map[string]func(*lab) (broken bool, err error){
	"restored-store":   runRestoredStore,
	"reclaimed-engine": runReclaimedEngine,
	"restarted-engine": runRestartedEngine,
	"deadly-request":   runDeadlyRequest,
}

// TestMain runs the script that the arguments name instead of tests.
func TestMain(*testing.M) { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) > 0 && args[0] == "engine" {
		return runEngine(args[1:])
	}
	if len(args) != 2 || scripts[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab SCRIPT FOLDER")
		return exitNotRun
	}
	l, err := newLab(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		return exitNotRun
	}
	defer l.stop()
	broken, err := scripts[args[0]](l)
	switch {
	case err != nil:
		l.record.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, "lab:", err)
		return exitNotRun
	case broken:
		l.record.note("RULE BROKEN")
		return exitBroken
	default:
		l.record.note("rule held")
		return exitHeld
	}
}
