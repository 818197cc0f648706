// Package wigeontls loads certificates for mutual authentication and follows changes of their files.
package wigeontls

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"os"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
)

// DefaultPeerName is the DNS name that certificates of instances carry. Addresses of instances change, so that
// their certificates are not bound to them.
const DefaultPeerName = "wigeonshift"

// pollPeriod is the time between looks at the files.
const pollPeriod = 5 * time.Second

// ErrNoAuthority reports an authority file without a certificate.
var ErrNoAuthority = errors.New("no certificate of an authority in the file")

// Files names the PEM files of one identity. Without a certificate it serves clients only.
type Files struct {
	// Certificate holds the chain, the leaf first.
	Certificate string
	Key         string
	// Authority holds the certificates that the other side's chain must end in. Empty stands for the system's ones
	// towards servers, and lets servers take clients without a certificate.
	Authority string
}

// material is what one load of the files gave.
type material struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	// stamps are the sizes and modification times of the files, read before their contents.
	stamps [3]stamp
}

// stamp tells whether a file has changed.
type stamp struct {
	size     int64
	modified time.Time
}

// Source gives TLS settings that follow the files. Open connections keep what they were made with.
type Source struct {
	files  Files
	scope  tally.Scope
	log    logrus.FieldLogger
	loaded atomic.Pointer[material]
	cancel context.CancelFunc
	wg     conc.WaitGroup
}

// Option changes a setting of a Source.
type Option func(*Source)

// WithScope sets the scope of the metrics.
func WithScope(s tally.Scope) Option {
	return func(t *Source) { t.scope = s }
}

// WithLogger sets the logger.
func WithLogger(l logrus.FieldLogger) Option {
	return func(t *Source) { t.log = l }
}

// New loads the files. Faulty files are an error here; later they leave the former ones in force.
func New(files Files, opts ...Option) (*Source, error) {
	silent := logrus.New()
	silent.SetOutput(io.Discard)
	t := &Source{files: files, scope: tally.NoopScope, log: silent}
	for _, opt := range opts {
		opt(t)
	}
	m, err := load(files)
	if err != nil {
		return nil, err
	}
	t.loaded.Store(m)
	return t, nil
}

// Start begins to follow the files.
func (t *Source) Start(_ context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	t.cancel = cancel
	f := &follower{t, ctx}
	t.wg.Go(f.run)
	return nil
}

// Stop ends the following.
func (t *Source) Stop(_ context.Context) error {
	if t.cancel == nil {
		return nil
	}
	t.cancel()
	t.wg.Wait()
	return nil
}

// follower reloads a source until its context ends.
type follower struct {
	source *Source
	ctx    context.Context //nolint:containedctx // The follower's own life.
}

func (f *follower) run() {
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-ticker.C:
			f.source.reload()
		}
	}
}

// reload loads the files when they have changed.
func (t *Source) reload() {
	if stamps, err := stampAll(t.files); err == nil && stamps == t.loaded.Load().stamps {
		return
	}
	m, err := load(t.files)
	if err != nil {
		t.scope.Counter("tlsReloadsFailed").Inc(1)
		t.log.WithError(err).WithField("certificate", t.files.Certificate).Error("TLS files can't be loaded")
		return
	}
	t.loaded.Store(m)
	t.scope.Counter("tlsReloads").Inc(1)
	t.log.WithField("certificate", t.files.Certificate).Info("TLS files loaded")
}

// Server returns settings that demand a client certificate of the authority.
func (t *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return t.loaded.Load().server(), nil
		},
	}
}

// server returns the settings of one connection.
func (m *material) server() *tls.Config {
	c := &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		// Every connection is checked against the authority of its time.
		SessionTicketsDisabled: true,
	}
	if m.authorities != nil {
		c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, m.authorities
	}
	return c
}

// Client returns settings that present the certificate and demand a server certificate of the authority with a DNS name.
func (t *Source) Client(name string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: name,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &t.loaded.Load().certificate, nil
		},
		// The standard verification knows only fixed authorities; VerifyConnection does the same with the current ones.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verify(state, t.loaded.Load().authorities, name)
		},
	}
}

// verify checks the server's chain and name.
func verify(state tls.ConnectionState, authorities *x509.CertPool, name string) error {
	if len(state.PeerCertificates) == 0 {
		return oops.In("tls").Errorf("server without a certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: authorities, Intermediates: intermediates, DNSName: name,
	})
	return oops.In("tls").With("name", name).Wrap(err)
}

// load reads all files.
func load(files Files) (*material, error) {
	stamps, err := stampAll(files)
	if err != nil {
		return nil, err
	}
	m := &material{stamps: stamps}
	if files.Certificate != "" {
		m.certificate, err = tls.LoadX509KeyPair(files.Certificate, files.Key)
		if err != nil {
			return nil, oops.In("tls").With("certificate", files.Certificate).Wrap(err)
		}
	}
	if files.Authority == "" {
		return m, nil
	}
	pem, err := os.ReadFile(files.Authority)
	if err != nil {
		return nil, oops.In("tls").With("authority", files.Authority).Wrap(err)
	}
	m.authorities = x509.NewCertPool()
	if !m.authorities.AppendCertsFromPEM(pem) {
		return nil, oops.In("tls").With("authority", files.Authority).Wrap(ErrNoAuthority)
	}
	return m, nil
}

// stampAll reads the stamps of all files.
func stampAll(files Files) (stamps [3]stamp, err error) {
	for i, name := range []string{files.Certificate, files.Key, files.Authority} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return stamps, oops.In("tls").With("file", name).Wrap(err)
		}
		stamps[i] = stamp{size: info.Size(), modified: info.ModTime()}
	}
	return stamps, nil
}
