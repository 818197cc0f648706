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
	// ErrProtocolVersion reports that the peer uses another version of the wire protocol.
	ErrProtocolVersion = errors.New("protocol version mismatch")
	// ErrOtherInstance reports that the address now belongs to another instance than the one dialled.
	ErrOtherInstance = errors.New("another instance answered at the address")
	// errNoHello reports a connection that closed before it opened a lane, as load balancer health checks do.
	errNoHello = errors.New("connection closed before the handshake")
	// errHandshake reports a handshake that failed or violated the protocol.
	errHandshake = errors.New("handshake failed")
)

// maxHelloBytes limits the size of the first frame of a lane.
const maxHelloBytes = 4 << 10

// muxConfig returns the yamux settings. Its keepalive is off because this package sends its own heartbeats, which stay
// within a bandwidth budget.
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

// dialLink connects to a peer and performs the handshake. acceptedDial is the largest dial number of the peer that this
// instance has accepted.
func (n *Network) dialLink(ctx context.Context, p *peer, to wigeonshift.Instance, acceptedDial uint64) (*link, error) {
	conn, err := n.dial(ctx, to.Address)
	if err != nil {
		return nil, oops.In("session").With("address", to.Address).Wrap(err)
	}
	if n.clientTLS != nil {
		conn = tls.Client(conn, clientConfig(n.clientTLS, to.Address))
	}
	timer := time.AfterFunc(handshakeTimeout, func() { conn.Close() })
	transport := &coalescingConn{Conn: conn}
	mux, err := yamux.Client(transport, muxConfig())
	if err != nil {
		conn.Close()
		return nil, oops.In("session").Wrap(err)
	}
	l := newLink(n, p, transport, mux)
	l.outbound, l.dialNumber = true, n.dialCount.Add(1)
	err = l.dialHandshake(to, acceptedDial)
	if errors.Is(err, ErrOtherInstance) {
		notify(n.discoveredHandlers, l.remote)
	}
	if !timer.Stop() || err != nil {
		mux.Close() //nolint:errcheck // The handshake error is reported instead.
		return nil, oops.In("session").With("address", to.Address).Wrap(errors.Join(errHandshake, err))
	}
	return l, nil
}

// dialHandshake performs the handshake on the dialling side: it opens the lanes, sends a hello on each and reads the
// peer's hello. It fails with ErrOtherInstance if the peer is not the instance dialled.
func (l *link) dialHandshake(to wigeonshift.Instance, acceptedDial uint64) error {
	for i := range l.lanes {
		stream, err := l.mux.OpenStream()
		if err != nil {
			return err
		}
		l.lanes[i] = newLane(l, i, stream)
		if err := l.lanes[i].writeHello(acceptedDial); err != nil {
			return err
		}
	}
	hello, err := l.lanes[laneMain].readHello()
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
		a := &acceptor{network: n, conn: conn}
		if !n.goIfRunning(a.run) {
			conn.Close()
		}
	}
}

// acceptor handles one accepted connection until its handshake has ended.
type acceptor struct {
	network *Network
	conn    net.Conn
}

// run performs the handshake and adds the link to its peer.
func (a *acceptor) run() {
	conn := a.conn
	if a.network.serverTLS != nil {
		conn = tls.Server(conn, a.network.serverTLS)
	}
	timer := time.AfterFunc(handshakeTimeout, func() { conn.Close() })
	transport := &coalescingConn{Conn: conn}
	mux, err := yamux.Server(transport, muxConfig())
	if err != nil {
		conn.Close()
		return
	}
	l := newLink(a.network, nil, transport, mux)
	hello, err := l.acceptHandshake()
	if !timer.Stop() || err != nil {
		a.reject(mux, err)
		return
	}
	p, err := a.network.getOrCreatePeer(l.remote)
	if err != nil {
		a.reject(mux, err)
		return
	}
	l.peer = p
	if err := a.admit(p, l, hello); err != nil {
		a.reject(mux, err)
		return
	}
	l.start()
	notify(a.network.discoveredHandlers, l.remote)
}

// admit completes the handshake by sending the hello of this side, and adds the link to the peer.
func (a *acceptor) admit(p *peer, l *link, hello *wigeonwire.Hello) error {
	p.mu.Lock()
	acceptedDial := max(p.maxAcceptedDial, l.dialNumber)
	p.mu.Unlock()
	if err := l.lanes[laneMain].writeHello(acceptedDial); err != nil {
		return err
	}
	p.mu.Lock()
	p.adopt(l, hello.GetAccepted())
	p.mu.Unlock()
	return nil
}

// reject closes a connection whose handshake failed and logs the reason.
func (a *acceptor) reject(mux *yamux.Session, err error) {
	mux.Close() //nolint:errcheck // The handshake error is reported instead.
	log := a.network.log.WithError(err).WithField("address", a.conn.RemoteAddr().String())
	if errors.Is(err, errNoHello) {
		a.network.counters.countSessionEnd("probe")
		log.Debug("Peer connection closed before the handshake")
		return
	}
	a.network.counters.countSessionEnd("handshake")
	log.Warn("Peer handshake failed")
}

// acceptHandshake performs the first part of the handshake on the accepting side: it accepts the lanes, reads the hello of
// each and returns the last one. The caller sends the hello of this side.
func (l *link) acceptHandshake() (*wigeonwire.Hello, error) {
	var last *wigeonwire.Hello
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
			ln.maxFrameBytes = maxBulkFrameBytes
		}
		l.lanes[index] = ln
		last = hello
	}
	l.remote, l.dialNumber = wigeonwire.DecodeInstance(last.GetInstance()), last.GetDial()
	return last, nil
}

// writeHello sends the first frame of the lane.
func (ln *lane) writeHello(acceptedDial uint64) error {
	_, err := ln.stream.Write(mustEncode(&wigeonwire.Frame{Body: &wigeonwire.Frame_Hello{Hello: &wigeonwire.Hello{
		Protocol: wigeonwire.ProtocolVersion, Instance: wigeonwire.EncodeInstance(ln.link.network.self), Lane: uint32(ln.index),
		Dial: ln.link.dialNumber, Accepted: acceptedDial,
	}}}))
	return err
}

// readHello reads the first frame of the lane and checks its protocol version.
func (ln *lane) readHello() (*wigeonwire.Hello, error) {
	f, _, err := wigeonwire.ReadFrame(ln.reader, maxHelloBytes)
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

// clientConfig returns the TLS settings for an address; the server name defaults to the host of the address.
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
