package wigeonstore_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"wigeonshift"
	"wigeonshift/internal/models/wigeonstore"
	"wigeonshift/internal/standin/wigeonplatform"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
)

var suiteT *testing.T

func TestWigeonstore(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeonstore")
}

// insert returns a transaction that takes effect only once.
func insert(key, value string) wigeonshift.Transaction {
	return wigeonshift.Transaction{
		Conditions: []wigeonshift.Condition{{Key: key}},
		Writes:     []wigeonshift.Write{{Key: key, Value: []byte(value)}},
	}
}

// hasValue returns an isApplied function that checks whether a key has a value.
func hasValue(table wigeonshift.Table, key, value string) func(context.Context) (bool, error) {
	return func(ctx context.Context) (bool, error) {
		row, err := table.Get(ctx, key)
		if errors.Is(err, wigeonshift.ErrNotFound) {
			return false, nil
		}
		return string(row.Value) == value, err
	}
}

var _ = Describe("Guard", func() {
	It("opens the circuit breaker in an outage, returns errors that prove no effect, and closes it again", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			core := wigeonplatform.NewCore()
			store := wigeonstore.New(core, wigeonstore.WithBreaker(3, time.Second))
			core.SetFaults(wigeonplatform.Faults{Outage: true})
			for range 20 {
				_, err := store.Commit(t.Context(), insert("k", "v"))
				g.Expect(err).To(MatchError(wigeonshift.ErrUnavailable))
				g.Expect(errors.Is(err, wigeonshift.ErrOutcomeUnknown)).To(BeFalse())
			}
			g.Expect(core.Counts().Writes).To(BeNumerically("<", 20), "an open circuit breaker must not call the platform")
			core.SetFaults(wigeonplatform.Faults{})
			time.Sleep(1100 * time.Millisecond)
			_, err := store.Commit(t.Context(), insert("k", "v"))
			g.Expect(err).NotTo(HaveOccurred())
		})
	})

	It("ends unanswered calls at the deadline and never retries a write with an unknown outcome", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			core := wigeonplatform.NewCore()
			store := wigeonstore.New(core, wigeonstore.WithCallTimeout(time.Second))
			core.SetFaults(wigeonplatform.Faults{Silent: true})
			start := time.Now()
			_, err := store.Commit(t.Context(), insert("k", "v"))
			g.Expect(err).To(MatchError(wigeonshift.ErrOutcomeUnknown))
			g.Expect(time.Since(start)).To(Equal(time.Second))
			g.Expect(core.Counts().Writes).To(BeEquivalentTo(1))
			ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
			defer cancel()
			_, err = store.Get(ctx, "k")
			g.Expect(err).To(MatchError(wigeonshift.ErrUnavailable))
			g.Expect(time.Since(start)).To(BeNumerically("<=", 2500*time.Millisecond))
		})
	})

	It("enforces its rate limits", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			core := wigeonplatform.NewCore()
			store := wigeonstore.New(core, wigeonstore.WithRateLimits(10, 5, 1))
			start := time.Now()
			for range 20 {
				_, err := store.Get(t.Context(), "k")
				g.Expect(err).To(MatchError(wigeonshift.ErrNotFound))
			}
			g.Expect(time.Since(start)).To(BeNumerically(">=", 1900*time.Millisecond))
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
			defer cancel()
			_, err := store.Get(ctx, "k")
			g.Expect(err).To(MatchError(wigeonshift.ErrThrottled))
		})
	})
})

var _ = Describe("CommitWithReadBack", func() {
	DescribeTable("resolves a lost response", func(f wigeonplatform.Faults) {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			core := wigeonplatform.NewCore()
			core.SetFaults(f)
			_, err := wigeonstore.CommitWithReadBack(t.Context(), core, insert("k", "mine"), hasValue(core, "k", "mine"))
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(10 * time.Second)
			row, err := core.Get(t.Context(), "k")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(row.Value)).To(Equal("mine"))
			g.Expect(core.Scan(t.Context(), "", "", 10)).To(HaveLen(1))
		})
	},
		Entry("effect before the error", wigeonplatform.Faults{LoseNext: 1}),
		Entry("effect long after the error", wigeonplatform.Faults{LoseNext: 1, LateByMS: 5000}),
		Entry("several lost in a row", wigeonplatform.Faults{LoseNext: 4, LateByMS: 700}),
	)

	It("distinguishes a conflicting write from its own effect", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			core := wigeonplatform.NewCore()
			_, err := core.Commit(t.Context(), insert("k", "theirs"))
			g.Expect(err).NotTo(HaveOccurred())
			core.SetFaults(wigeonplatform.Faults{LoseNext: 2})
			_, err = wigeonstore.CommitWithReadBack(t.Context(), core, insert("k", "mine"), hasValue(core, "k", "mine"))
			g.Expect(err).To(MatchError(wigeonshift.ErrConditionFailed))
		})
	})

	It("reports an unknown outcome if an outage lasts until the context ends", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			core := wigeonplatform.NewCore()
			core.SetFaults(wigeonplatform.Faults{LoseNext: 1})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			time.AfterFunc(10*time.Millisecond, func() { core.SetFaults(wigeonplatform.Faults{Outage: true}) })
			_, err := wigeonstore.CommitWithReadBack(ctx, core, insert("k", "mine"), hasValue(core, "k", "mine"))
			g.Expect(err).To(MatchError(wigeonshift.ErrOutcomeUnknown))
		})
	})
})

// startPlatform starts a stand-in platform on a loopback port and returns it with a transport to it.
func startPlatform(core *wigeonplatform.Core) (*wigeonplatform.Server, *wigeonstore.Transport) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	log := logrus.New()
	log.SetOutput(GinkgoWriter)
	server := wigeonplatform.NewServer(core, l, wigeonplatform.WithLogger(log))
	Expect(server.Start(context.Background())).To(Succeed())
	DeferCleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		Expect(server.Stop(ctx)).To(Succeed())
	})
	return server, wigeonstore.NewTransport("http://" + server.Address())
}

var _ = Describe("Transport", func() {
	ctx := context.Background()

	It("makes every call over HTTP", func() {
		_, store := startPlatform(wigeonplatform.NewCore(wigeonplatform.WithListLag(0), wigeonplatform.WithWeightSlot(time.Hour)))
		_, err := store.Get(ctx, "a/1")
		Expect(err).To(MatchError(wigeonshift.ErrNotFound))
		revisions, err := store.Commit(ctx, insert("a/1", "x"))
		Expect(err).NotTo(HaveOccurred())
		Expect(store.Get(ctx, "a/1")).To(Equal(wigeonshift.Row{Key: "a/1", Value: []byte("x"), Revision: revisions[0]}))
		_, err = store.Commit(ctx, insert("a/1", "y"))
		Expect(err).To(MatchError(wigeonshift.ErrConditionFailed))
		_, err = store.Commit(ctx, insert("a/2", "z"))
		Expect(err).NotTo(HaveOccurred())
		Expect(store.Scan(ctx, "a/", "a/1", 9)).To(ConsistOf(HaveField("Key", "a/2")))
		Expect(store.PutObject(ctx, "o", []byte{0, 1})).To(Succeed())
		Expect(store.GetObject(ctx, "o")).To(Equal([]byte{0, 1}))
		Expect(store.ListObjects(ctx, "", "", 9)).To(Equal([]string{"o"}))
		Expect(store.DeleteObject(ctx, "o")).To(Succeed())
		_, err = store.GetObject(ctx, "o")
		Expect(err).To(MatchError(wigeonshift.ErrNotFound))
		Expect(store.Reserve(ctx, "m")).To(BeZero())
		Expect(store.Reserve(ctx, "m")).To(BeNumerically(">", time.Minute))
	})

	It("distinguishes proof of no effect from an unknown outcome", func() {
		core := wigeonplatform.NewCore()
		server, store := startPlatform(core)
		core.SetFaults(wigeonplatform.Faults{LoseNext: 1})
		_, err := store.Commit(ctx, insert("k", "v"))
		Expect(err).To(MatchError(wigeonshift.ErrOutcomeUnknown))
		Expect(store.Get(ctx, "k")).To(HaveField("Value", []byte("v")))
		core.SetFaults(wigeonplatform.Faults{Outage: true})
		_, err = store.Commit(ctx, insert("k2", "v"))
		Expect(err).To(MatchError(wigeonshift.ErrUnavailable))
		core.SetFaults(wigeonplatform.Faults{WritesPerSecond: 0.001})
		_, _ = store.Commit(ctx, insert("k3", "v"))
		_, err = store.Commit(ctx, insert("k4", "v"))
		Expect(err).To(MatchError(wigeonshift.ErrThrottled))
		core.SetFaults(wigeonplatform.Faults{Silent: true})
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err = store.Commit(short, insert("k5", "v"))
		Expect(err).To(MatchError(wigeonshift.ErrOutcomeUnknown))
		core.SetFaults(wigeonplatform.Faults{})

		closed, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		closed.Close()
		_, err = wigeonstore.NewTransport("http://"+closed.Addr().String()).Commit(ctx, insert("k", "v"))
		Expect(err).To(MatchError(wigeonshift.ErrUnavailable), "nothing listens")
		Expect(server.Address()).NotTo(BeEmpty())
	})

	It("lists registered instances after the lag and removes stopped ones", func() {
		core := wigeonplatform.NewCore(wigeonplatform.WithListLag(0))
		server, store := startPlatform(core)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		i := wigeonshift.Instance{ID: "i/1", Address: l.Addr().String(), Zone: "z", Region: "r"}
		Expect(wigeonplatform.RegisterInstance(ctx, "http://"+server.Address(), i)).To(Succeed())
		i.State = wigeonshift.InstanceLive
		Expect(store.Instances(ctx)).To(Equal([]wigeonshift.Instance{i}))
		l.Close()
		Eventually(func() ([]wigeonshift.Instance, error) { return store.Instances(ctx) }).
			WithTimeout(20 * time.Second).Should(BeEmpty())
	})
})
