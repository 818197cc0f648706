package lab

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// relay is a process of the project, started with the command of the deploy file.
type relay struct {
	name, caller, ready, settings, binary string
	log                                   *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
	// done is closed when the process has ended.
	done chan struct{}
}

// machine describes what the platform fills into the settings of a process.
type machine struct {
	memoryMegabytes, files int
	// cores is the number of cores that the machine exposes; one if zero.
	cores int
	// hasRollouts is set if the deployment has bounds for rollouts.
	hasRollouts bool
}

// freePort returns a free port below those that the system gives to outgoing connections, so that none of these takes it before the
// relay does.
func freePort() (int, error) {
	var err error
	for range 100 {
		port := 15000 + rand.IntN(15000)
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			return port, l.Close()
		}
	}
	return 0, err
}

// newRelay fills in the template of the deploy file for one machine.
func newRelay(dir, template, binary string, index int, storeAddress string, m machine) (*relay, error) {
	ports := map[string]int{}
	for _, use := range []string{"front", "ready", "peer", "metrics"} {
		p, err := freePort()
		if err != nil {
			return nil, err
		}
		ports[use] = p
	}
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("front-%d", index)
	values := map[string]string{
		"node": name, "zone": "zone-a", "region": "region-a", "ip": "127.0.0.1",
		"listen.front": fmt.Sprintf("127.0.0.1:%d", ports["front"]), "listen.ready": fmt.Sprintf("127.0.0.1:%d", ports["ready"]),
		"internal_ports.0": strconv.Itoa(ports["peer"]), "internal_ports.1": strconv.Itoa(ports["metrics"]),
		"platform.address": storeAddress, "limits.cores": strconv.Itoa(max(1, m.cores)), "limits.memory_mb": strconv.Itoa(m.memoryMegabytes),
		"limits.max_fds": strconv.Itoa(m.files), "bounds.budget_ratio": "0.2", "bounds.budget_slack": "58", "bounds.budget_window_s": "10",
		"bounds.quota_overage": "0.1", "bounds.quota_slack": "140000", "bounds.quota_window_s": "8", "bounds.grace_s": "8",
		"bounds.expose_share": "0.1", "bounds.expose_slack": "50", "bounds.rollback_ms": "5000",
	}
	sections := regexp.MustCompile(`(?s)\{\{#[a-z_.]+\}\}.*?\{\{/[a-z_.]+\}\}\n`)
	if m.hasRollouts {
		sections = regexp.MustCompile(`\{\{[#/][a-z_.]+\}\}\n`)
	}
	filled := sections.ReplaceAllString(string(text), "")
	for key, value := range values {
		filled = strings.ReplaceAll(filled, "{{"+key+"}}", value)
	}
	r := &relay{name: name, caller: values["listen.front"], ready: values["listen.ready"], settings: filepath.Join(dir, name+".toml"), binary: binary}
	if err := os.WriteFile(r.settings, []byte(filled), 0o600); err != nil {
		return nil, err
	}
	r.log, err = os.Create(filepath.Join(dir, name+".log"))
	return r, err
}

func (r *relay) start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cmd = exec.Command(r.binary, "serve")
	r.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WIGEONSHIFT_CONFIG=" + r.settings}
	r.cmd.Stdout, r.cmd.Stderr = r.log, r.log
	if err := r.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	r.done = done
	cmd := r.cmd
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

func (r *relay) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.cmd.Process.Signal(s)
}

func (r *relay) pid() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cmd.Process.Pid
}

func (r *relay) ended() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done
}

func (r *relay) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + r.ready + "/-/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// privateKilobytes returns the memory of the process that belongs to it alone: without its program file and without what the kernel
// holds for its sockets.
func (r *relay) privateKilobytes() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.pid()))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return 0
}

// waitReady waits until all relays are ready.
func waitReady(relays []*relay, limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		ready := true
		for _, r := range relays {
			ready = ready && r.isReady()
		}
		if ready {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}
