package wigeonnode_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"wigeonshift/internal/load/wigeonload"
	"wigeonshift/internal/routers/wigeonoperator"
	"wigeonshift/internal/standin/wigeondev"
	"wigeonshift/internal/standin/wigeonplatform"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
)

var _ = Describe("A node with an empty platform", func() {
	It("is not ready for callers before the first patch", func() {
		ctx := context.Background()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		platform := wigeonplatform.NewServer(wigeonplatform.NewCore(), l)
		Expect(platform.Start(ctx)).To(Succeed())
		n := startNode(platform.Address(), "first")
		Eventually(func() error { _, err := operatorClient(n).Show(true); return err }, eventTimeout).Should(Succeed())
		Consistently(n.Ready, time.Second).Should(BeFalse())
		patch := json.RawMessage(`{"products":{"p":{"tiers":{"t":{"rank":0,"defaultDeadlineMs":1000}}}}}`)
		_, err = operatorClient(n).Patch(wigeonoperator.PatchBody{Patch: patch, PatchID: "first"})
		Expect(err).NotTo(HaveOccurred())
		Eventually(n.Ready, eventTimeout).Should(BeTrue())
		Expect(n.Close(ctx)).To(Succeed())
		Expect(platform.Stop(ctx)).To(Succeed())
	})
})

var _ = Describe("A cluster of three nodes", Ordered, func() {
	ctx := context.Background()
	var c *cluster
	BeforeAll(func() { c = startCluster() })
	AfterAll(func() { c.stop() })

	run := func(seed uint64) *wigeonload.Result {
		GinkgoHelper()
		res, err := c.newLoadRunner(seed, time.Second).Run(ctx)
		Expect(err).NotTo(HaveOccurred())
		return res
	}

	It("sends complete responses through every node", func() {
		expectAllGood(run(1))
	})

	It("replays the recorded response to a repeated non-idempotent call on any node", func() {
		executed := func() (count int64) {
			for _, p := range c.site.Services {
				count += p.Stats().Executions
			}
			return count
		}
		before := executed()
		first := postIssue(c.nodes[0], "issue-1", `{"part":"twine"}`)
		Expect(first.status).To(Equal(http.StatusCreated), first.body)
		Expect(first.replayed).To(BeEmpty())
		for _, n := range c.nodes {
			Expect(postIssue(n, "issue-1", `{"part":"twine"}`)).To(Equal(callAnswer{first.status, "true", first.body}))
			Expect(postIssue(n, "issue-1", `{"part":"cork"}`).status).To(Equal(http.StatusUnprocessableEntity))
		}
		Expect(executed()).To(Equal(before + 1))
	})

	It("applies a patch on every node, rejects a stale base and sends no new requests to a leaving endpoint", func() {
		leave := json.RawMessage(`{"products":{"dev":{"services":{"assistant":{"endpoints":{"engine-0":{"state":"leaving"}}}}}}}`)
		base := instanceStatus(c.nodes[0]).ConfigurationVersion
		accepted, err := operatorClient(c.nodes[0]).Patch(wigeonoperator.PatchBody{Base: base, Patch: leave, PatchID: "leave"})
		Expect(err).NotTo(HaveOccurred())
		Expect(accepted.Version).To(Equal(base + 1))
		for _, n := range c.nodes {
			Eventually(func() uint64 { return instanceStatus(n).ConfigurationVersion }, eventTimeout).Should(Equal(accepted.Version))
		}
		_, err = operatorClient(c.nodes[1]).Patch(wigeonoperator.PatchBody{Base: base, Patch: leave, PatchID: "stale"})
		var ce *wigeonoperator.CallError
		Expect(errors.As(err, &ce)).To(BeTrue(), "%v", err)
		Expect(ce.Body.Reason).To(Equal(wigeonoperator.ReasonStaleBase))
		Expect(ce.Body.Head).To(Equal(accepted.Version))

		Eventually(func() string {
			for _, s := range instanceStatus(c.ownerOf(wigeondev.AssistantService)).Shards {
				for _, e := range s.Endpoints {
					if e.Name == "engine-0" {
						return string(e.State)
					}
				}
			}
			return ""
		}, eventTimeout).Should(Equal("leaving"))
		before := c.site.Engines[0].Stats().Executions
		expectAllGood(run(2))
		Expect(c.site.Engines[0].Stats().Executions).To(Equal(before))
	})

	It("loses no requests when the owner is stopped gracefully under load", func() {
		runner := c.newLoadRunner(3, 4*time.Second)
		var res *wigeonload.Result
		var err error
		var wg conc.WaitGroup
		wg.Go(func() { res, err = runner.Run(ctx) })
		Eventually(func() int64 { return runner.Progress().Good }, eventTimeout).Should(BeNumerically(">", 50))
		leaving := c.ownerOf(wigeondev.AssistantService)
		Expect(leaving.Stop(ctx)).To(Succeed())
		finished := runner.Progress().Good
		wg.Wait()
		Expect(err).NotTo(HaveOccurred())
		Expect(runner.Progress().Good).To(BeNumerically(">", finished))
		expectAllGood(res)
		c.nodes = without(c.nodes, leaving)
	})

	It("continues to serve requests after an owner is closed without a drain", func() {
		lost := c.ownerOf(wigeondev.AssistantService)
		Expect(lost.Close(ctx)).To(Succeed())
		c.nodes = without(c.nodes, lost)
		Eventually(func() bool { return c.ownerOf(wigeondev.AssistantService) != nil }, eventTimeout).Should(BeTrue())
		expectAllGood(run(4))
	})
})
