package wigeontls_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"wigeonshift/internal/modules/wigeontls"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var suiteT *testing.T

func TestWigeontls(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeontls")
}

// authority is a CA for tests.
type authority struct {
	g    *WithT
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(g *WithT) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: "ca"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	g.Expect(err).NotTo(HaveOccurred())
	cert, err := x509.ParseCertificate(der)
	g.Expect(err).NotTo(HaveOccurred())
	return &authority{g: g, cert: cert, key: key}
}

// issue creates a certificate for a name and writes it, its key and the certificate of the trusted CA to files.
func (a *authority) issue(f wigeontls.Files, name string, trusted *authority) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.g.Expect(err).NotTo(HaveOccurred())
	der, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.cert, &key.PublicKey, a.key)
	a.g.Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalECPrivateKey(key)
	a.g.Expect(err).NotTo(HaveOccurred())
	for file, block := range map[string]*pem.Block{
		f.Certificate: {Type: "CERTIFICATE", Bytes: der}, f.Key: {Type: "EC PRIVATE KEY", Bytes: keyDER},
		f.Authority: {Type: "CERTIFICATE", Bytes: trusted.cert.Raw},
	} {
		a.g.Expect(os.WriteFile(file, pem.EncodeToMemory(block), 0o600)).To(Succeed())
		a.g.Expect(os.Chtimes(file, time.Now(), time.Now())).To(Succeed())
	}
}

// handshake performs a TLS handshake between two identities and returns the errors of both sides.
func handshake(server, client *wigeontls.Source) (serverErr, clientErr error) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	// A pipe has no buffer, so an alert would block while the server is still writing. The deadline prevents a hang.
	for _, c := range []net.Conn{a, b} {
		if err := c.SetDeadline(time.Now().Add(time.Second)); err != nil {
			return err, err
		}
	}
	done := make(chan error, 1)
	go func() {
		s := tls.Server(b, server.Server())
		err := s.Handshake()
		if err == nil {
			_, err = s.Write([]byte{1})
		}
		b.Close()
		done <- err
	}()
	c := tls.Client(a, client.Client(wigeontls.DefaultPeerName))
	clientErr = c.Handshake()
	if clientErr == nil {
		_, clientErr = c.Read(make([]byte, 1))
	}
	a.Close()
	return <-done, clientErr
}

var _ = Describe("TLS source", func() {
	It("requires certificates of the CA from both sides and reloads changed files", func() {
		dir := GinkgoT().TempDir()
		files := func(name string) wigeontls.Files {
			return wigeontls.Files{
				Certificate: filepath.Join(dir, name+".crt"), Key: filepath.Join(dir, name+".key"), Authority: filepath.Join(dir, name+".ca"),
			}
		}
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			ca, other := newAuthority(g), newAuthority(g)
			load := func(name, dnsName string, signer, trusts *authority) *wigeontls.Source {
				signer.issue(files(name), dnsName, trusts)
				s, err := wigeontls.New(files(name))
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(s.Start(t.Context())).To(Succeed())
				return s
			}
			a := load("a", wigeontls.DefaultPeerName, ca, ca)
			b := load("b", wigeontls.DefaultPeerName, ca, ca)
			serverErr, clientErr := handshake(a, b)
			g.Expect(serverErr).NotTo(HaveOccurred())
			g.Expect(clientErr).NotTo(HaveOccurred())

			untrusted := load("untrusted", wigeontls.DefaultPeerName, other, ca)
			serverErr, _ = handshake(a, untrusted)
			g.Expect(serverErr).To(HaveOccurred(), "a client certificate of another CA")
			_, clientErr = handshake(untrusted, a)
			g.Expect(clientErr).To(HaveOccurred(), "a server certificate of another CA")
			faulty := load("faulty", wigeontls.DefaultPeerName, other, other)
			misnamed := load("misnamed", "elsewhere", ca, ca)
			_, clientErr = handshake(misnamed, a)
			g.Expect(clientErr).To(HaveOccurred(), "a server certificate for another name")

			time.Sleep(time.Minute)
			other.issue(files("a"), wigeontls.DefaultPeerName, other)
			other.issue(files("b"), wigeontls.DefaultPeerName, other)
			g.Expect(os.WriteFile(files("faulty").Key, []byte("no key"), 0o600)).To(Succeed())
			time.Sleep(6 * time.Second)
			serverErr, clientErr = handshake(a, b)
			g.Expect(serverErr).NotTo(HaveOccurred())
			g.Expect(clientErr).NotTo(HaveOccurred())
			serverErr, _ = handshake(a, misnamed)
			g.Expect(serverErr).To(HaveOccurred(), "the previous CA is no longer trusted")
			serverErr, _ = handshake(a, faulty)
			g.Expect(serverErr).NotTo(HaveOccurred(), "an invalid file leaves the previous identity in use")
			for _, s := range []*wigeontls.Source{a, b, untrusted, faulty, misnamed} {
				g.Expect(s.Stop(t.Context())).To(Succeed())
			}
		})
		_, err := wigeontls.New(files("missing"))
		Expect(err).To(MatchError(os.ErrNotExist))
	})
})
