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

// often is the pause between two requests of one caller.
const often = 20 * time.Millisecond

// takeoverTarget is the time in which a new owner grants after a kill.
const takeoverTarget = 5 * time.Second

// plainConfiguration is one plain service.
var plainConfiguration = &wigeonshift.Configuration{Version: 1, Products: map[string]wigeonshift.Product{"p": {
	Tiers:         map[string]wigeonshift.Tier{"t": {}},
	Organisations: map[string]wigeonshift.Organisation{"o": {Tiers: []string{"t"}}},
	Services: map[string]wigeonshift.Service{"s": {Kind: wigeonshift.ServicePlain, Endpoints: map[string]wigeonshift.EndpointSpec{
		"r0": {Address: "r0:1", Region: "lima", State: wigeonshift.EndpointActive},
	}}},
}}}

var _ = Describe("Ownership", func() {
	It("grants over one owner to every node", func() {
		runLab(3, func(l *lab) {
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

	It("polls model engines and leaves plain services alone", func() {
		runLab(1, func(l *lab) { l.g.Expect(l.engines.polls.Load()).To(BeNumerically(">", 0)) })
		runLabWith(plainConfiguration, 1, func(l *lab) { l.g.Expect(l.engines.polls.Load()).To(BeZero()) })
	})

	It("takes a plain service back after a restart, when it answers anything", func() {
		runLabWith(plainConfiguration, 1, func(l *lab) {
			l.engines.fail(wigeonshift.ErrEndpointLost)
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
			l.engines.fail(wigeonshift.ErrEndpointFailed)
			time.Sleep(30 * time.Second)
			a, _, s = l.nodes[0].askModel("", time.Second)
			l.g.Expect(a.Grant).NotTo(BeNil(), "%+v", a)
			s.Close()
		})
	})

	It("takes over from a killed owner within the target and refuses nothing", func() {
		for range 5 {
			runLab(4, func(l *lab) {
				owner, _ := l.owner()
				d := l.drive("m", often, l.except(owner)...)
				time.Sleep(2 * time.Second)
				owner.kill()
				time.Sleep(10 * time.Second)
				d.end("kill of the owner")
				l.g.Expect(d.refused).To(BeZero())
				l.g.Expect(d.worst).To(BeNumerically("<", takeoverTarget))
				l.g.Expect(l.status().Epoch).To(Equal(l.epoch + 1))
			})
		}
	})

	It("takes over within the target in a large fleet, where nobody asks often and not everyone is told", func() {
		var elsewhere []wigeonshift.Instance
		for i := range 3000 {
			elsewhere = append(elsewhere, wigeonshift.Instance{
				ID: fmt.Sprintf("far%d", i), Address: fmt.Sprintf("far%d:1", i), Region: "elsewhere",
			})
		}
		runLab(4, func(l *lab) {
			time.Sleep(90 * time.Second) // So long a list is read every 30 s, and the shard moves after that.
			owner, _ := l.owner()
			d := l.drive("m", often, l.except(owner)...)
			time.Sleep(2 * time.Second)
			owner.kill()
			time.Sleep(15 * time.Second)
			d.end("kill of the owner in a list of 3,004")
			l.g.Expect(d.refused).To(BeZero())
			l.g.Expect(d.worst).To(BeNumerically("<", takeoverTarget))
		}, wigeonplatform.WithInstances(elsewhere...))
	})

	It("hands over on a planned stop without a gap or a refusal", func() {
		runLab(3, func(l *lab) {
			d := l.drive("m", often, l.nodes...)
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
			d.end("planned hand-over")
			l.g.Expect(d.refused).To(BeZero())
			l.g.Expect(d.worst).To(BeNumerically("<", 500*time.Millisecond))
		})
	})

	It("serves its shards through a drain when it is alone, and frees them for its successor at the stop", func() {
		runLab(1, func(l *lab) {
			only, _ := l.owner()
			d := l.drive("m", often, only)
			time.Sleep(time.Second)
			only.members.SetLeaving()
			l.g.Expect(only.manager.Drain(ctx)).To(Succeed())
			time.Sleep(5 * time.Second)
			d.end("drain of the only instance")
			l.g.Expect(d.refused).To(BeZero())
			only.stop()
			l.startNode("next")
			time.Sleep(time.Second)
			l.owner()
		})
	})

	It("gives a new instance its share within seconds, without a refusal", func() {
		runLab(1, func(l *lab) {
			first, _ := l.owner()
			d := l.drive("m", often, first)
			for i := range 20 {
				l.startNode(fmt.Sprintf("m%d", i))
			}
			time.Sleep(25 * time.Second)
			best := wigeonlease.Candidates(shardID, l.nodes[3].members.Live(), 1)[0].ID
			l.g.Expect(best).NotTo(Equal(first.id))
			n, _ := l.owner()
			l.g.Expect(n.id).To(Equal(best))
			d.end("shard moved to its first candidate among 21")
			l.g.Expect(d.refused).To(BeZero())
			l.g.Expect(d.worst).To(BeNumerically("<", 500*time.Millisecond))
		})
	})

	It("goes on granting through ten minutes without the store and gives no order meanwhile", func() {
		runLab(3, func(l *lab) {
			owner, _ := l.owner()
			d := l.drive("m", time.Second, l.nodes...)
			time.Sleep(time.Second)
			l.platform.SetFaults(wigeonplatform.Faults{Outage: true})
			time.Sleep(5 * time.Second)
			orders := l.engines.count()
			l.g.Expect(l.status().LeaseHeld).To(BeFalse())
			time.Sleep(10 * time.Minute)
			l.g.Expect(l.engines.count()).To(Equal(orders))
			l.platform.SetFaults(wigeonplatform.Faults{})
			time.Sleep(5 * time.Second)
			same, _ := l.owner()
			l.g.Expect(same).To(Equal(owner))
			l.g.Expect(l.status().LeaseHeld).To(BeTrue())
			l.g.Expect(l.status().Epoch).To(Equal(l.epoch))
			d.end("store down for 10 minutes")
			l.g.Expect(d.refused).To(BeZero())
			l.g.Expect(d.worst).To(BeNumerically("<", time.Second))
		})
	})

	It("replaces an owner that is cut off from the store, and no order carries its epoch after the lapse", func() {
		runLab(3, func(l *lab) {
			owner, _ := l.owner()
			d := l.drive("cold", often, l.nodes...) // One endpoint has the model, so its owner orders more.
			other := l.drive("m", time.Second, l.nodes...)
			time.Sleep(15 * time.Second)
			l.g.Expect(l.engines.count()).To(BeNumerically(">", 0))
			owner.store.closed.Store(true)
			cutAt := time.Now()
			time.Sleep(30 * time.Second)
			n, _ := l.owner()
			l.g.Expect(n).NotTo(Equal(owner))
			d.end("owner cut off from the store")
			other.end("other model")
			l.g.Expect(l.engines.latest(l.epoch)).To(BeTemporally("<", cutAt.Add(wigeonlease.Duration)))
		})
	})

	It("survives a cut between the owner and every other node, whose permits of the old epoch end", func() {
		runLab(4, func(l *lab) {
			owner, _ := l.owner()
			d := l.drive("m", often, l.except(owner)...)
			// Its own entry goes on to demand a model that lacks capacity, so that the owner would give orders.
			alone, scarce := l.drive("m", time.Second, owner), l.drive("cold", often, owner)
			time.Sleep(2 * time.Second)
			for _, n := range l.except(owner) {
				l.partition(owner.id, n.id, true)
			}
			owner.store.closed.Store(true)
			cutAt := time.Now()
			time.Sleep(15 * time.Second)
			a, _, s := owner.ask(5 * time.Second)
			l.g.Expect(a.Grant).NotTo(BeNil(), "its own entry is still served: %+v", a.Refuse)
			finish(s, a.Grant)
			for _, n := range l.except(owner) {
				l.partition(owner.id, n.id, false)
			}
			owner.store.closed.Store(false)
			time.Sleep(5 * time.Second)
			l.g.Expect(l.status().Epoch).To(Equal(l.epoch+1), "the former owner has given up")
			time.Sleep(15 * time.Second)
			l.owner()
			d.end("owner cut off from everyone")
			alone.end("requests at that owner itself")
			scarce.end("requests at that owner itself for the other model")
			l.g.Expect(l.engines.latest(l.epoch)).To(BeTemporally("<", cutAt.Add(wigeonlease.Duration)))
			l.g.Expect(d.refused).To(BeZero())
			// Silence is found by heartbeats and probes before the search can begin.
			l.g.Expect(d.worst).To(BeNumerically("<", takeoverTarget+3*time.Second))
		})
	})

	It("refuses honestly at a node that can't reach the owner, and serves it when the cut heals", func() {
		runLab(4, func(l *lab) {
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

	It("keeps one owner when answers to lease writes are lost", func() {
		runLab(3, func(l *lab) {
			d := l.drive("m", often, l.nodes...)
			l.platform.SetFaults(wigeonplatform.Faults{LostAnswers: 0.5, LateByMS: 300})
			for range 60 {
				time.Sleep(time.Second)
				l.g.Expect(len(l.owners())).To(BeNumerically("<=", 1))
			}
			l.platform.SetFaults(wigeonplatform.Faults{})
			time.Sleep(5 * time.Second)
			l.owner()
			d.end("half of all answers to writes lost for a minute")
			l.g.Expect(d.refused).To(BeZero())
		})
	})

	It("recovers from two faults at once", func() {
		runLab(5, func(l *lab) {
			owner, _ := l.owner()
			next := l.byID(wigeonlease.Candidates(shardID, l.nodes[0].members.Live(), 2)[1].ID)
			d := l.drive("m", often, l.except(owner, next)...)
			time.Sleep(2 * time.Second)
			owner.kill()
			next.kill()
			time.Sleep(10 * time.Second)
			d.end("kill of the owner and the next candidate")
			l.g.Expect(d.refused).To(BeZero())
		})
		runLab(4, func(l *lab) {
			owner, _ := l.owner()
			d := l.drive("m", often, l.except(owner)...)
			time.Sleep(2 * time.Second)
			l.platform.SetFaults(wigeonplatform.Faults{Outage: true})
			owner.kill()
			time.Sleep(3 * time.Second)
			l.platform.SetFaults(wigeonplatform.Faults{})
			time.Sleep(10 * time.Second)
			d.end("kill of the owner with the store down for 3 s")
			l.owner()
		})
	})
})
