package wigeonnode

import (
	"crypto/tls"
	"net"

	"wigeonshift/internal/modules/wigeonsetting"
	"wigeonshift/internal/modules/wigeontls"

	"github.com/samber/oops"
)

// identities holds the TLS files in use. Equal settings share one source.
type identities struct {
	sources map[wigeonsetting.TLS]*wigeontls.Source
}

// source returns the source of a use, nil where TLS is off.
func (i *identities) source(n *Node, s wigeonsetting.TLS) (*wigeontls.Source, error) {
	if !s.Enabled() {
		return nil, nil //nolint:nilnil // Nil stands for plain connections.
	}
	if known := i.sources[s]; known != nil {
		return known, nil
	}
	files := wigeontls.Files{Certificate: s.Certificate, Key: s.Key, Authority: s.Authority}
	made, err := wigeontls.New(files, wigeontls.WithLogger(n.log), wigeontls.WithScope(n.metrics.Scope()))
	if err != nil {
		return nil, oops.In("node").Wrap(err)
	}
	if i.sources == nil {
		i.sources = map[wigeonsetting.TLS]*wigeontls.Source{}
	}
	i.sources[s] = made
	return made, nil
}

// clientTLS returns the settings of connections to servers, nil where TLS is off.
func (n *Node) clientTLS(s wigeonsetting.TLS) (*tls.Config, error) {
	source, err := n.identities.source(n, s)
	if source == nil {
		return nil, err
	}
	name := s.ServerName
	if name == "" {
		name = wigeontls.DefaultPeerName
	}
	return source.Client(name), nil
}

// serverTLS returns the settings of a listener, nil where TLS is off.
func (n *Node) serverTLS(s wigeonsetting.TLS) (*tls.Config, error) {
	source, err := n.identities.source(n, s)
	if source == nil {
		return nil, err
	}
	return source.Server(), nil
}

// secure puts TLS on a listener where the settings say so.
func (n *Node) secure(l net.Listener, s wigeonsetting.TLS) (net.Listener, error) {
	server, err := n.serverTLS(s)
	if server == nil {
		return l, err
	}
	return tls.NewListener(l, server), nil
}
