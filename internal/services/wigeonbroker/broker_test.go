package wigeonbroker_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonbroker"
	"wigeonshift/internal/standin/wigeonplatform"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var suiteT *testing.T

func TestWigeonbroker(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeonbroker")
}

const shardID = wigeonshift.ShardID("p/s/r/0")

var (
	ctx     = context.Background()
	a, b, c = wigeonshift.Instance{ID: "a"}, wigeonshift.Instance{ID: "b"}, wigeonshift.Instance{ID: "c"}
)

// network records what the broker sends and plays the peers.
type network struct {
	handler wigeonshift.PeerHandler
	lost    func(wigeonshift.Instance)
	mu      sync.Mutex
	sent    []sent
	// answer plays a peer; nil stays silent.
	answer func(to wigeonshift.Instance, m wigeonshift.PeerMessage) wigeonshift.PeerMessage
}

type sent struct {
	to wigeonshift.Instance
	m  wigeonshift.PeerMessage
}

func (n *network) Self() wigeonshift.Instance                                   { return wigeonshift.Instance{ID: "self"} }
func (n *network) Subscribe(h wigeonshift.PeerHandler)                          { n.handler = h }
func (n *network) SubscribeLost(h func(i wigeonshift.Instance))                 { n.lost = h }
func (n *network) Live() []wigeonshift.Instance                                 { return []wigeonshift.Instance{a, b, c} }
func (n *network) Changed() <-chan struct{}                                     { return nil }
func (n *network) deliver(from wigeonshift.Instance, m wigeonshift.PeerMessage) { n.handler(from, m) }

func (n *network) Send(_ context.Context, to wigeonshift.Instance, m wigeonshift.PeerMessage) error {
	n.mu.Lock()
	n.sent = append(n.sent, sent{to, m})
	n.mu.Unlock()
	if n.answer != nil {
		if reply := n.answer(to, m); reply != nil {
			go n.deliver(to, reply)
		}
	}
	return nil
}

// onePool is a configuration with one shard.
type onePool struct{}

func (onePool) Changed() <-chan struct{} { return nil }
func (onePool) Current() *wigeonshift.Configuration {
	return &wigeonshift.Configuration{Products: map[string]wigeonshift.Product{"p": {
		Services: map[string]wigeonshift.Service{"s": {Endpoints: map[string]wigeonshift.EndpointSpec{"e": {Region: "r"}}}},
	}}}
}

// forget drops what was sent so far.
func (n *network) forget() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent = nil
}

// of returns the messages of one type sent to an instance.
func of[M wigeonshift.PeerMessage](n *network, to wigeonshift.Instance) []M {
	n.mu.Lock()
	defer n.mu.Unlock()
	var found []M
	for _, s := range n.sent {
		if m, ok := s.m.(M); ok && s.to.ID == to.ID {
			found = append(found, m)
		}
	}
	return found
}

func run(test func(g *WithT, n *network, br *wigeonbroker.Broker)) {
	synctest.Test(suiteT, func(t *testing.T) {
		g, n := NewWithT(t), &network{}
		br := wigeonbroker.New(n, n, wigeonplatform.NewCore(), wigeonbroker.WithConfiguration(onePool{}))
		g.Expect(br.Start(ctx)).To(Succeed())
		test(g, n, br)
		g.Expect(br.Stop(ctx)).To(Succeed())
		synctest.Wait()
	})
}

func grant(epoch uint64, r wigeonshift.RequestID, token wigeonshift.AttemptToken) wigeonshift.PermitReply {
	return wigeonshift.PermitReply{Shard: shardID, Request: r, Epoch: epoch, Answer: wigeonshift.PermitAnswer{
		Grant: &wigeonshift.Permit{Request: r, Shard: shardID, Epoch: epoch, Endpoint: "e", Token: token},
	}}
}

func notice(epoch uint64, owner wigeonshift.Instance) wigeonshift.OwnerNotice {
	return wigeonshift.OwnerNotice{Shard: shardID, Epoch: epoch, Owner: owner}
}

var _ = Describe("Broker", func() {
	It("rejects permits of an old epoch, gives them back and moves what runs to the new owner", func() {
		run(func(g *WithT, n *network, br *wigeonbroker.Broker) {
			n.answer = func(to wigeonshift.Instance, m wigeonshift.PeerMessage) wigeonshift.PeerMessage {
				switch m.(type) {
				case wigeonshift.OwnerAsk:
					if to.ID == a.ID {
						return notice(1, a)
					}
					return wigeonshift.NotOwner{Shard: shardID, Owner: a}
				default:
					return nil
				}
			}
			first, err := br.Ask(ctx, wigeonshift.PermitRequest{ID: "r1", Shard: shardID})
			g.Expect(err).NotTo(HaveOccurred())
			second, err := br.Ask(ctx, wigeonshift.PermitRequest{ID: "r2", Shard: shardID})
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(time.Second)
			g.Expect(of[wigeonshift.PermitAsk](n, a)).To(HaveLen(2))
			n.deliver(a, grant(1, "r1", "t1"))
			g.Expect((<-first.Answers()).Grant.Token).To(BeEquivalentTo("t1"))
			first.Report(wigeonshift.AttemptReport{Request: "r1", Shard: shardID, State: wigeonshift.AttemptStarted})

			n.forget()
			n.deliver(b, notice(2, b))
			running := of[wigeonshift.RunningNotice](n, b)
			g.Expect(running).To(HaveLen(1))
			g.Expect(running[0].Attempts).To(HaveLen(1))
			g.Expect(running[0].Attempts[0].Token).To(BeEquivalentTo("t1"))
			g.Expect(of[wigeonshift.PermitAsk](n, b)).To(HaveLen(1), "only what waits is asked again")

			n.deliver(a, grant(1, "r2", "stale"))
			g.Expect(second.Answers()).NotTo(Receive())
			g.Expect(of[wigeonshift.PermitCancel](n, a)).To(HaveLen(1), "the stale grant goes back")
			n.deliver(a, notice(1, a))
			n.deliver(b, grant(2, "r2", "t2"))
			n.deliver(b, grant(2, "r2", "t2"))
			g.Expect((<-second.Answers()).Grant.Token).To(BeEquivalentTo("t2"))
			g.Expect(second.Answers()).NotTo(Receive(), "a repeated grant is delivered once")
			second.Close()
			g.Expect(of[wigeonshift.PermitCancel](n, b)).To(HaveLen(1), "an unspent grant goes back")
		})
	})

	It("keeps final reports for the next owner", func() {
		run(func(g *WithT, n *network, br *wigeonbroker.Broker) {
			s, err := br.Ask(ctx, wigeonshift.PermitRequest{ID: "r1", Shard: shardID})
			g.Expect(err).NotTo(HaveOccurred())
			n.deliver(a, notice(1, a))
			n.deliver(a, grant(1, "r1", "t1"))
			<-s.Answers()
			s.Report(wigeonshift.AttemptReport{Request: "r1", Shard: shardID, State: wigeonshift.AttemptStarted})
			n.lost(a)
			s.Report(wigeonshift.AttemptReport{Request: "r1", Shard: shardID, State: wigeonshift.AttemptLost})
			s.Close()
			g.Expect(of[wigeonshift.AttemptNotice](n, a)).To(HaveLen(1))
			n.deliver(b, notice(2, b))
			reports := of[wigeonshift.AttemptNotice](n, b)
			g.Expect(reports).To(HaveLen(1))
			g.Expect(reports[0].Report.State).To(Equal(wigeonshift.AttemptLost))
		})
	})

	It("gives up in time and bounds its questions when instances name each other", func() {
		run(func(g *WithT, n *network, br *wigeonbroker.Broker) {
			next := map[string]wigeonshift.Instance{"a": b, "b": c, "c": a}
			n.answer = func(to wigeonshift.Instance, m wigeonshift.PeerMessage) wigeonshift.PeerMessage {
				return wigeonshift.NotOwner{Shard: shardID, Owner: next[to.ID]}
			}
			start := time.Now()
			s, err := br.Ask(ctx, wigeonshift.PermitRequest{ID: "r1", Shard: shardID})
			g.Expect(err).NotTo(HaveOccurred())
			_, ok := <-s.Answers()
			g.Expect(ok).To(BeFalse())
			g.Expect(time.Since(start)).To(BeNumerically("~", 8*time.Second, 200*time.Millisecond))
			// One question each 100 ms at most, and three redirects after each.
			n.mu.Lock()
			count := len(n.sent)
			n.mu.Unlock()
			g.Expect(count).To(BeNumerically("<=", 80*4))
			second, err := br.Ask(ctx, wigeonshift.PermitRequest{ID: "r2", Shard: shardID})
			g.Expect(err).NotTo(HaveOccurred())
			s.Close()
			_, ok = <-second.Answers()
			g.Expect(ok).To(BeFalse())
		})
	})

	It("passes requests of a shard that the configuration no longer has to its pool", func() {
		run(func(g *WithT, n *network, br *wigeonbroker.Broker) {
			s, err := br.Ask(ctx, wigeonshift.PermitRequest{ID: "r1", Shard: "p/s/r/1"})
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(time.Second)
			g.Expect(*(<-s.Answers()).Spill).To(Equal(shardID))
			s.Close()
		})
	})

	It("keeps requests with a common prefix at one shard and moves few when a shard is added", func() {
		shards := []wigeonshift.ShardID{"p/s/r/0", "p/s/r/1", "p/s/r/2", "p/s/r/3"}
		moved := 0
		for i := range wigeonshift.BlockHash(1000) {
			prefix := []wigeonshift.BlockHash{i * 7919, i}
			before := wigeonbroker.ChooseShard(shards[:3], prefix, 1)
			Expect(wigeonbroker.ChooseShard(shards[:3], prefix[:1], 2)).To(Equal(before))
			if after := wigeonbroker.ChooseShard(shards, prefix, 1); after != before {
				Expect(after).To(Equal(shards[3]))
				moved++
			}
		}
		Expect(moved).To(BeNumerically("~", 250, 75))
	})
})
