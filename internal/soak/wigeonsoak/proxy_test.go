package wigeonsoak_test

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// proxyMode is what a proxy does with its connections.
type proxyMode int

const (
	passes proxyMode = iota
	// delays holds every piece back for a while.
	delays
	// silences takes bytes and passes none on, in both directions.
	silences
	// cutsAnswers passes requests on and no answers.
	cutsAnswers
	// resets closes connections with a reset.
	resets
)

const proxyDelay = 150 * time.Millisecond

// proxy stands on loopback between relays and a target.
type proxy struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	mode proxyMode
	// changedAt is the time of the latest change of mode.
	changedAt time.Time
	conns     map[net.Conn]bool
}

func newProxy(target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.run()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the mode; a reset ends the open connections.
func (p *proxy) set(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.changedAt = m, time.Now()
	if m == resets {
		for c := range p.conns {
			reset(c)
		}
	}
}

func (p *proxy) current() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// calmSince reports whether the proxy has passed everything on for a time.
func (p *proxy) calmSince(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode == passes && time.Since(p.changedAt) > d
}

// reset closes a connection so that the other end sees a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

func (p *proxy) run() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(near net.Conn) {
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(near)
		return
	}
	p.mu.Lock()
	p.conns[near], p.conns[far] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); p.copy(far, near, false) }()
	go func() { defer both.Done(); p.copy(near, far, true) }()
	both.Wait()
	p.mu.Lock()
	delete(p.conns, near)
	delete(p.conns, far)
	p.mu.Unlock()
}

// copy passes one direction on until either end closes.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		mode := p.current()
		for mode == silences || mode == cutsAnswers && answers {
			time.Sleep(20 * time.Millisecond)
			mode = p.current()
		}
		if mode == delays {
			time.Sleep(proxyDelay)
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				reset(from)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			to.Close()
			return
		case err != nil:
			reset(to)
			return
		}
	}
}
