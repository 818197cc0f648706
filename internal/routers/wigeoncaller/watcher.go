package wigeoncaller

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"wigeonshift/internal/modules/wigeonsocket"
)

// disconnectWatcher detects callers that disconnect while their request is in progress. The HTTP library does not read
// from a connection during a request, so the watcher peeks at all connections in one loop without consuming any bytes.
type disconnectWatcher struct {
	period time.Duration
	closed chan struct{}
	once   sync.Once

	mu    sync.Mutex
	conns map[*watchedConn]struct{}
}

// watchedConn is the connection of a caller whose request is in progress.
type watchedConn struct {
	raw    syscall.RawConn
	cancel context.CancelFunc
}

func newWatcher(period time.Duration) *disconnectWatcher {
	return &disconnectWatcher{period: period, closed: make(chan struct{}), conns: map[*watchedConn]struct{}{}}
}

// add watches a connection until remove is called. It calls cancel if the caller disconnects. It returns nil for a
// connection without a file descriptor.
func (w *disconnectWatcher) add(c net.Conn, cancel context.CancelFunc) *watchedConn {
	for {
		wrapped, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = wrapped.NetConn()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	x := &watchedConn{raw: raw, cancel: cancel}
	w.mu.Lock()
	w.conns[x] = struct{}{}
	w.mu.Unlock()
	return x
}

func (w *disconnectWatcher) remove(x *watchedConn) {
	if x == nil {
		return
	}
	w.mu.Lock()
	delete(w.conns, x)
	w.mu.Unlock()
}

func (w *disconnectWatcher) close() { w.once.Do(func() { close(w.closed) }) }

func (w *disconnectWatcher) run() {
	t := time.NewTicker(w.period)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			w.check()
		case <-w.closed:
			return
		}
	}
}

// check cancels the requests of callers that have disconnected.
func (w *disconnectWatcher) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for x := range w.conns {
		if x.isClosed() {
			x.cancel()
			delete(w.conns, x)
		}
	}
}

// isClosed reports whether the connection was closed or reset.
func (x *watchedConn) isClosed() bool { return wigeonsocket.Peek(x.raw) == wigeonsocket.Closed }
