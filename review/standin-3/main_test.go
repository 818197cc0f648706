// Package standin holds the stand-ins of the third review (the platform's store, engines and clients) and the cases that start the
// project's relays as processes. It is built as a test program, since the words of the users' protocol stand in no other code.
package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

// repository is the root of the project, folder the temporary folder of a run.
var repository, folder string

var cases = map[string]func(c *run){}

// TestMain runs an engine or a case in place of tests: "engine" with its flags, or the name of a case and the file of its record.
func TestMain(*testing.M) {
	if len(os.Args) > 2 && os.Args[1] == "engine" {
		runEngine(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// run is one run of a case.
type run struct {
	trouble bool
	started time.Time
	store   *store

	// onReport is called for each line of an engine: what has happened to a request, and when; nil if nobody wants it.
	onReport func(s *server, at time.Time, what, request string)

	mu     sync.Mutex
	ending bool
	record *os.File
	broken []string
	unable string
	ends   []func()
}

func play(f func(c *run), record string) (code int) {
	var err error
	repository, err = os.Getwd()
	must(err)
	if _, err := os.Stat(filepath.Join(repository, "target", "wigeonrelay")); err != nil {
		fmt.Fprintln(os.Stderr, "target/wigeonrelay is missing")
		return exitNotRun
	}
	folder, err = os.MkdirTemp("", "review")
	must(err)
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	}
	out, err := os.Create(record)
	must(err)
	defer out.Close()
	c := &run{trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), store: newStore(), record: out}
	defer c.finish()
	func() {
		defer func() {
			if x := recover(); x != nil {
				c.unable = fmt.Sprint(x)
			}
		}()
		f(c)
	}()
	switch {
	case c.unable != "":
		c.note("the case couldn't run: %s", c.unable)
		fmt.Println("not run:", c.unable)
		return exitNotRun
	case len(c.broken) > 0:
		c.note("the rule was broken %d times", len(c.broken))
		fmt.Printf("broken, %d times; the first: %s\n", len(c.broken), c.broken[0])
		return exitBroken
	default:
		c.note("the rule held")
		fmt.Println("held")
		return exitHeld
	}
}

// onEnd adds something that is done at the end of the run.
func (c *run) onEnd(f func()) { c.ends = append(c.ends, f) }

func (c *run) finish() {
	c.end()
	for i := len(c.ends) - 1; i >= 0; i-- {
		c.ends[i]()
	}
}

// end marks the end of the run, from which on nothing is started again.
func (c *run) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
}

func (c *run) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending
}

// at returns the time since the start of the run.
func (c *run) at() time.Duration { return time.Since(c.started) }

// note writes a line to the record.
func (c *run) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%9.3f  %s\n", c.at().Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that the rule was broken.
func (c *run) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.note("BROKEN %s", text)
	c.mu.Lock()
	c.broken = append(c.broken, text)
	c.mu.Unlock()
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// The ports of the run lie below those that the kernel gives to outgoing connections, so that none of these takes one.
const firstPort, lastPort = 12000, 32000

var usedPorts sync.Map

// freeAddress returns a loopback address whose port is free.
func freeAddress() string {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if _, used := usedPorts.LoadOrStore(address, true); used {
			continue
		}
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
	panic("no port is free")
}
