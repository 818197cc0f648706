package standin

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// relay is a process of the project, started with the command of the deploy file.
type relay struct {
	name, front, ready, peer, zone string
	settings                       string
	log                            *os.File
	process                        *exec.Cmd
	done                           chan struct{}
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}\n?(.*?)\{\{/[a-z_.]+\}\}\n?`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// newRelay fills in the project's settings template for a relay that isn't started yet. The bounds are those of the site.
func newRelay(s site, name, zone, store string) *relay {
	r := &relay{name: name, zone: zone, front: freeAddress(), ready: freeAddress()}
	peer, metrics := freeAddress(), freeAddress()
	r.peer = peer
	values := map[string]string{
		"node": name, "zone": zone, "region": s.region, "listen.front": r.front, "listen.ready": r.ready, "platform.address": store,
		"ip": "127.0.0.1", "internal_ports.0": portOf(peer), "internal_ports.1": portOf(metrics),
		"limits.cores": "1", "limits.memory_mb": fmt.Sprint(s.memoryMegabytes), "limits.max_fds": "4100",
		"bounds.budget_ratio": "0.2", "bounds.budget_slack": s.budgetSlack, "bounds.budget_window_s": "10",
		"bounds.quota_overage": "0.1", "bounds.quota_slack": "140000", "bounds.quota_window_s": "8", "bounds.grace_s": "8",
	}
	if s.hasRollouts {
		values["bounds.expose_share"], values["bounds.expose_slack"], values["bounds.rollback_ms"] = "0.1", "50", "5000"
	}
	template, err := os.ReadFile(filepath.Join(repository, "deploy", "relay.toml.tmpl"))
	must(err)
	text := section.ReplaceAllStringFunc(string(template), func(part string) string {
		m := section.FindStringSubmatch(part)
		if values[m[1]] == "" {
			return ""
		}
		return m[2]
	})
	text = placeholder.ReplaceAllStringFunc(text, func(name string) string { return values[placeholder.FindStringSubmatch(name)[1]] })
	r.settings = filepath.Join(folder, name+".toml")
	must(os.WriteFile(r.settings, []byte(text), 0o600))
	return r
}

func portOf(address string) string {
	_, port, err := net.SplitHostPort(address)
	must(err)
	return port
}

// start starts the process.
func (r *relay) start() {
	var err error
	r.log, err = os.OpenFile(filepath.Join(folder, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	r.process = exec.Command(filepath.Join(repository, "target", "wigeonrelay"), "serve")
	r.process.Dir = repository
	r.process.Env = []string{"WIGEONSHIFT_CONFIG=" + r.settings, "PATH=" + os.Getenv("PATH")}
	r.process.Stdout, r.process.Stderr = r.log, r.log
	r.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(r.process.Start())
	done := make(chan struct{})
	r.done = done
	go func(p *exec.Cmd) {
		_ = p.Wait()
		close(done)
	}(r.process)
}

func (r *relay) signal(s syscall.Signal) { _ = r.process.Process.Signal(s) }

// kill ends the process.
func (r *relay) kill() {
	r.signal(syscall.SIGKILL)
	<-r.done
}

// waitReady waits until the relay says that it is ready.
func (r *relay) waitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		answer, err := client.Get("http://" + r.ready + "/-/ready")
		if err != nil {
			continue
		}
		answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// isReady asks the readiness address once.
func (r *relay) isReady() bool { return r.waitReady(time.Millisecond) }

// logs returns what the relay has written.
func (r *relay) logs() string {
	text, err := os.ReadFile(filepath.Join(folder, r.name+".log"))
	must(err)
	return strings.TrimSpace(string(text))
}
