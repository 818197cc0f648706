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

var _ = Describe("A node before an empty platform", func() {
	It("takes no callers before the first patch", func() {
		ctx := context.Background()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		platform := wigeonplatform.NewServer(wigeonplatform.NewCore(), l)
		Expect(platform.Start(ctx)).To(Succeed())
		n := startNode(platform.Address(), "first")
		Eventually(func() error { _, err := operator(n).Show(true); return err }, patience).Should(Succeed())
		Consistently(n.Ready, time.Second).Should(BeFalse())
		patch := json.RawMessage(`{"products":{"p":{"tiers":{"t":{"rank":0,"defaultDeadlineMs":1000}}}}}`)
		_, err = operator(n).Patch(wigeonoperator.PatchBody{Patch: patch, PatchID: "first"})
		Expect(err).NotTo(HaveOccurred())
		Eventually(n.Ready, patience).Should(BeTrue())
		Expect(n.Close(ctx)).To(Succeed())
		Expect(platform.Stop(ctx)).To(Succeed())
	})
})

var _ = Describe("Three nodes before a site", Ordered, func() {
	ctx := context.Background()
	var w *world
	BeforeAll(func() { w = startWorld() })
	AfterAll(func() { w.stop() })

	run := func(seed uint64) *wigeonload.Result {
		GinkgoHelper()
		res, err := w.load(seed, time.Second).Run(ctx)
		Expect(err).NotTo(HaveOccurred())
		return res
	}

	It("gives whole answers over every node", func() {
		expectAllGood(run(1))
	})

	It("answers a repeated non-idempotent call from its record, over any node", func() {
		executed := func() (count int64) {
			for _, p := range w.site.Services {
				count += p.Stats().Executions
			}
			return count
		}
		before := executed()
		first := issue(w.nodes[0], "issue-1", `{"part":"twine"}`)
		Expect(first.status).To(Equal(http.StatusCreated), first.body)
		Expect(first.replayed).To(BeEmpty())
		for _, n := range w.nodes {
			Expect(issue(n, "issue-1", `{"part":"twine"}`)).To(Equal(answer{first.status, "true", first.body}))
			Expect(issue(n, "issue-1", `{"part":"cork"}`).status).To(Equal(http.StatusUnprocessableEntity))
		}
		Expect(executed()).To(Equal(before + 1))
	})

	It("puts a patch in force on every node, rejects a stale base and gives a leaving endpoint nothing new", func() {
		leave := json.RawMessage(`{"products":{"dev":{"services":{"assistant":{"endpoints":{"engine-0":{"state":"leaving"}}}}}}}`)
		base := status(w.nodes[0]).ConfigurationVersion
		accepted, err := operator(w.nodes[0]).Patch(wigeonoperator.PatchBody{Base: base, Patch: leave, PatchID: "leave"})
		Expect(err).NotTo(HaveOccurred())
		Expect(accepted.Version).To(Equal(base + 1))
		for _, n := range w.nodes {
			Eventually(func() uint64 { return status(n).ConfigurationVersion }, patience).Should(Equal(accepted.Version))
		}
		_, err = operator(w.nodes[1]).Patch(wigeonoperator.PatchBody{Base: base, Patch: leave, PatchID: "stale"})
		var ce *wigeonoperator.CallError
		Expect(errors.As(err, &ce)).To(BeTrue(), "%v", err)
		Expect(ce.Body.Reason).To(Equal(wigeonoperator.ReasonStaleBase))
		Expect(ce.Body.Head).To(Equal(accepted.Version))

		Eventually(func() string {
			for _, s := range status(w.owner(wigeondev.AssistantService)).Shards {
				for _, e := range s.Endpoints {
					if e.Name == "engine-0" {
						return string(e.State)
					}
				}
			}
			return ""
		}, patience).Should(Equal("leaving"))
		before := w.site.Engines[0].Stats().Executions
		expectAllGood(run(2))
		Expect(w.site.Engines[0].Stats().Executions).To(Equal(before))
	})

	It("loses nothing on the planned stop of the owner under load", func() {
		runner := w.load(3, 4*time.Second)
		var res *wigeonload.Result
		var err error
		var wg conc.WaitGroup
		wg.Go(func() { res, err = runner.Run(ctx) })
		Eventually(func() int64 { return runner.Progress().Good }, patience).Should(BeNumerically(">", 50))
		leaving := w.owner(wigeondev.AssistantService)
		Expect(leaving.Stop(ctx)).To(Succeed())
		finished := runner.Progress().Good
		wg.Wait()
		Expect(err).NotTo(HaveOccurred())
		Expect(runner.Progress().Good).To(BeNumerically(">", finished))
		expectAllGood(res)
		w.nodes = without(w.nodes, leaving)
	})

	It("goes on after the loss of an owner", func() {
		lost := w.owner(wigeondev.AssistantService)
		Expect(lost.Close(ctx)).To(Succeed())
		w.nodes = without(w.nodes, lost)
		Eventually(func() bool { return w.owner(wigeondev.AssistantService) != nil }, patience).Should(BeTrue())
		expectAllGood(run(4))
	})
})
