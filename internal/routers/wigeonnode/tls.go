package wigeonnode

import (
	"crypto/tls"
	"net"

	"wigeonshift/internal/modules/wigeonsetting"
	"wigeonshift/internal/modules/wigeontls"

	"github.com/samber/oops"
)

// tlsSources holds the sources of the TLS files in use. Equal settings share one source.
type tlsSources struct {
	bySettings map[wigeonsetting.TLS]*wigeontls.Source
}

// get returns the source for the given settings, or nil if TLS is disabled.
func (t *tlsSources) get(n *Node, s wigeonsetting.TLS) (*wigeontls.Source, error) {
	if !s.Enabled() {
		return nil, nil //nolint:nilnil // Nil means connections without TLS.
	}
	if existing := t.bySettings[s]; existing != nil {
		return existing, nil
	}
	files := wigeontls.Files{Certificate: s.Certificate, Key: s.Key, Authority: s.Authority}
	created, err := wigeontls.New(files, wigeontls.WithLogger(n.log), wigeontls.WithScope(n.metrics.Scope()))
	if err != nil {
		return nil, oops.In("node").Wrap(err)
	}
	if t.bySettings == nil {
		t.bySettings = map[wigeonsetting.TLS]*wigeontls.Source{}
	}
	t.bySettings[s] = created
	return created, nil
}

// clientTLS returns the TLS configuration of a client, or nil if TLS is disabled.
func (n *Node) clientTLS(s wigeonsetting.TLS) (*tls.Config, error) {
	source, err := n.tlsSources.get(n, s)
	if source == nil {
		return nil, err
	}
	name := s.ServerName
	if name == "" {
		name = wigeontls.DefaultPeerName
	}
	return source.Client(name), nil
}

// serverTLS returns the TLS configuration of a listener, or nil if TLS is disabled.
func (n *Node) serverTLS(s wigeonsetting.TLS) (*tls.Config, error) {
	source, err := n.tlsSources.get(n, s)
	if source == nil {
		return nil, err
	}
	return source.Server(), nil
}

// withTLS wraps a listener in TLS if the settings enable it.
func (n *Node) withTLS(l net.Listener, s wigeonsetting.TLS) (net.Listener, error) {
	server, err := n.serverTLS(s)
	if server == nil {
		return l, err
	}
	return tls.NewListener(l, server), nil
}
