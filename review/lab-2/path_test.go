package lab

import (
	"io"
	"net"
	"sync"
	"time"
)

// path is a machine's way to the store: a proxy that can be cut.
type path struct {
	addr, target string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

func newPath(target string) (*path, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	p := &path{addr: l.Addr().String(), target: target, conns: map[net.Conn]bool{}}
	p.serve(l)
	return p, nil
}

func (p *path) serve(l net.Listener) {
	p.mu.Lock()
	p.listener = l
	p.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
}

func (p *path) forward(c net.Conn) {
	out, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[out] = true, true
	p.mu.Unlock()
	go func() {
		_, _ = io.Copy(out, c)
		out.Close()
	}()
	_, _ = io.Copy(c, out)
	c.Close()
	out.Close()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, out)
	p.mu.Unlock()
}

// cut refuses new connections and resets the present ones.
func (p *path) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener.Close()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		c.Close()
	}
	clear(p.conns)
}

// heal ends a cut.
func (p *path) heal() error {
	l, err := net.Listen("tcp", p.addr)
	if err != nil {
		return err
	}
	p.serve(l)
	return nil
}
