package wigeonowner_test

import (
	"fmt"
	"testing"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonlease"
	"wigeonshift/internal/standin/wigeonplatform"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var suiteT *testing.T

func TestWigeonowner(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeonowner")
}

// requestPause is the pause between two requests of one caller.
const requestPause = 20 * time.Millisecond

// takeoverTarget is the longest time allowed from the kill of an owner until the new owner grants permits.
const takeoverTarget = 5 * time.Second

// plainConfiguration has one plain service with one endpoint.
var plainConfiguration = &wigeonshift.Configuration{Version: 1, Products: map[string]wigeonshift.Product{"p": {
	Tiers:         map[string]wigeonshift.Tier{"t": {}},
	Organisations: map[string]wigeonshift.Organisation{"o": {Tiers: []string{"t"}}},
	Services: map[string]wigeonshift.Service{"s": {Kind: wigeonshift.ServicePlain, Endpoints: map[string]wigeonshift.EndpointSpec{
		"r0": {Address: "r0:1", Region: "lima", State: wigeonshift.EndpointActive},
	}}},
}}}

var _ = Describe("Ownership", func() {
	It("grants permits to every node through one owner", func() {
		runCluster(3, func(l *localCluster) {
			l.owner()
			for _, n := range l.nodes {
				for range 5 {
					a, took, s := n.ask(5 * time.Second)
					l.g.Expect(a.Grant).NotTo(BeNil(), "%+v", a)
					l.g.Expect(took).To(BeNumerically("<", time.Second))
					finish(s, a.Grant)
				}
			}
		})
	})

	It("polls model engines but not plain services", func() {
		runCluster(1, func(l *localCluster) { l.g.Expect(l.engines.polls.Load()).To(BeNumerically(">", 0)) })
		runClusterWith(plainConfiguration, 1, func(l *localCluster) { l.g.Expect(l.engines.polls.Load()).To(BeZero()) })
	})

	It("uses a plain service again after a restart as soon as it gives any response", func() {
		runClusterWith(plainConfiguration, 1, func(l *localCluster) {
			l.engines.setLoadError(wigeonshift.ErrEndpointLost)
			a, _, s := l.nodes[0].askModel("", time.Second)
			l.g.Expect(a.Grant).NotTo(BeNil(), "%+v", a)
			s.Report(wigeonshift.AttemptReport{
				Request: a.Grant.Request, Shard: shardID, Token: a.Grant.Token, Endpoint: a.Grant.Endpoint,
				State: wigeonshift.AttemptNotRun, ConnectRefused: true,
			})
			s.Close()
			time.Sleep(30 * time.Second)
			a, _, s = l.nodes[0].askModel("", time.Second)
			l.g.Expect(a.Grant).To(BeNil())
			s.Close()
			l.engines.setLoadError(wigeonshift.ErrEndpointFailed)
			time.Sleep(30 * time.Second)
			a, _, s = l.nodes[0].askModel("", time.Second)
			l.g.Expect(a.Grant).NotTo(BeNil(), "%+v", a)
			s.Close()
		})
	})

	It("takes over from a killed owner within the target and refuses no request", func() {
		for range 5 {
			runCluster(4, func(l *localCluster) {
				owner, _ := l.owner()
				d := l.startLoad("m", requestPause, l.nodesExcept(owner)...)
				time.Sleep(2 * time.Second)
				owner.kill()
				time.Sleep(10 * time.Second)
				d.stopAndReport("kill of the owner")
				l.g.Expect(d.refused).To(BeZero())
				l.g.Expect(d.longestWait).To(BeNumerically("<", takeoverTarget))
				l.g.Expect(l.status().Epoch).To(Equal(l.epoch + 1))
			})
		}
	})

	It("takes over within the target in a large fleet, with rare list reads and no announcement to all", func() {
		var elsewhere []wigeonshift.Instance
		for i := range 3000 {
			elsewhere = append(elsewhere, wigeonshift.Instance{
				ID: fmt.Sprintf("far%d", i), Address: fmt.Sprintf("far%d:1", i), Region: "elsewhere",
			})
		}
		runCluster(4, func(l *localCluster) {
			time.Sleep(90 * time.Second) // A list of this length is read every 30 s. The shard moves after the next read.
			owner, _ := l.owner()
			d := l.startLoad("m", requestPause, l.nodesExcept(owner)...)
			time.Sleep(2 * time.Second)
			owner.kill()
			time.Sleep(15 * time.Second)
			d.stopAndReport("kill of the owner with 3,004 instances in the list")
			l.g.Expect(d.refused).To(BeZero())
			l.g.Expect(d.longestWait).To(BeNumerically("<", takeoverTarget))
		}, wigeonplatform.WithInstances(elsewhere...))
	})

	It("hands over on a planned stop without an interruption or a refusal", func() {
		runCluster(3, func(l *localCluster) {
			d := l.startLoad("m", requestPause, l.nodes...)
			for range 2 {
				time.Sleep(3 * time.Second)
				owner, _ := l.owner()
				epoch := l.status().Epoch
				owner.members.SetLeaving()
				l.g.Expect(owner.manager.Drain(ctx)).To(Succeed())
				n, _ := l.owner()
				l.g.Expect(n).NotTo(Equal(owner))
				l.g.Expect(l.status().Epoch).To(BeNumerically(">", epoch))
			}
			time.Sleep(time.Second)
			d.stopAndReport("planned handover")
			l.g.Expect(d.refused).To(BeZero())
			l.g.Expect(d.longestWait).To(BeNumerically("<", 500*time.Millisecond))
		})
	})

	It("serves its shards during a drain when it is the only instance, and releases them on stop", func() {
		runCluster(1, func(l *localCluster) {
			only, _ := l.owner()
			d := l.startLoad("m", requestPause, only)
			time.Sleep(time.Second)
			only.members.SetLeaving()
			l.g.Expect(only.manager.Drain(ctx)).To(Succeed())
			time.Sleep(5 * time.Second)
			d.stopAndReport("drain of the only instance")
			l.g.Expect(d.refused).To(BeZero())
			only.stop()
			l.startNode("next")
			time.Sleep(time.Second)
			l.owner()
		})
	})

	It("moves a shard to a new first candidate within seconds and without a refusal", func() {
		runCluster(1, func(l *localCluster) {
			first, _ := l.owner()
			d := l.startLoad("m", requestPause, first)
			for i := range 20 {
				l.startNode(fmt.Sprintf("m%d", i))
			}
			time.Sleep(25 * time.Second)
			best := wigeonlease.Candidates(shardID, l.nodes[3].members.Live(), 1)[0].ID
			l.g.Expect(best).NotTo(Equal(first.id))
			n, _ := l.owner()
			l.g.Expect(n.id).To(Equal(best))
			d.stopAndReport("shard moved to its first candidate among 21")
			l.g.Expect(d.refused).To(BeZero())
			l.g.Expect(d.longestWait).To(BeNumerically("<", 500*time.Millisecond))
		})
	})

	It("continues granting during a store outage of ten minutes and gives no orders meanwhile", func() {
		runCluster(3, func(l *localCluster) {
			owner, _ := l.owner()
			d := l.startLoad("m", time.Second, l.nodes...)
			time.Sleep(time.Second)
			l.platform.SetFaults(wigeonplatform.Faults{Outage: true})
			time.Sleep(5 * time.Second)
			orders := l.engines.orderCount()
			l.g.Expect(l.status().LeaseHeld).To(BeFalse())
			time.Sleep(10 * time.Minute)
			l.g.Expect(l.engines.orderCount()).To(Equal(orders))
			l.platform.SetFaults(wigeonplatform.Faults{})
			time.Sleep(5 * time.Second)
			same, _ := l.owner()
			l.g.Expect(same).To(Equal(owner))
			l.g.Expect(l.status().LeaseHeld).To(BeTrue())
			l.g.Expect(l.status().Epoch).To(Equal(l.epoch))
			d.stopAndReport("store down for 10 minutes")
			l.g.Expect(d.refused).To(BeZero())
			l.g.Expect(d.longestWait).To(BeNumerically("<", time.Second))
		})
	})

	It("replaces an owner that is cut off from the store, and no order carries its epoch after lease expiry", func() {
		runCluster(3, func(l *localCluster) {
			owner, _ := l.owner()
			// Only one endpoint has this model, so the owner sends orders to load it elsewhere.
			d := l.startLoad("cold", requestPause, l.nodes...)
			other := l.startLoad("m", time.Second, l.nodes...)
			time.Sleep(15 * time.Second)
			l.g.Expect(l.engines.orderCount()).To(BeNumerically(">", 0))
			owner.store.unreachable.Store(true)
			cutAt := time.Now()
			time.Sleep(30 * time.Second)
			n, _ := l.owner()
			l.g.Expect(n).NotTo(Equal(owner))
			d.stopAndReport("owner cut off from the store")
			other.stopAndReport("other model")
			l.g.Expect(l.engines.lastOrderTime(l.epoch)).To(BeTemporally("<", cutAt.Add(wigeonlease.Duration)))
		})
	})

	It("replaces an owner that is partitioned from all nodes and the store, and the permits of its epoch end", func() {
		runCluster(4, func(l *localCluster) {
			owner, _ := l.owner()
			d := l.startLoad("m", requestPause, l.nodesExcept(owner)...)
			// The owner's own entry keeps requesting a model that lacks capacity, so that the owner would give orders.
			alone, scarce := l.startLoad("m", time.Second, owner), l.startLoad("cold", requestPause, owner)
			time.Sleep(2 * time.Second)
			for _, n := range l.nodesExcept(owner) {
				l.partition(owner.id, n.id, true)
			}
			owner.store.unreachable.Store(true)
			cutAt := time.Now()
			time.Sleep(15 * time.Second)
			a, _, s := owner.ask(5 * time.Second)
			l.g.Expect(a.Grant).NotTo(BeNil(), "the owner still serves its own entry: %+v", a.Refuse)
			finish(s, a.Grant)
			for _, n := range l.nodesExcept(owner) {
				l.partition(owner.id, n.id, false)
			}
			owner.store.unreachable.Store(false)
			time.Sleep(5 * time.Second)
			l.g.Expect(l.status().Epoch).To(Equal(l.epoch+1), "the former owner has stepped down")
			time.Sleep(15 * time.Second)
			l.owner()
			d.stopAndReport("owner partitioned from all nodes and the store")
			alone.stopAndReport("requests at the partitioned owner")
			scarce.stopAndReport("requests at the partitioned owner for the scarce model")
			l.g.Expect(l.engines.lastOrderTime(l.epoch)).To(BeTemporally("<", cutAt.Add(wigeonlease.Duration)))
			l.g.Expect(d.refused).To(BeZero())
			// Heartbeats and probes must detect the partition before the search for the new owner can begin.
			l.g.Expect(d.longestWait).To(BeNumerically("<", takeoverTarget+3*time.Second))
		})
	})

	It("ends requests at a node that can't reach the owner, and serves it again after the partition", func() {
		runCluster(4, func(l *localCluster) {
			owner, other := l.owner()
			l.partition(owner.id, other.id, true)
			a, took, _ := other.ask(20 * time.Second)
			l.g.Expect(a).To(Equal(wigeonshift.PermitAnswer{}), "the channel is closed without an answer")
			l.g.Expect(took).To(BeNumerically("<", 12*time.Second))
			l.partition(owner.id, other.id, false)
			time.Sleep(3 * time.Second)
			a, took, s := other.ask(20 * time.Second)
			l.g.Expect(a.Grant).NotTo(BeNil())
			l.g.Expect(took).To(BeNumerically("<", 3*time.Second))
			finish(s, a.Grant)
		})
	})

	It("has at most one owner while answers to lease writes are lost, and one afterwards", func() {
		runCluster(3, func(l *localCluster) {
			d := l.startLoad("m", requestPause, l.nodes...)
			l.platform.SetFaults(wigeonplatform.Faults{LostAnswers: 0.5, LateByMS: 300})
			for range 60 {
				time.Sleep(time.Second)
				l.g.Expect(len(l.owners())).To(BeNumerically("<=", 1))
			}
			l.platform.SetFaults(wigeonplatform.Faults{})
			time.Sleep(5 * time.Second)
			l.owner()
			d.stopAndReport("half of the answers to writes lost for a minute")
			l.g.Expect(d.refused).To(BeZero())
		})
	})

	It("recovers from two simultaneous faults", func() {
		runCluster(5, func(l *localCluster) {
			owner, _ := l.owner()
			next := l.byID(wigeonlease.Candidates(shardID, l.nodes[0].members.Live(), 2)[1].ID)
			d := l.startLoad("m", requestPause, l.nodesExcept(owner, next)...)
			time.Sleep(2 * time.Second)
			owner.kill()
			next.kill()
			time.Sleep(10 * time.Second)
			d.stopAndReport("kill of the owner and the next candidate")
			l.g.Expect(d.refused).To(BeZero())
		})
		runCluster(4, func(l *localCluster) {
			owner, _ := l.owner()
			d := l.startLoad("m", requestPause, l.nodesExcept(owner)...)
			time.Sleep(2 * time.Second)
			l.platform.SetFaults(wigeonplatform.Faults{Outage: true})
			owner.kill()
			time.Sleep(3 * time.Second)
			l.platform.SetFaults(wigeonplatform.Faults{})
			time.Sleep(10 * time.Second)
			d.stopAndReport("kill of the owner with the store down for 3 s")
			l.owner()
		})
	})
})
