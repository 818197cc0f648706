package wigeonoperator_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"wigeonshift"
	"wigeonshift/internal/models/wigeonconfig"
	"wigeonshift/internal/routers/wigeonoperator"
	"wigeonshift/internal/standin/wigeonplatform"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
)

func TestWigeonoperator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeonoperator")
}

const tierPatch = `{"products":{"loft":{"tiers":{"urgent":{"rank":0,"defaultDeadlineMs":2000}}}}}`

var _ = Describe("Operator API", func() {
	var core *wigeonplatform.Core
	var base string
	var accepted []uint64
	var editor, viewer *wigeonoperator.Client

	BeforeEach(func() {
		core = wigeonplatform.NewCore()
		accepted = nil
		var current *wigeonshift.Configuration
		log := logrus.New()
		log.SetOutput(io.Discard)
		server := wigeonoperator.New(wigeonconfig.NewRepository(core, core), wigeonoperator.Instance{
			Current: func() *wigeonshift.Configuration { return current },
			Accept: func(ch wigeonshift.Change, c *wigeonshift.Configuration) {
				accepted = append(accepted, ch.Version)
				current = c
			},
			Versions: func(context.Context) []wigeonshift.InstanceVersion {
				return []wigeonshift.InstanceVersion{{Instance: wigeonshift.Instance{ID: "i"}, Version: 3, Lag: time.Second}}
			},
			Status: func(context.Context) wigeonshift.InstanceStatus { return wigeonshift.InstanceStatus{Requests: 7} },
		}, wigeonoperator.WithLogger(log), wigeonoperator.WithKeys(
			wigeonoperator.Key{Name: "ana", Role: wigeonoperator.RoleEditor, Stored: wigeonconfig.NewAPIKey("s1")},
			wigeonoperator.Key{Name: "leo", Role: wigeonoperator.RoleViewer, Stored: wigeonconfig.NewAPIKey("s2")}))
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(server.Start(context.Background(), l)).To(Succeed())
		DeferCleanup(func() { Expect(server.Stop(context.Background())).To(Succeed()) })
		base = "http://" + l.Addr().String()
		editor, viewer = wigeonoperator.NewClient(base, "ana.s1"), wigeonoperator.NewClient(base, "leo.s2")
	})

	patch := func(c *wigeonoperator.Client, base uint64, id, document string) (wigeonoperator.AcceptedBody, error) {
		return c.Patch(wigeonoperator.PatchBody{Base: base, PatchID: id, Patch: json.RawMessage(document)})
	}
	refused := func(err error, status int, reason wigeonoperator.Reason) wigeonoperator.ErrorBody {
		var ce *wigeonoperator.CallError
		ExpectWithOffset(1, errors.As(err, &ce)).To(BeTrue(), "%v", err)
		ExpectWithOffset(1, ce.Status).To(Equal(status))
		ExpectWithOffset(1, ce.Body.Reason).To(Equal(reason))
		return ce.Body
	}

	It("allows only editors to patch and rejects calls without a valid key", func() {
		for _, key := range []string{"", "ana", "ana.s2", "leo.s1", "eva.s1"} {
			_, err := wigeonoperator.NewClient(base, key).Status()
			refused(err, 401, wigeonoperator.ReasonUnauthenticated)
		}
		_, err := patch(viewer, 0, "p", tierPatch)
		refused(err, 403, wigeonoperator.ReasonForbidden)
		_, err = viewer.Rollback(wigeonoperator.RollbackBody{PatchID: "r"})
		refused(err, 403, wigeonoperator.ReasonForbidden)
		Expect(viewer.Status()).To(HaveField("Requests", 7))
		Expect(viewer.Versions()).To(ConsistOf(HaveField("LagMS", BeEquivalentTo(1000))))
	})

	It("accepts, shows, diffs and rolls back changes, and returns the changes since a stale base", func() {
		_, err := editor.Show(false)
		refused(err, 503, wigeonoperator.ReasonNotReady)
		dry, err := editor.Patch(wigeonoperator.PatchBody{PatchID: "p1", Patch: json.RawMessage(tierPatch), DryRun: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(dry.Change).To(BeNil())
		Expect(accepted).To(BeEmpty())
		Expect(patch(editor, 0, "p1", tierPatch)).To(HaveField("Version", BeEquivalentTo(1)))
		Expect(patch(editor, 0, "p1", tierPatch)).To(HaveField("Version", BeEquivalentTo(1)), "sent again")
		_, err = patch(editor, 0, "p2", `{"products":{}}`)
		body := refused(err, 409, wigeonoperator.ReasonStaleBase)
		Expect(body.Head).To(BeEquivalentTo(1))
		Expect(body.Changes).To(ConsistOf(And(HaveField("Author", "ana"), HaveField("Patch", MatchJSON(tierPatch)))))
		_, err = editor.Patch(wigeonoperator.PatchBody{Base: 0, PatchID: "p2", Patch: json.RawMessage(`{}`), DryRun: true})
		refused(err, 409, wigeonoperator.ReasonStaleBase)

		Expect(patch(editor, 1, "p2", `{"products":{"loft":null}}`)).To(HaveField("Version", BeEquivalentTo(2)))
		Expect(viewer.Diff(2, 1)).To(MatchJSON(tierPatch))
		Expect(editor.Rollback(wigeonoperator.RollbackBody{Base: 2, Target: 1, PatchID: "p3"})).To(HaveField("Version", BeEquivalentTo(3)))
		Expect(viewer.Snapshot(2)).To(HaveField("Products", BeEmpty()))
		Expect(viewer.Show(false)).To(HaveField("Products", HaveKey("loft")))
		Expect(viewer.Show(true)).To(HaveField("Version", BeEquivalentTo(3)))
		Expect(viewer.Changes(1, 1)).To(ConsistOf(HaveField("PatchID", "p2")))
		Expect(accepted).To(Equal([]uint64{1, 1, 2, 3}))
		_, err = viewer.Snapshot(99)
		refused(err, 404, wigeonoperator.ReasonNotFound)
	})

	It("reports the path of a fault, and a store outage as unavailable", func() {
		_, err := patch(editor, 0, "p", `{"products":{"loft":{"tiers":{"urgent":{"rang":0}}}}}`)
		body := refused(err, 422, wigeonoperator.ReasonInvalid)
		Expect(body.Faults).To(ConsistOf(HaveField("Path", "products.loft.tiers.urgent.rang")))
		core.SetFaults(wigeonplatform.Faults{Outage: true})
		_, err = patch(editor, 0, "p", tierPatch)
		refused(err, 503, wigeonoperator.ReasonUnavailable)
		core.SetFaults(wigeonplatform.Faults{})
		Expect(patch(editor, 0, "p", tierPatch)).To(HaveField("Version", BeEquivalentTo(1)))
	})
})
