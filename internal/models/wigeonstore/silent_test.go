package wigeonstore_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"wigeonshift"
	"wigeonshift/internal/models/wigeonstore"
	"wigeonshift/internal/standin/wigeonplatform"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// silentConn is a connection that discards everything written to it once it is silent.
type silentConn struct {
	net.Conn
	silent *atomic.Bool
}

func (c *silentConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

var _ = Describe("Silent connections", func() {
	It("fails one call, and later calls use new connections", func() {
		core := wigeonplatform.NewCore()
		server, _ := startPlatform(core)
		isSilent := &atomic.Bool{}
		var dials atomic.Int64
		store := wigeonstore.NewTransport("http://"+server.Address(), wigeonstore.WithDial(func(address string) (net.Conn, error) {
			dials.Add(1)
			c, err := net.Dial("tcp", address)
			// Only connections dialed before isSilent is set become silent.
			silent := &atomic.Bool{}
			if !isSilent.Load() {
				silent = isSilent
			}
			return &silentConn{Conn: c, silent: silent}, err
		}))
		// Concurrent calls leave several idle connections in the pool.
		core.SetFaults(wigeonplatform.Faults{LatencyMS: 500})
		var wg sync.WaitGroup
		errs := make([]error, 4)
		for i := range errs {
			wg.Go(func() { _, errs[i] = store.Scan(context.Background(), "", "", 1) })
		}
		wg.Wait()
		Expect(errs).To(HaveEach(BeNil()))
		Expect(dials.Load()).To(BeEquivalentTo(4))
		core.SetFaults(wigeonplatform.Faults{})
		isSilent.Store(true)

		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_, err := store.Commit(ctx, insert("k", "v"))
		Expect(err).To(MatchError(wigeonshift.ErrOutcomeUnknown))
		ctx, cancel = context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err = wigeonstore.CommitWithReadBack(ctx, store, insert("k", "v"), hasValue(store, "k", "v"))
		Expect(err).NotTo(HaveOccurred())
		Expect(dials.Load()).To(BeEquivalentTo(5), "one new connection in addition to the old ones")
	})
})
