package wigeonsession

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonwire"

	"github.com/hashicorp/yamux"
	"github.com/samber/oops"
)

// Sentinel errors of the handshake.
var (
	// ErrProtocolVersion reports a peer with another version of the wire protocol.
	ErrProtocolVersion = errors.New("unlike protocol version")
	// ErrOtherInstance reports that another instance answers at the address.
	ErrOtherInstance = errors.New("another instance answers at the address")
	// errNoHello reports a connection that closed before it opened a lane, as the checks of balancers do.
	errNoHello = errors.New("closed before the handshake")
	// errHandshake reports a handshake out of order.
	errHandshake = errors.New("handshake failed")
)

// helloLimit bounds the first frame of a lane in bytes.
const helloLimit = 4 << 10

// muxConfig returns the settings of yamux. Its keepalive is off: heartbeats of this package know the budget.
func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.AcceptBacklog = laneCount
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = 0
	c.StreamCloseTimeout = time.Minute
	c.LogOutput = io.Discard
	return c
}

// dialLink opens a connection to a peer and shakes hands.
func (n *Network) dialLink(ctx context.Context, p *peer, to wigeonshift.Instance, accepted uint64) (*link, error) {
	conn, err := n.dial(ctx, to.Address)
	if err != nil {
		return nil, oops.In("session").With("address", to.Address).Wrap(err)
	}
	if n.clientTLS != nil {
		conn = tls.Client(conn, clientConfig(n.clientTLS, to.Address))
	}
	guard := time.AfterFunc(handshakeTimeout, func() { conn.Close() })
	mux, err := yamux.Client(&coalescingConn{Conn: conn}, muxConfig())
	if err != nil {
		conn.Close()
		return nil, oops.In("session").Wrap(err)
	}
	l := newLink(n, p, conn, mux)
	l.dialled, l.number = true, n.dials.Add(1)
	err = l.greet(to, accepted)
	if errors.Is(err, ErrOtherInstance) {
		notify(n.met, l.remote)
	}
	if !guard.Stop() || err != nil {
		mux.Close() //nolint:errcheck // The handshake's error is the one that matters.
		return nil, oops.In("session").With("address", to.Address).Wrap(errors.Join(errHandshake, err))
	}
	return l, nil
}

// greet opens the lanes and exchanges hellos as the dialling side.
func (l *link) greet(to wigeonshift.Instance, accepted uint64) error {
	for i := range l.lanes {
		stream, err := l.mux.OpenStream()
		if err != nil {
			return err
		}
		l.lanes[i] = newLane(l, i, stream)
		if err := l.lanes[i].writeHello(accepted); err != nil {
			return err
		}
	}
	hello, err := l.lanes[laneDecision].readHello()
	if err != nil {
		return err
	}
	l.remote = wigeonwire.DecodeInstance(hello.GetInstance())
	if l.remote.ID != to.ID {
		return oops.With("instance", to.ID).With("answered", l.remote.ID).Wrap(ErrOtherInstance)
	}
	return nil
}

// runAccept accepts connections until the listener is closed.
func (n *Network) runAccept() {
	for {
		conn, err := n.listener.Accept()
		if err != nil {
			return
		}
		a := &acceptor{n: n, conn: conn}
		if !n.goIfRunning(a.run) {
			conn.Close()
		}
	}
}

// acceptor shakes hands on one accepted connection.
type acceptor struct {
	n    *Network
	conn net.Conn
}

// run shakes hands and adds the link to its peer.
func (a *acceptor) run() {
	conn := a.conn
	if a.n.serverTLS != nil {
		conn = tls.Server(conn, a.n.serverTLS)
	}
	guard := time.AfterFunc(handshakeTimeout, func() { conn.Close() })
	mux, err := yamux.Server(&coalescingConn{Conn: conn}, muxConfig())
	if err != nil {
		conn.Close()
		return
	}
	l := newLink(a.n, nil, conn, mux)
	hello, err := l.answer()
	if !guard.Stop() || err != nil {
		a.refuse(mux, err)
		return
	}
	p, err := a.n.peer(l.remote)
	if err != nil {
		a.refuse(mux, err)
		return
	}
	l.p = p
	if err := a.admit(p, l, hello); err != nil {
		a.refuse(mux, err)
		return
	}
	l.start()
	notify(a.n.met, l.remote)
}

// admit answers the hello and adopts the link.
func (a *acceptor) admit(p *peer, l *link, hello *wigeonwire.Hello) error {
	p.mu.Lock()
	accepted := max(p.accepted, l.number)
	p.mu.Unlock()
	if err := l.lanes[laneDecision].writeHello(accepted); err != nil {
		return err
	}
	p.mu.Lock()
	p.adopt(l, hello.GetAccepted())
	p.mu.Unlock()
	return nil
}

// refuse closes a connection whose handshake failed.
func (a *acceptor) refuse(mux *yamux.Session, err error) {
	mux.Close() //nolint:errcheck // The handshake's error is the one that matters.
	log := a.n.log.WithError(err).WithField("address", a.conn.RemoteAddr().String())
	if errors.Is(err, errNoHello) {
		a.n.counters.ended("probe")
		log.Debug("Peer connection closed before its handshake")
		return
	}
	a.n.counters.ended("handshake")
	log.Warn("Peer handshake failed")
}

// answer accepts the lanes and reads their hellos as the accepting side.
func (l *link) answer() (*wigeonwire.Hello, error) {
	var first *wigeonwire.Hello
	for i := range laneCount {
		stream, err := l.mux.AcceptStream()
		if i == 0 && errors.Is(err, io.EOF) {
			return nil, errNoHello
		}
		if err != nil {
			return nil, err
		}
		ln := newLane(l, 0, stream)
		hello, err := ln.readHello()
		if err != nil {
			return nil, err
		}
		index := int(hello.GetLane())
		if index >= laneCount || l.lanes[index] != nil || hello.GetInstance().GetId() == "" {
			return nil, errHandshake
		}
		ln.index = index
		if index == laneBulk {
			ln.limit = bulkFrameLimit
		}
		l.lanes[index] = ln
		first = hello
	}
	l.remote, l.number = wigeonwire.DecodeInstance(first.GetInstance()), first.GetDial()
	return first, nil
}

// writeHello opens the lane.
func (ln *lane) writeHello(accepted uint64) error {
	_, err := ln.stream.Write(mustEncode(&wigeonwire.Frame{Body: &wigeonwire.Frame_Hello{Hello: &wigeonwire.Hello{
		Protocol: wigeonwire.ProtocolVersion, Instance: wigeonwire.EncodeInstance(ln.l.n.self), Lane: uint32(ln.index),
		Dial: ln.l.number, Accepted: accepted,
	}}}))
	return err
}

// readHello reads the first frame of a lane.
func (ln *lane) readHello() (*wigeonwire.Hello, error) {
	f, _, err := wigeonwire.ReadFrame(ln.reader, helloLimit)
	if err != nil {
		return nil, err
	}
	hello := f.GetHello()
	if hello == nil {
		return nil, errHandshake
	}
	if hello.GetProtocol() != wigeonwire.ProtocolVersion {
		return nil, oops.With("protocol", hello.GetProtocol()).Wrap(ErrProtocolVersion)
	}
	return hello, nil
}

// clientConfig fills in the server's name for verification.
func clientConfig(c *tls.Config, address string) *tls.Config {
	if c.ServerName != "" {
		return c
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	c = c.Clone()
	c.ServerName = host
	return c
}
