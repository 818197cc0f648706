package wigeonscenario_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"wigeonshift"
	"wigeonshift/internal/load/wigeonscenario"
	"wigeonshift/internal/models/wigeonconfig"
	"wigeonshift/internal/modules/wigeonprompt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestScenario(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeonscenario")
}

const validScenario = `name = "test"
seed = 5
[[classes]]
name = "plans"
organisation = "loft"
apiKey = "k.s"
tier = "standard"
kind = "completion"
model = "m"
deadline = "5s"
prompt = { min = 80, max = 8000 }
answer = { min = 2, max = 12 }
shared = { prefixes = 2, tokens = 128 }
[classes.arrival]
process = "open"
rate = 10
burstFactor = 5
burstEvery = "10s"
burstLength = "2s"
`

var _ = Describe("Scenarios", func() {
	DescribeTable("are rejected with an error that names the key and its position",
		func(old, replacement string, parts ...string) {
			text := strings.Replace(validScenario, old, replacement, 1)
			Expect(text).NotTo(Equal(validScenario))
			_, err := wigeonscenario.Parse("test.toml", []byte(text))
			Expect(err).To(MatchError(wigeonscenario.ErrInvalid))
			for _, part := range parts {
				Expect(err).To(MatchError(ContainSubstring(part)))
			}
		},
		Entry("unknown key", "tier =", "teir =", "test.toml:7:1", "classes.teir"),
		Entry("wrong type", "seed = 5", `seed = "five"`, "test.toml:2"),
		Entry("invalid duration", `"5s"`, `"soon"`, "test.toml:10"),
		Entry("value out of range", "rate = 10", "rate = -1", "test.toml:16", "classes[0].arrival.rate"),
		Entry("maximum length below the minimum", "max = 8000", "max = 8", "classes[0].prompt.max"),
		Entry("missing key", `model = "m"`, "", "test.toml:3", "classes[0].model"),
		Entry("keys that contradict each other", `burstLength = "2s"`, `burstLength = "20s"`, "classes[0]", "arrival.burstLength"),
		Entry("rate of 0", "rate = 10", "rate = 0", "arrival.rate"),
	)

	It("generate the same requests from the same seed and different ones from another seed", func() {
		first, err := wigeonscenario.Parse("test.toml", []byte(validScenario))
		Expect(err).NotTo(HaveOccurred())
		second := *first
		second.Seed++
		a, b, c := first.NewGenerator(0, 0), first.NewGenerator(0, 0), second.NewGenerator(0, 0)
		for range 20 {
			request := a.Next()
			Expect(b.Next()).To(Equal(request))
			Expect(c.Next().Prompt).NotTo(Equal(request.Prompt))
		}
	})

	It("generate prompt lengths over the whole range after a shared prefix", func() {
		s, err := wigeonscenario.Parse("test.toml", []byte(validScenario))
		Expect(err).NotTo(HaveOccurred())
		generator := s.NewGenerator(0, 0)
		prefixes := map[string]bool{}
		short, long := 0, 0
		for range 1000 {
			r := generator.Next()
			ownTokens := wigeonprompt.Tokens(r.Prompt) - 128
			Expect(ownTokens).To(And(BeNumerically(">=", 80), BeNumerically("<=", 8000)))
			Expect(r.MaxTokens).To(And(BeNumerically(">=", 2), BeNumerically("<=", 12)))
			prefixes[r.Prompt[:128*wigeonprompt.BytesPerToken]] = true
			if ownTokens < 800 {
				short++
			} else {
				long++
			}
		}
		// 800 is the geometric mean of 80 and 8000. Half of the lengths lie below it, since their logarithm is uniformly
		// distributed.
		Expect(short).To(BeNumerically("~", long, 150))
		Expect(prefixes).To(HaveLen(2))
	})

	It("generate requests at the configured rate and faster in bursts", func() {
		s, err := wigeonscenario.Parse("test.toml", []byte(validScenario))
		Expect(err).NotTo(HaveOccurred())
		generator, arrival := s.NewGenerator(0, 0), s.Classes[0].Arrival
		outsideBursts, inBursts := 0, 0
		const periods = 200
		for at := time.Duration(0); at < periods*10*time.Second; at += arrival.InterArrivalTime(generator.Random(), at) {
			if at%(10*time.Second) >= 8*time.Second {
				inBursts++
			} else {
				outsideBursts++
			}
		}
		// Each period has 8 s at 10 requests/s and 2 s at 50 requests/s. The bounds are 5 standard deviations of a Poisson
		// distribution.
		Expect(outsideBursts).To(BeNumerically("~", periods*80, 640))
		Expect(inBursts).To(BeNumerically("~", periods*100, 710))
	})

	It("are valid in all scenario files of the repository", func() {
		files, err := filepath.Glob("../../../scenarios/*.toml")
		Expect(err).NotTo(HaveOccurred())
		Expect(len(files)).To(BeNumerically(">=", 4))
		for _, file := range files {
			_, err := wigeonscenario.Load(file)
			Expect(err).NotTo(HaveOccurred(), file)
		}
	})

	DescribeTable("match the configuration file of the same name",
		func(name string, engines, plains int) {
			s, err := wigeonscenario.Load("../../../scenarios/" + name + ".toml")
			Expect(err).NotTo(HaveOccurred())
			text, err := os.ReadFile("../../../scenarios/" + name + ".json")
			Expect(err).NotTo(HaveOccurred())
			var c wigeonshift.Configuration
			Expect(json.Unmarshal(text, &c)).To(Succeed())
			Expect(wigeonconfig.Check(&c)).To(Succeed())
			index := wigeonconfig.NewKeyIndex(&c)
			organisations := map[string]bool{}
			for _, class := range s.Classes {
				caller, err := index.Authenticate(class.APIKey, time.Now())
				Expect(err).NotTo(HaveOccurred())
				Expect(caller.Organisation).To(Equal(class.Organisation))
				product := c.Products[caller.Product]
				Expect(product.Organisations[class.Organisation].Tiers).To(ContainElement(class.Tier))
				Expect(serves(product, class)).To(BeTrue(), class.Name)
				organisations[class.Organisation] = true
			}
			Expect(organisations).To(HaveLen(5))
			Expect(addresses(&c, wigeonshift.ServiceModel)).To(ConsistOf(s.Engines))
			Expect(addresses(&c, wigeonshift.ServicePlain)).To(ConsistOf(s.Plains))
			Expect(s.Engines).To(HaveLen(engines))
			Expect(s.Plains).To(HaveLen(plains))
		},
		Entry(nil, "instituto", 12, 4), //nolint:misspell // The name is Spanish.
		Entry(nil, "asociacion", 9, 3),
	)
})

// serves reports whether a product can serve the requests of a class: a service with the model, or a service whose
// non-idempotent methods agree with the scenario.
func serves(p wigeonshift.Product, class wigeonscenario.Class) bool {
	if class.Kind == wigeonscenario.KindCall {
		methods := p.Services[class.Call.Service].NonIdempotentMethods
		return slices.Contains(methods, class.Call.Method) == class.Call.NonIdempotent
	}
	for _, s := range p.Services {
		if slices.Contains(s.Models, class.Model) {
			return true
		}
	}
	return false
}

// addresses returns the addresses of the endpoints of all services of a kind.
func addresses(c *wigeonshift.Configuration, kind wigeonshift.ServiceKind) []string {
	var found []string
	for _, p := range c.Products {
		for _, s := range p.Services {
			for _, e := range s.Endpoints {
				if s.Kind == kind {
					found = append(found, e.Address)
				}
			}
		}
	}
	return found
}
