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

// network is a fake peer network and membership. It records what the broker sends and answers with respond.
type network struct {
	handler    wigeonshift.PeerHandler
	onPeerLost func(wigeonshift.Instance)
	mu         sync.Mutex
	sent       []sent
	// respond returns a peer's answer to a message. A nil func or answer sends nothing.
	respond func(to wigeonshift.Instance, m wigeonshift.PeerMessage) wigeonshift.PeerMessage
}

type sent struct {
	to wigeonshift.Instance
	m  wigeonshift.PeerMessage
}

func (n *network) Self() wigeonshift.Instance                                   { return wigeonshift.Instance{ID: "self"} }
func (n *network) Subscribe(h wigeonshift.PeerHandler)                          { n.handler = h }
func (n *network) SubscribePeerLost(h func(i wigeonshift.Instance))             { n.onPeerLost = h }
func (n *network) Live() []wigeonshift.Instance                                 { return []wigeonshift.Instance{a, b, c} }
func (n *network) Changed() <-chan struct{}                                     { return nil }
func (n *network) deliver(from wigeonshift.Instance, m wigeonshift.PeerMessage) { n.handler(from, m) }

func (n *network) Send(_ context.Context, to wigeonshift.Instance, m wigeonshift.PeerMessage) error {
	n.mu.Lock()
	n.sent = append(n.sent, sent{to, m})
	n.mu.Unlock()
	if n.respond != nil {
		if reply := n.respond(to, m); reply != nil {
			go n.deliver(to, reply)
		}
	}
	return nil
}

// singleShardSource is the source of a configuration with one shard, shardID.
type singleShardSource struct{}

func (singleShardSource) Changed() <-chan struct{} { return nil }
func (singleShardSource) Current() *wigeonshift.Configuration {
	return &wigeonshift.Configuration{Products: map[string]wigeonshift.Product{"p": {
		Services: map[string]wigeonshift.Service{"s": {Endpoints: map[string]wigeonshift.EndpointSpec{"e": {Region: "r"}}}},
	}}}
}

func (n *network) clearSent() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent = nil
}

// messagesTo returns the messages of type M that were sent to an instance.
func messagesTo[M wigeonshift.PeerMessage](n *network, to wigeonshift.Instance) []M {
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

// withBroker runs a test with a started broker in virtual time.
func withBroker(test func(g *WithT, n *network, br *wigeonbroker.Broker)) {
	synctest.Test(suiteT, func(t *testing.T) {
		g, n := NewWithT(t), &network{}
		br := wigeonbroker.New(n, n, wigeonplatform.NewCore(), wigeonbroker.WithConfiguration(singleShardSource{}))
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
	It("rejects and returns permits of an old epoch and reports running attempts to the new owner", func() {
		withBroker(func(g *WithT, n *network, br *wigeonbroker.Broker) {
			n.respond = func(to wigeonshift.Instance, m wigeonshift.PeerMessage) wigeonshift.PeerMessage {
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
			first, err := br.RequestPermit(ctx, wigeonshift.PermitRequest{ID: "r1", Shard: shardID})
			g.Expect(err).NotTo(HaveOccurred())
			second, err := br.RequestPermit(ctx, wigeonshift.PermitRequest{ID: "r2", Shard: shardID})
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(time.Second)
			g.Expect(messagesTo[wigeonshift.PermitAsk](n, a)).To(HaveLen(2))
			n.deliver(a, grant(1, "r1", "t1"))
			g.Expect((<-first.Answers()).Grant.Token).To(BeEquivalentTo("t1"))
			first.Report(wigeonshift.AttemptReport{Request: "r1", Shard: shardID, State: wigeonshift.AttemptStarted})

			n.clearSent()
			n.deliver(b, notice(2, b))
			running := messagesTo[wigeonshift.RunningNotice](n, b)
			g.Expect(running).To(HaveLen(1))
			g.Expect(running[0].Attempts).To(HaveLen(1))
			g.Expect(running[0].Attempts[0].Token).To(BeEquivalentTo("t1"))
			g.Expect(messagesTo[wigeonshift.PermitAsk](n, b)).To(HaveLen(1), "only the waiting request is asked again")

			n.deliver(a, grant(1, "r2", "stale"))
			g.Expect(second.Answers()).NotTo(Receive())
			g.Expect(messagesTo[wigeonshift.PermitCancel](n, a)).To(HaveLen(1), "the grant of the old epoch is returned")
			n.deliver(a, notice(1, a))
			n.deliver(b, grant(2, "r2", "t2"))
			n.deliver(b, grant(2, "r2", "t2"))
			g.Expect((<-second.Answers()).Grant.Token).To(BeEquivalentTo("t2"))
			g.Expect(second.Answers()).NotTo(Receive(), "a repeated grant is delivered once")
			second.Close()
			g.Expect(messagesTo[wigeonshift.PermitCancel](n, b)).To(HaveLen(1), "an unused grant is returned")
		})
	})

	It("keeps final reports for the next owner after the owner is lost", func() {
		withBroker(func(g *WithT, n *network, br *wigeonbroker.Broker) {
			s, err := br.RequestPermit(ctx, wigeonshift.PermitRequest{ID: "r1", Shard: shardID})
			g.Expect(err).NotTo(HaveOccurred())
			n.deliver(a, notice(1, a))
			n.deliver(a, grant(1, "r1", "t1"))
			<-s.Answers()
			s.Report(wigeonshift.AttemptReport{Request: "r1", Shard: shardID, State: wigeonshift.AttemptStarted})
			n.onPeerLost(a)
			s.Report(wigeonshift.AttemptReport{Request: "r1", Shard: shardID, State: wigeonshift.AttemptLost})
			s.Close()
			g.Expect(messagesTo[wigeonshift.AttemptNotice](n, a)).To(HaveLen(1))
			n.deliver(b, notice(2, b))
			reports := messagesTo[wigeonshift.AttemptNotice](n, b)
			g.Expect(reports).To(HaveLen(1))
			g.Expect(reports[0].Report.State).To(Equal(wigeonshift.AttemptLost))
		})
	})

	It("gives up after the timeout and limits its messages when instances redirect in a circle", func() {
		withBroker(func(g *WithT, n *network, br *wigeonbroker.Broker) {
			next := map[string]wigeonshift.Instance{"a": b, "b": c, "c": a}
			n.respond = func(to wigeonshift.Instance, m wigeonshift.PeerMessage) wigeonshift.PeerMessage {
				return wigeonshift.NotOwner{Shard: shardID, Owner: next[to.ID]}
			}
			start := time.Now()
			s, err := br.RequestPermit(ctx, wigeonshift.PermitRequest{ID: "r1", Shard: shardID})
			g.Expect(err).NotTo(HaveOccurred())
			_, ok := <-s.Answers()
			g.Expect(ok).To(BeFalse())
			g.Expect(time.Since(start)).To(BeNumerically("~", 8*time.Second, 200*time.Millisecond))
			// At most one OwnerAsk per 100 ms, each followed by up to three redirects.
			n.mu.Lock()
			count := len(n.sent)
			n.mu.Unlock()
			g.Expect(count).To(BeNumerically("<=", 80*4))
			second, err := br.RequestPermit(ctx, wigeonshift.PermitRequest{ID: "r2", Shard: shardID})
			g.Expect(err).NotTo(HaveOccurred())
			s.Close()
			_, ok = <-second.Answers()
			g.Expect(ok).To(BeFalse())
		})
	})

	It("moves requests of a shard that was removed from the configuration to another shard of the pool", func() {
		withBroker(func(g *WithT, n *network, br *wigeonbroker.Broker) {
			s, err := br.RequestPermit(ctx, wigeonshift.PermitRequest{ID: "r1", Shard: "p/s/r/1"})
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(time.Second)
			g.Expect(*(<-s.Answers()).Spill).To(Equal(shardID))
			s.Close()
		})
	})

	It("sends requests with a common prefix to one shard and moves few of them when a shard is added", func() {
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
