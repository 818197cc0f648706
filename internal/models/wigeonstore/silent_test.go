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

// silenceable is a connection that swallows both ways once it is silent.
type silenceable struct {
	net.Conn
	silent *atomic.Bool
}

func (c *silenceable) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

var _ = Describe("Silent connections", func() {
	It("costs one call, and later ones use fresh connections", func() {
		core := wigeonplatform.NewCore()
		server, _ := serve(core)
		old := &atomic.Bool{}
		var dials atomic.Int64
		store := wigeonstore.NewTransport("http://"+server.Address(), wigeonstore.WithDial(func(address string) (net.Conn, error) {
			dials.Add(1)
			c, err := net.Dial("tcp", address)
			// Only connections made before the silence fall silent.
			silent := &atomic.Bool{}
			if !old.Load() {
				silent = old
			}
			return &silenceable{Conn: c, silent: silent}, err
		}))
		// Several connections wait idle in the pool.
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
		old.Store(true)

		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_, err := store.Commit(ctx, insert("k", "v"))
		Expect(err).To(MatchError(wigeonshift.ErrOutcomeUnknown))
		ctx, cancel = context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err = wigeonstore.CommitSettled(ctx, store, insert("k", "v"), holds(store, "k", "v"))
		Expect(err).NotTo(HaveOccurred())
		Expect(dials.Load()).To(BeEquivalentTo(5), "a fresh dial beside the old connections")
	})
})
