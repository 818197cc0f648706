// Package wigeontls provides TLS configurations for mutual authentication that reload their certificates when the files
// change.
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

// DefaultPeerName is the DNS name in the certificates of instances. Certificates are not bound to the addresses of
// instances because these change.
const DefaultPeerName = "wigeonshift"

// pollPeriod is the interval at which the files are checked for changes.
const pollPeriod = 5 * time.Second

// ErrNoAuthority reports an authority file without a certificate.
var ErrNoAuthority = errors.New("authority file contains no certificate")

// Files names the PEM files of one identity. Without a certificate, the identity can only be used by clients.
type Files struct {
	// Certificate contains the certificate chain, starting with the leaf.
	Certificate string
	Key         string
	// Authority contains the CA certificates that must have signed the other side's chain. If it is empty, clients use the
	// system's CA certificates, and servers accept clients without a certificate.
	Authority string
}

// credentials holds the contents of the files from one load.
type credentials struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	// stamps holds the sizes and modification times of the files, read before their contents so that no change is missed.
	stamps [3]fileStamp
}

// fileStamp is compared to detect a change of a file.
type fileStamp struct {
	size     int64
	modified time.Time
}

// Source provides TLS configurations that use the current contents of the files. A reload doesn't affect open connections.
type Source struct {
	files   Files
	scope   tally.Scope
	log     logrus.FieldLogger
	current atomic.Pointer[credentials]
	cancel  context.CancelFunc
	wg      conc.WaitGroup
}

// Option configures a Source.
type Option func(*Source)

// WithScope sets the metrics scope. By default no metrics are kept.
func WithScope(s tally.Scope) Option {
	return func(t *Source) { t.scope = s }
}

// WithLogger sets the logger. By default nothing is logged.
func WithLogger(l logrus.FieldLogger) Option {
	return func(t *Source) { t.log = l }
}

// New loads the files and fails if they are invalid. If a later reload fails, the previous contents stay in use.
func New(files Files, opts ...Option) (*Source, error) {
	discardLog := logrus.New()
	discardLog.SetOutput(io.Discard)
	t := &Source{files: files, scope: tally.NoopScope, log: discardLog}
	for _, opt := range opts {
		opt(t)
	}
	m, err := load(files)
	if err != nil {
		return nil, err
	}
	t.current.Store(m)
	return t, nil
}

// Start starts reloading the files when they change.
func (t *Source) Start(_ context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	t.cancel = cancel
	r := &reloader{t, ctx}
	t.wg.Go(r.run)
	return nil
}

// Stop stops reloading the files.
func (t *Source) Stop(_ context.Context) error {
	if t.cancel == nil {
		return nil
	}
	t.cancel()
	t.wg.Wait()
	return nil
}

// reloader reloads a source periodically until its context is done.
type reloader struct {
	source *Source
	ctx    context.Context //nolint:containedctx // It spans the lifetime of the reloader.
}

func (r *reloader) run() {
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
			r.source.reload()
		}
	}
}

// reload loads the files if they have changed. If loading fails, it keeps the previous contents.
func (t *Source) reload() {
	if stamps, err := readFileStamps(t.files); err == nil && stamps == t.current.Load().stamps {
		return
	}
	m, err := load(t.files)
	if err != nil {
		t.scope.Counter("tlsReloadsFailed").Inc(1)
		t.log.WithError(err).WithField("certificate", t.files.Certificate).Error("Reloading the TLS files failed")
		return
	}
	t.current.Store(m)
	t.scope.Counter("tlsReloads").Inc(1)
	t.log.WithField("certificate", t.files.Certificate).Info("TLS files reloaded")
}

// Server returns a configuration for listeners. If there is an authority, it requires a client certificate signed by it.
func (t *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return t.current.Load().server(), nil
		},
	}
}

// server returns the configuration of one accepted connection.
func (m *credentials) server() *tls.Config {
	c := &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		// Without session resumption, every connection is verified against the current authority.
		SessionTicketsDisabled: true,
	}
	if m.authorities != nil {
		c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, m.authorities
	}
	return c
}

// Client returns a configuration for clients. It presents the certificate and requires a server certificate that is signed
// by the authority and valid for the DNS name.
func (t *Source) Client(name string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: name,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &t.current.Load().certificate, nil
		},
		// The standard verification uses a fixed set of CA certificates. VerifyConnection does the same checks with the
		// current set.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verify(state, t.current.Load().authorities, name)
		},
	}
}

// verify checks the certificate chain and the name of the server.
func verify(state tls.ConnectionState, authorities *x509.CertPool, name string) error {
	if len(state.PeerCertificates) == 0 {
		return oops.In("tls").Errorf("server presented no certificate")
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

// load reads the files that are set.
func load(files Files) (*credentials, error) {
	stamps, err := readFileStamps(files)
	if err != nil {
		return nil, err
	}
	m := &credentials{stamps: stamps}
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

// readFileStamps returns the stamps of the files, zero for those that are not set.
func readFileStamps(files Files) (stamps [3]fileStamp, err error) {
	for i, name := range []string{files.Certificate, files.Key, files.Authority} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return stamps, oops.In("tls").With("file", name).Wrap(err)
		}
		stamps[i] = fileStamp{size: info.Size(), modified: info.ModTime()}
	}
	return stamps, nil
}
