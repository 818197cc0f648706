package wigeonconfig_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"wigeonshift"
	"wigeonshift/internal/models/wigeonconfig"
	"wigeonshift/internal/standin/wigeonplatform"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var suiteT *testing.T

func TestWigeonconfig(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeonconfig")
}

const loft = `{"products":{"loft":{
	"tiers":{"urgent":{"rank":0,"defaultDeadlineMs":2000},"plan":{"rank":1,"defaultDeadlineMs":60000}},
	"organisations":{"sipacate":{"tiers":["urgent","plan"]}},
	"services":{"assistant":{"kind":"model","models":["m1"],"endpoints":{
		"e1":{"address":"10.0.0.1:80","region":"costa-sur","zone":"iztapa","state":"active","models":["m1"]}}}}}}}`

func submit(r *wigeonconfig.Repository, base uint64, id, document string) (wigeonshift.Change, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	ch, _, err := r.Submit(ctx, wigeonconfig.Patch{ID: id, Base: base, Author: "ana", Document: []byte(document)})
	return ch, err
}

var _ = Describe("Checks", func() {
	DescribeTable("reports the path of a fault", func(patch, path, reason string) {
		base, err := wigeonconfig.Apply(&wigeonshift.Configuration{}, []byte(loft))
		Expect(err).NotTo(HaveOccurred())
		Expect(wigeonconfig.Check(base)).To(Succeed())
		next, err := wigeonconfig.Apply(base, []byte(patch))
		if err == nil {
			err = wigeonconfig.Check(next)
		}
		Expect(err).To(MatchError(wigeonshift.ErrInvalidConfiguration))
		var invalid *wigeonconfig.InvalidError
		Expect(errors.As(err, &invalid)).To(BeTrue())
		Expect(invalid.Faults[0].Path).To(Equal(path))
		Expect(invalid.Faults[0].Reason).To(ContainSubstring(reason))
	},
		Entry("unknown key", `{"products":{"loft":{"tiers":{"urgent":{"rang":0}}}}}`, "products.loft.tiers.urgent.rang", "unknown"),
		Entry("key in another case", `{"products":{"loft":{"tiers":{"urgent":{"Rank":0}}}}}`, "products.loft.tiers.urgent.Rank", "unknown"),
		Entry("duplicate key", `{"products":{"loft":{"tiers":{"a":null,"a":null}}}}`, "products.loft.tiers.a", "twice"),
		Entry("wrong type", `{"products":{"loft":{"tiers":{"urgent":{"rank":"x"}}}}}`, "products.loft.tiers.urgent.rank", "whole number"),
		Entry("version", `{"version":9}`, "version", "can't be patched"),
		Entry("deep nesting", strings.Repeat("[", 100_000), "", "levels deep"),
		Entry("not an object", `{"products":{"loft":[]}}`, "products.loft", "object"),
		Entry("endpoint of an unknown product", `{"products":{"lost":{"services":{"a":{"endpoints":{
			"e":{"address":"10.0.0.2:80","region":"r","zone":"z","state":"active"}}}}}}}`, "products.lost.services.a.kind", "model or plain"),
		Entry("unknown tier", `{"products":{"loft":{"organisations":{"o":{"tiers":["fast"]}}}}}`, "products.loft.organisations.o.tiers", `no tier "fast"`),
		Entry("removed tier that is still used", `{"products":{"loft":{"tiers":{"plan":null}}}}`, "products.loft.organisations.sipacate.tiers", `no tier "plan"`),
		Entry("duplicate rank", `{"products":{"loft":{"tiers":{"x":{"rank":1,"defaultDeadlineMs":1}}}}}`, "products.loft.tiers.plan.rank", "same rank"),
		Entry("unknown model", `{"products":{"loft":{"services":{"assistant":{"endpoints":{"e1":{"models":["m9"]}}}}}}}`, "products.loft.services.assistant.endpoints.e1.models", `"m9"`),
		Entry("host name", `{"products":{"loft":{"services":{"assistant":{"endpoints":{"e1":{"address":"host:80"}}}}}}}`, "products.loft.services.assistant.endpoints.e1.address", "IP address"),
		Entry("secret instead of a hash", `{"products":{"loft":{"organisations":{"sipacate":{"apiKeys":{"k":{"salt":"","hash":"hunter2"}}}}}}}`, "products.loft.organisations.sipacate.apiKeys.k.hash", "hexadecimal"),
	)
})

var _ = Describe("Repository", func() {
	It("gives each version to exactly one of several concurrent patches when responses are lost", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			core := wigeonplatform.NewCore()
			core.SetFaults(wigeonplatform.Faults{LostAnswers: 0.3, LatencyMS: 20, LateByMS: 100})
			var wg sync.WaitGroup
			var mu sync.Mutex
			wins := map[uint64]string{}
			for o := range 4 {
				wg.Go(func() {
					r := wigeonconfig.NewRepository(core, core)
					for i := range 5 {
						id := fmt.Sprintf("p%d-%d", o, i)
						for base := uint64(0); ; {
							ch, err := submit(r, base, id, fmt.Sprintf(`{"products":{"%s":{"tiers":{"t":{"rank":0,"defaultDeadlineMs":1}}}}}`, id))
							var stale *wigeonconfig.StaleBaseError
							if errors.As(err, &stale) {
								g.Expect(stale.Changes).NotTo(BeEmpty())
								base = stale.Head
								continue
							}
							g.Expect(err).NotTo(HaveOccurred())
							mu.Lock()
							g.Expect(wins).NotTo(HaveKey(ch.Version))
							wins[ch.Version] = id
							mu.Unlock()
							break
						}
					}
				})
			}
			wg.Wait()
			time.Sleep(time.Second)
			core.SetFaults(wigeonplatform.Faults{})
			c, err := wigeonconfig.NewRepository(core, core).Load(t.Context())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(c.Version).To(BeEquivalentTo(20))
			g.Expect(c.Products).To(HaveLen(20))
			history, err := wigeonconfig.NewRepository(core, core).Changes(t.Context(), 0, 100)
			g.Expect(err).NotTo(HaveOccurred())
			for _, ch := range history {
				g.Expect(wins[ch.Version]).To(Equal(ch.PatchID))
			}
		})
	})

	It("rolls back to an old version as a new version, and loads old versions from snapshots", func() {
		core := wigeonplatform.NewCore()
		r := wigeonconfig.NewRepository(core, core, wigeonconfig.WithChangesPerSnapshot(2))
		patches := []string{
			loft, `{"products":{"loft":{"organisations":{"o2":{"tiers":["plan"],"weight":2}}}}}`,
			`{"products":{"loft":{"organisations":{"sipacate":{"weight":3},"o2":null}}}}`,
		}
		for i, p := range patches {
			_, c, err := r.Submit(context.Background(), wigeonconfig.Patch{ID: fmt.Sprint(i), Base: uint64(i), Document: []byte(p)})
			Expect(err).NotTo(HaveOccurred())
			Expect(r.SnapshotIfDue(context.Background(), c)).To(Succeed())
		}
		Expect(core.ListObjects(context.Background(), "", "", 10)).To(HaveLen(1))
		back := wigeonconfig.Patch{ID: "back", Base: 3, Author: "ana"}
		ch, c, err := r.Rollback(context.Background(), back, 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(ch.Version).To(BeEquivalentTo(4))
		again, _, err := r.Rollback(context.Background(), back, 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Version).To(Equal(ch.Version))
		old, err := wigeonconfig.NewRepository(core, core).LoadVersion(context.Background(), 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Products).To(Equal(old.Products))
		_, err = submit(r, 4, "1", `{}`)
		Expect(err).To(MatchError(wigeonshift.ErrInvalidConfiguration), "the patch id was used by another patch")
	})

	It("reports proof of no effect when the store is unavailable", func() {
		core := wigeonplatform.NewCore()
		r := wigeonconfig.NewRepository(core, core)
		core.SetFaults(wigeonplatform.Faults{Outage: true})
		_, err := submit(r, 0, "a", loft)
		Expect(err).To(MatchError(wigeonshift.ErrUnavailable))
		core.SetFaults(wigeonplatform.Faults{})
		Expect(r.Head(context.Background())).To(HaveField("Version", BeZero()))
	})
})

// drawConfiguration draws a small configuration. It uses few names so that many of them collide.
func drawConfiguration(t *rapid.T) *wigeonshift.Configuration {
	name := rapid.SampledFrom([]string{"a", "b", "c"})
	organisation := rapid.Custom(func(t *rapid.T) wigeonshift.Organisation {
		return wigeonshift.Organisation{
			Tiers:   rapid.SliceOfN(name, 1, 2).Draw(t, "tiers"),
			Weight:  rapid.Float64Range(0, 2).Draw(t, "weight"),
			APIKeys: rapid.MapOfN(name, rapid.Just(wigeonshift.APIKey{Salt: "00", Hash: "11"}), 0, 2).Draw(t, "keys"),
		}
	})
	service := rapid.Custom(func(t *rapid.T) wigeonshift.Service {
		return wigeonshift.Service{
			Kind: wigeonshift.ServiceModel, Models: rapid.SliceOfN(name, 1, 2).Draw(t, "models"),
			Endpoints: rapid.MapOfN(name, rapid.Custom(func(t *rapid.T) wigeonshift.EndpointSpec {
				return wigeonshift.EndpointSpec{Address: name.Draw(t, "address"), MaxConcurrent: rapid.IntRange(0, 3).Draw(t, "max")}
			}), 1, 3).Draw(t, "endpoints"),
		}
	})
	product := rapid.Custom(func(t *rapid.T) wigeonshift.Product {
		return wigeonshift.Product{
			Organisations: rapid.MapOfN(name, organisation, 1, 3).Draw(t, "organisations"),
			Services:      rapid.MapOfN(name, service, 1, 2).Draw(t, "services"),
		}
	})
	return &wigeonshift.Configuration{Products: rapid.MapOfN(name, product, 1, 3).Draw(t, "products")}
}

var _ = Describe("Diff", func() {
	It("returns the patch that turns one configuration into the other", func() {
		rapid.Check(suiteT, func(t *rapid.T) {
			a, b := drawConfiguration(t), drawConfiguration(t)
			before, err := wigeonconfig.Encode(a)
			Expect(err).NotTo(HaveOccurred())
			patch, err := wigeonconfig.Diff(a, b)
			Expect(err).NotTo(HaveOccurred())
			got, err := wigeonconfig.Apply(a, patch)
			Expect(err).NotTo(HaveOccurred())
			got.Version = b.Version
			left, _ := wigeonconfig.Encode(got)
			right, _ := wigeonconfig.Encode(b)
			Expect(left).To(MatchJSON(right))
			Expect(wigeonconfig.Encode(a)).To(Equal(before), "the base configuration must not be modified")
		})
	})
})

type fixedSource struct{ c *wigeonshift.Configuration }

func (f *fixedSource) Current() *wigeonshift.Configuration { return f.c }
func (f *fixedSource) Changed() <-chan struct{}            { return nil }

var _ = Describe("Keyring", func() {
	It("accepts current keys, including both keys of a rotation, and rejects expired and revoked ones", func() {
		keys := map[string]wigeonshift.APIKey{}
		var presented []string
		for range 2 {
			id, secret, stored := wigeonconfig.GenerateAPIKey()
			keys[id] = stored
			presented = append(presented, wigeonconfig.FormatAPIKey(id, secret))
		}
		expired := wigeonconfig.NewAPIKey("s")
		expired.NotAfter = time.Now().Add(-time.Second)
		keys["old"] = expired
		source := &fixedSource{}
		ring := wigeonconfig.NewKeyring(source)
		_, _, err := ring.Authenticate(presented[0])
		Expect(err).To(MatchError(wigeonshift.ErrNoConfiguration))
		source.c = &wigeonshift.Configuration{Products: map[string]wigeonshift.Product{
			"p": {Organisations: map[string]wigeonshift.Organisation{"o": {APIKeys: keys}}},
		}}
		for _, p := range presented {
			caller, _, err := ring.Authenticate(p)
			Expect(err).NotTo(HaveOccurred())
			Expect(caller.Organisation).To(Equal("o"))
		}
		for _, p := range []string{"old.s", presented[0] + "x", "", ".", "nobody.s"} {
			_, _, err := ring.Authenticate(p)
			Expect(err).To(MatchError(wigeonconfig.ErrUnknownKey))
		}
		source.c = &wigeonshift.Configuration{}
		_, _, err = ring.Authenticate(presented[0])
		Expect(err).To(MatchError(wigeonconfig.ErrUnknownKey))
	})
})
