package wigeonsoak_test

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"wigeonshift/internal/soak/wigeonwindow"
)

// relayProcess is a relay that runs as a separate process.
type relayProcess struct {
	name          string
	settingsPath  string
	binary        string
	callerAddress string
	readyAddress  string
	storeProxy    *proxy
	// peerProxy is the way from other relays to this one.
	peerProxy *proxy
	// enginePaths are the relay's own ways to endpoints; nil if it shares those of others.
	enginePaths map[string]*proxy
	logFile     *os.File

	// restartMu is held from the signal that ends the process until it is started again.
	restartMu sync.Mutex

	mu  sync.Mutex
	cmd *exec.Cmd
	// disruptedAt is the time of the latest start or signal other than SIGTERM, terminatedAt that of the latest SIGTERM.
	disruptedAt, terminatedAt time.Time
	exited                    chan struct{}
}

// loopbackIP is a loopback address of this test process alone, so that no other one takes the port of a relay that is down.
var loopbackIP = fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()>>16&0x3f, os.Getpid()>>8&0xff, os.Getpid()&0xff)

// lastPort is the last port that was tried. It is below the kernel's ephemeral ports, because an outgoing connection
// could otherwise take the port of a relay that is down.
var (
	lastPort   = 10_000
	lastPortMu sync.Mutex
)

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() string {
	lastPortMu.Lock()
	defer lastPortMu.Unlock()
	// A process that is being started keeps copies of all listeners until its program runs.
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	for {
		lastPort++
		l, err := net.Listen("tcp", net.JoinHostPort(loopbackIP, strconv.Itoa(lastPort)))
		if err != nil {
			continue
		}
		defer l.Close()
		return l.Addr().String()
	}
}

func newRelayProcess(
	dir, binary string, index int, storeAddress string, limit wigeonwindow.RepeatLimit,
) (*relayProcess, error) {
	p := &relayProcess{
		name: fmt.Sprintf("relay-%d", index), binary: binary, callerAddress: freeAddress(), readyAddress: freeAddress(),
		storeProxy: newProxy(storeAddress),
	}
	peerAddress := freeAddress()
	p.peerProxy = newProxy(peerAddress)
	p.settingsPath = filepath.Join(dir, p.name+".toml")
	text := fmt.Sprintf(`[node]
name = %q
zone = "z"
region = "r"
[caller]
listen = %q
ready = %q
[peer]
listen = %q
advertise = %q
[platform]
address = %q
[limits]
memoryMegabytes = 200
files = 2000
[retry]
ratio = %g
slack = %g
window = %q
[quota]
overage = %g
slack = %d
window = %q
[drain]
timeout = "5s"
notice = "1500ms"
`, p.name, p.callerAddress, p.readyAddress, peerAddress, p.peerProxy.address(), p.storeProxy.address(),
		limit.Ratio, limit.Slack, limit.Window, quotaOverage, quotaSlack, quotaWindow)
	if err := os.WriteFile(p.settingsPath, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	p.logFile, err = os.Create(filepath.Join(dir, p.name+".log"))
	return p, err
}

// start starts the process, for the first time or after it exited.
func (p *relayProcess) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(p.binary, "serve", "--config", p.settingsPath)
	p.cmd.Stdout, p.cmd.Stderr = p.logFile, p.logFile
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.disruptedAt = time.Now()
	p.exited = make(chan struct{})
	w := &exitWaiter{cmd: p.cmd, done: p.exited}
	go w.run()
	return nil
}

// exitWaiter waits for a process and closes done when it exits.
type exitWaiter struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func (w *exitWaiter) run() {
	// The exit status is ignored because faults kill the process.
	_ = w.cmd.Wait()
	close(w.done)
}

// signal sends a signal to the process and records the time.
func (p *relayProcess) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGTERM {
		p.terminatedAt = time.Now()
	} else {
		p.disruptedAt = time.Now()
	}
	_ = p.cmd.Process.Signal(s)
}

func (p *relayProcess) exitChannel() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// stableFor reports whether the process was not disrupted or stopped for d and its path to the store works.
func (p *relayProcess) stableFor(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.disruptedAt) > d && time.Since(p.terminatedAt) > d && p.storeProxy.currentMode() == modeForward
}

// onlyPlannedStop reports whether the process is in a planned stop and had no other disruption in the settleTime before.
func (p *relayProcess) onlyPlannedStop() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.terminatedAt) < settleTime && p.terminatedAt.Sub(p.disruptedAt) > settleTime
}

// isReady reports whether the readiness endpoint of the process returns 200.
func (p *relayProcess) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + p.readyAddress + "/-/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
