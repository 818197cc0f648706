package wigeonstore_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"net/http/httptest"

	"wigeonshift"
	"wigeonshift/internal/models/wigeonstore"
	"wigeonshift/internal/standin/wigeonplatform"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("TLS", func() {
	It("calls a platform with a trusted certificate, and proves that it sent nothing to an untrusted one", func() {
		issued := httptest.NewTLSServer(nil)
		issued.Close()
		trusted := x509.NewCertPool()
		trusted.AddCert(issued.Certificate())
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := wigeonplatform.NewServer(wigeonplatform.NewCore(), l, wigeonplatform.WithTLS(issued.TLS.Clone()))
		ctx := context.Background()
		Expect(server.Start(ctx)).To(Succeed())
		DeferCleanup(func() { Expect(server.Stop(ctx)).To(Succeed()) })

		base := "https://" + server.Address()
		store := wigeonstore.NewTransport(base, wigeonstore.WithTLS(&tls.Config{RootCAs: trusted, MinVersion: tls.VersionTLS12}))
		_, err = store.Commit(ctx, insert("k", "v"))
		Expect(err).NotTo(HaveOccurred())
		Expect(store.Get(ctx, "k")).To(HaveField("Value", []byte("v")))

		_, err = wigeonstore.NewTransport(base).Commit(ctx, insert("k2", "v"))
		Expect(err).To(MatchError(wigeonshift.ErrUnavailable))
		Expect(errors.Is(err, wigeonshift.ErrOutcomeUnknown)).To(BeFalse())
	})
})
