package wigeongateway_test

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonsetting"
	"wigeonshift/internal/routers/wigeongateway"
	"wigeonshift/platform"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
)

func TestGateway(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeongateway")
}

// blockingStore answers List and Commit at once and holds every Follow call for a fixed time, even if its context
// ends.
type blockingStore struct {
	holdDuration time.Duration
}

func (*blockingStore) Reconnect() {}

func (s *blockingStore) List(_ context.Context, table wigeonshift.RoutingTable) (wigeonshift.TablePage, error) {
	page := wigeonshift.TablePage{Revision: 1}
	if table == wigeonshift.TableConfiguration {
		page.Rows = []wigeonshift.TableRow{{Key: "config", Value: []byte(`{"version":1}`), Revision: 1}}
	}
	return page, nil
}

func (s *blockingStore) Follow(
	context.Context, wigeonshift.RoutingTable, uint64, time.Duration,
) (wigeonshift.TablePage, error) {
	time.Sleep(s.holdDuration)
	return wigeonshift.TablePage{}, wigeonshift.ErrUnavailable
}

func (s *blockingStore) Commit(context.Context, wigeonshift.RoutingTable, wigeonshift.Transaction) (uint64, error) {
	return 0, nil
}

// maxPollHold is the longest time for which a staticStore holds a poll.
const maxPollHold = 300 * time.Millisecond

// staticStore lists fixed rows and has no changes. Without rows it is unavailable.
type staticStore struct {
	rows map[wigeonshift.RoutingTable][]wigeonshift.TableRow
	// era is the era that all pages tell; writes counts the writes of instance rows.
	era    atomic.Uint64
	writes atomic.Int32
}

func (*staticStore) Reconnect() {}

func (s *staticStore) List(_ context.Context, table wigeonshift.RoutingTable) (wigeonshift.TablePage, error) {
	if s.rows == nil {
		return wigeonshift.TablePage{}, wigeonshift.ErrUnavailable
	}
	return wigeonshift.TablePage{Rows: s.rows[table], Revision: 9, Era: s.era.Load()}, nil
}

func (s *staticStore) Follow(
	ctx context.Context, _ wigeonshift.RoutingTable, after uint64, wait time.Duration,
) (wigeonshift.TablePage, error) {
	select {
	case <-time.After(min(wait, maxPollHold)):
	case <-ctx.Done():
	}
	return wigeonshift.TablePage{Revision: after, Era: s.era.Load()}, nil
}

func (s *staticStore) Commit(_ context.Context, table wigeonshift.RoutingTable, _ wigeonshift.Transaction) (uint64, error) {
	if table == wigeonshift.TableInstances {
		s.writes.Add(1)
	}
	if s.rows == nil {
		return 0, wigeonshift.ErrUnavailable
	}
	return s.era.Load(), nil
}

// newGateway returns a gateway on free addresses that has not been started.
func newGateway(name, peer string, store wigeonshift.RoutingStore) *wigeongateway.Gateway {
	settings := wigeonsetting.DefaultRelay()
	settings.Node = wigeonsetting.RelayNode{Name: name, Zone: "z", Region: "r"}
	settings.Caller = wigeonsetting.RelayCaller{Listen: freeAddress(), Ready: freeAddress()}
	settings.Peer.Listen = peer
	settings.Drain.Timeout.Duration, settings.Drain.Notice.Duration = 3*time.Second, 50*time.Millisecond
	log := logrus.New()
	log.SetOutput(GinkgoWriter)
	return wigeongateway.New(settings, wigeongateway.Platform{
		Store: store, Codec: platform.Codec{}, Dialect: platform.Dialect{},
	}, log)
}

func freeAddress() string {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().String()
}

var _ = Describe("Stop", func() {
	// Guards against a stop that exceeds the drain timeout because it waits for a store call. In seed 35 of the soak test,
	// the store held such a call for 15 s.
	It("doesn't wait for calls that the store holds", func() {
		g := newGateway("n", freeAddress(), &blockingStore{holdDuration: 20 * time.Second})
		Expect(g.Start(context.Background())).To(Succeed())
		Eventually(g.Ready).Should(BeTrue())
		started := time.Now()
		Expect(g.Stop()).To(Succeed())
		Expect(time.Since(started)).To(BeNumerically("<", 3*time.Second))
	})
})

var _ = Describe("Return of the store from an older copy", func() {
	It("writes the instance's row again, which was lost", func() {
		store := &staticStore{rows: map[wigeonshift.RoutingTable][]wigeonshift.TableRow{}}
		g := newGateway("n", freeAddress(), store)
		Expect(g.Start(context.Background())).To(Succeed())
		DeferCleanup(g.Stop)
		Eventually(store.writes.Load).Should(BeNumerically(">", 0))
		Consistently(store.writes.Load, reregisterMaxDelay).Should(BeNumerically("<=", 2), "no loop while the row is missing")
		written := store.writes.Load()
		store.era.Add(1)
		Eventually(store.writes.Load).WithTimeout(10 * time.Second).Should(BeNumerically(">", written))
	})
})

// reregisterMaxDelay is a little more than the longest delay before an instance writes its row again.
const reregisterMaxDelay = 1200 * time.Millisecond

var _ = Describe("Start while the store is down", func() {
	// Guards against restarted instances that can't serve while the store is down. All instances were restarted one after
	// the other while the store didn't respond, and none served until it was back (inrap-lofts, mix --seed 514354062682).
	It("gets the configuration and the endpoints from a peer that knows an earlier instance at its address", func() {
		// The listener keeps the address from the peer, whose own listeners take any free port.
		reserved, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := reserved.Addr().String()
		earlier, err := json.Marshal(wigeonshift.Instance{ID: "earlier", Address: address, Zone: "z", Region: "r"})
		Expect(err).NotTo(HaveOccurred())
		peer := newGateway("older", freeAddress(), &staticStore{rows: map[wigeonshift.RoutingTable][]wigeonshift.TableRow{
			wigeonshift.TableConfiguration: {{Key: "config", Value: []byte(`{"version":1}`), Revision: 1}},
			wigeonshift.TableEndpoints: {
				{Key: "e", Value: []byte(`{"service":"s","address":"192.0.2.1:80","state":"ready"}`), Revision: 2},
			},
			wigeonshift.TableInstances: {{Key: "newer", Value: earlier, Revision: 3}},
		}})
		Expect(peer.Start(context.Background())).To(Succeed())
		DeferCleanup(peer.Stop)
		Eventually(peer.Ready).Should(BeTrue())
		restarted := newGateway("newer", address, &staticStore{})
		Expect(reserved.Close()).To(Succeed())
		Expect(restarted.Start(context.Background())).To(Succeed())
		DeferCleanup(restarted.Stop)
		Eventually(restarted.Ready).WithTimeout(5 * time.Second).Should(BeTrue())
		Expect(restarted.KnowsInstances()).To(BeTrue(), "they come with the endpoints")
	})
})
