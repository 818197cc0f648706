package wigeonsoak_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// proxyMode selects the network fault that a proxy simulates.
type proxyMode int

const (
	modeForward proxyMode = iota
	// modeDelay delays each chunk of data by proxyDelay.
	modeDelay
	// modeStall holds back data in both directions until the mode changes.
	modeStall
	// modeStallResponses forwards requests and holds back responses until the mode changes.
	modeStallResponses
	// modeReset resets the connections that are open when the mode is set.
	modeReset
)

const proxyDelay = 150 * time.Millisecond

// proxy forwards TCP connections from relays to a target, and simulates network faults.
type proxy struct {
	listenAddress string
	target        string

	mu sync.Mutex
	// listener is nil while the proxy refuses connections.
	listener net.Listener
	mode     proxyMode
	// changedAt is the time of the latest change of mode.
	changedAt time.Time
	// conns holds the open connections. Those that are silenced have the value true.
	conns map[net.Conn]bool
}

func newProxy(target string) *proxy {
	p := &proxy{listenAddress: freeAddress(), target: target, conns: map[net.Conn]bool{}}
	if err := p.open(); err != nil {
		panic(err)
	}
	return p
}

func (p *proxy) address() string { return p.listenAddress }

// openTimeout is how long open waits for the address. A process that is being started keeps a copy of the closed listener
// until its program runs.
const openTimeout = 2 * time.Second

// open accepts connections, for the first time or after shutDown.
func (p *proxy) open() error {
	l, err := listenTCP(p.listenAddress)
	for deadline := time.Now().Add(openTimeout); err != nil && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
		l, err = listenTCP(p.listenAddress)
	}
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener, p.changedAt = l, time.Now()
	p.mu.Unlock()
	go p.run(l)
	return nil
}

// listenTCP listens without Multipath TCP, whose sockets take no filter.
func listenTCP(address string) (net.Listener, error) {
	var c net.ListenConfig
	c.SetMultipathTCP(false)
	return c.Listen(context.Background(), "tcp", address)
}

// shutDown resets all connections and refuses new ones until open, like a process that ends. It reports false if the
// proxy is shut down already.
func (p *proxy) shutDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener == nil {
		return false
	}
	p.listener.Close()
	p.listener, p.changedAt = nil, time.Now()
	for c := range p.conns {
		resetConnection(c)
	}
	return true
}

// setMode changes the mode, and resets the open connections if it is modeReset.
func (p *proxy) setMode(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.changedAt = m, time.Now()
	if m == modeReset {
		for c := range p.conns {
			resetConnection(c)
		}
	}
}

// silenceOpen makes the connections that are open now silent for good, also to the probes of the kernel. New ones work.
func (p *proxy) silenceOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changedAt = time.Now()
	for c := range p.conns {
		p.conns[c] = true
		dropReceived(c)
	}
}

// cutOff simulates a partition. With hang, all packets on open connections and for new ones are dropped; otherwise new connections
// are refused, and open ones are reset unless they live on.
func (p *proxy) cutOff(hang, liveOn bool) {
	if hang {
		p.silenceOpen()
		p.mu.Lock()
		defer p.mu.Unlock()
		dropReceived(p.listener)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changedAt = time.Now()
	p.listener.Close()
	p.listener = nil
	if !liveOn {
		for c := range p.conns {
			resetConnection(c)
		}
	}
}

// heal ends a partition.
func (p *proxy) heal() error {
	p.mu.Lock()
	if p.listener != nil {
		p.listener.Close()
		p.listener = nil
	}
	p.mu.Unlock()
	return p.open()
}

// dropReceived makes the kernel drop all packets that arrive for a connection or listener, as if they were lost on the way.
func dropReceived(c any) {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return
	}
	dropAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	// It fails only for a connection that is closed already.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll[0]})
	})
}

func (p *proxy) isSilenced(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[c]
}

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// forwardingFor reports whether the proxy has forwarded without faults for d.
func (p *proxy) forwardingFor(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode == modeForward && p.listener != nil && time.Since(p.changedAt) > d
}

// resetConnection closes a connection with a TCP reset.
func resetConnection(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

func (p *proxy) run(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(source net.Conn) {
	destination, err := net.Dial("tcp", p.target)
	if err != nil {
		resetConnection(source)
		return
	}
	p.mu.Lock()
	p.conns[source], p.conns[destination] = false, false
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Add(2)
	go func() { defer directions.Done(); p.forward(destination, source, false) }()
	go func() { defer directions.Done(); p.forward(source, destination, true) }()
	directions.Wait()
	p.mu.Lock()
	delete(p.conns, source)
	delete(p.conns, destination)
	p.mu.Unlock()
}

// forward copies one direction of a connection until either end closes.
func (p *proxy) forward(to, from net.Conn, isResponse bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		mode := p.currentMode()
		for mode == modeStall || mode == modeStallResponses && isResponse {
			time.Sleep(20 * time.Millisecond)
			mode = p.currentMode()
		}
		if err == nil && p.isSilenced(from) {
			continue
		}
		if mode == modeDelay {
			time.Sleep(proxyDelay)
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				resetConnection(from)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			to.Close()
			return
		case err != nil:
			resetConnection(to)
			return
		}
	}
}
