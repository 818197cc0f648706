// Package lab runs one case of the review against processes of the project. Its stand-ins follow the users' pages. It is built as a test
// program, since the words of the users' protocol stand in no other code.
package lab

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"testing"
)

// lab holds what a case works with.
type lab struct {
	dir, template, binary string
	trouble               bool
	record                *record

	mu     sync.Mutex
	relays []*relay
}

// Exit statuses of a case.
const (
	statusHeld     = 0
	statusBroken   = 1
	statusCouldNot = 2
)

var cases = map[string]func(*lab) (broken bool, err error){
	"gone":    goneCase,
	"memory":  memoryCase,
	"pace":    paceCase,
	"rollout": rolloutCase,
	"slots":   slotsCase,
}

func TestMain(*testing.M) {
	relayPath := flag.String("relay", "", "program of the project")
	template := flag.String("template", "", "template of its settings")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "bring the disruption about")
	flag.Parse()
	os.Exit(run(flag.Arg(0), *relayPath, *template, *out, *trouble))
}

func run(name, relayPath, template, out string, trouble bool) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return statusCouldNot
	}
	dir, err := os.MkdirTemp(os.Getenv("LAB_LOGS"), "review-lab-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusCouldNot
	}
	if os.Getenv("LAB_LOGS") == "" {
		defer os.RemoveAll(dir)
	}
	rec, err := newRecord(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusCouldNot
	}
	defer rec.close()
	l := &lab{dir: dir, template: template, binary: relayPath, trouble: trouble, record: rec}
	defer l.endAll()
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupts
		l.endAll()
		os.RemoveAll(dir)
		os.Exit(statusCouldNot)
	}()
	broken, err := play(l)
	switch {
	case err != nil:
		rec.note("could not run: %v", err)
		return statusCouldNot
	case broken:
		rec.note("the rule is broken")
		return statusBroken
	default:
		rec.note("the rule held")
		return statusHeld
	}
}

// addRelay starts one more relay.
func (l *lab) addRelay(storeAddress string, m machine) (*relay, error) {
	r, err := newRelay(l.dir, l.template, l.binary, len(l.relays)+1, storeAddress, m)
	if err != nil {
		return nil, err
	}
	if err := r.start(); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.relays = append(l.relays, r)
	return r, nil
}

// endAll ends all relays.
func (l *lab) endAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.relays {
		r.signal(syscall.SIGKILL)
		<-r.ended()
	}
}
