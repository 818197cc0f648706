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
)

// process is one relay as a separate process.
type process struct {
	name     string
	settings string
	binary   string
	address  string
	ready    string
	store    *proxy
	log      *os.File

	// restarting is held from the signal that ends the process to its next start.
	restarting sync.Mutex

	mu  sync.Mutex
	cmd *exec.Cmd
	// disturbedAt is the time of the latest signal or start but for planned stops, stoppedAt that of the latest planned stop.
	disturbedAt, stoppedAt time.Time
	done                   chan struct{}
}

// nextPort is the next port to try. It lies below the ports that the kernel gives to outgoing connections, which could take
// the port of a relay while it is down; processes of this test start at different places.
var nextPort = 10_000 + os.Getpid()*61%20_000

// freeAddress returns an address on loopback that nothing listens on.
func freeAddress() string {
	for {
		nextPort++
		l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(nextPort)))
		if err != nil {
			continue
		}
		defer l.Close()
		return l.Addr().String()
	}
}

func newProcess(dir, binary string, index int, storeAddress string) (*process, error) {
	p := &process{
		name: fmt.Sprintf("relay-%d", index), binary: binary, address: freeAddress(), ready: freeAddress(),
		store: newProxy(storeAddress),
	}
	p.settings = filepath.Join(dir, p.name+".toml")
	text := fmt.Sprintf(`[node]
name = %q
zone = "z"
region = "r"
[caller]
listen = %q
ready = %q
[peer]
listen = %q
[platform]
address = %q
[limits]
memoryMegabytes = 200
files = 2000
[drain]
timeout = "5s"
notice = "1500ms"
`, p.name, p.address, p.ready, freeAddress(), p.store.address())
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	p.log, err = os.Create(filepath.Join(dir, p.name+".log"))
	return p, err
}

// start runs the process anew.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(p.binary, "serve", "--config", p.settings)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.disturbedAt = time.Now()
	p.done = make(chan struct{})
	w := &waiter{cmd: p.cmd, done: p.done}
	go w.run()
	return nil
}

// waiter collects a process's end.
type waiter struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func (w *waiter) run() {
	// How a process ended is no matter: faults kill it.
	_ = w.cmd.Wait()
	close(w.done)
}

// signal sends a signal to the process that this test started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGTERM {
		p.stoppedAt = time.Now()
	} else {
		p.disturbedAt = time.Now()
	}
	_ = p.cmd.Process.Signal(s)
}

func (p *process) ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// calmSince reports whether the process was left alone for a time.
func (p *process) calmSince(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.disturbedAt) > d && time.Since(p.stoppedAt) > d && p.store.current() == passes
}

// stopping reports whether the process has nothing to bear but a planned stop.
func (p *process) stopping() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.stoppedAt) < settleTime && p.stoppedAt.Sub(p.disturbedAt) > settleTime
}

// isReady asks the process whether it takes requests.
func (p *process) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + p.ready + "/-/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
