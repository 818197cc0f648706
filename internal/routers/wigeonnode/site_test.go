package wigeonnode_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"wigeonshift"
	"wigeonshift/internal/load/wigeonload"
	"wigeonshift/internal/load/wigeonscenario"
	"wigeonshift/internal/modules/wigeonprotocol"
	"wigeonshift/internal/modules/wigeonsetting"
	"wigeonshift/internal/modules/wigeontoml"
	"wigeonshift/internal/routers/wigeonnode"
	"wigeonshift/internal/routers/wigeonoperator"
	"wigeonshift/internal/standin/wigeondev"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
)

func TestWigeonnode(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeonnode")
}

// patience bounds every wait for a state.
const patience = 30 * time.Second

// nodeCount is the number of nodes before the site.
const nodeCount = 3

// world is a site of stand-ins with nodes before it, on free loopback ports.
type world struct {
	site  *wigeondev.Site
	nodes []*wigeonnode.Node
}

// startWorld starts everything and waits until the nodes take requests.
func startWorld() *world {
	ctx := context.Background()
	site, err := wigeondev.Start(ctx)
	Expect(err).NotTo(HaveOccurred())
	w := &world{site: site}
	for i := range nodeCount {
		w.nodes = append(w.nodes, startNode(site.PlatformAddress(), fmt.Sprintf("node-%d", i)))
	}
	for _, n := range w.nodes {
		Eventually(n.Ready, patience).Should(BeTrue())
	}
	return w
}

// startNode starts one node before a platform.
func startNode(platform, id string) *wigeonnode.Node {
	ctx := context.Background()
	log := logrus.New()
	log.SetOutput(GinkgoWriter)
	s := wigeonsetting.Default()
	s.Node = wigeonsetting.Node{ID: id, Zone: "a", Region: wigeondev.Region}
	s.Caller.Listen, s.Peer.Listen, s.Operator.Listen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Operator.Keys = []wigeonsetting.OperatorKey{wigeondev.OperatorEntry()}
	s.Metrics.Listen = ""
	s.Platform.Address, s.Platform.Announce = platform, true
	s.Drain.Notice.Duration = time.Second
	n, err := wigeonnode.New(ctx, s, log)
	Expect(err).NotTo(HaveOccurred())
	Expect(n.Start(ctx)).To(Succeed())
	return n
}

// stop ends everything.
func (w *world) stop() {
	ctx := context.Background()
	for _, n := range w.nodes {
		Expect(n.Close(ctx)).To(Succeed())
	}
	Expect(w.site.Stop(ctx)).To(Succeed())
}

// callers returns the addresses of the callers' APIs.
func (w *world) callers() []string {
	var addresses []string
	for _, n := range w.nodes {
		addresses = append(addresses, n.Addresses().Caller)
	}
	return addresses
}

// without returns the nodes but one.
func without(nodes []*wigeonnode.Node, one *wigeonnode.Node) []*wigeonnode.Node {
	return slices.DeleteFunc(slices.Clone(nodes), func(n *wigeonnode.Node) bool { return n == one })
}

// operators keeps one client for each node, since the operators' API bounds its connections.
var operators = map[*wigeonnode.Node]*wigeonoperator.Client{}

// operator returns the client of one node's operators' API.
func operator(n *wigeonnode.Node) *wigeonoperator.Client {
	if operators[n] == nil {
		operators[n] = wigeonoperator.NewClient("http://"+n.Addresses().Operator, wigeondev.OperatorKey)
	}
	return operators[n]
}

// status returns one node's state.
func status(n *wigeonnode.Node) wigeonshift.InstanceStatus {
	s, err := operator(n).Status()
	Expect(err).NotTo(HaveOccurred())
	return s
}

// owner returns the node that owns the shard of a service, nil while there is none.
func (w *world) owner(service string) *wigeonnode.Node {
	prefix := wigeondev.Product + "/" + service + "/"
	for _, n := range w.nodes {
		for _, s := range status(n).Shards {
			if strings.HasPrefix(string(s.Shard), prefix) {
				return n
			}
		}
	}
	return nil
}

// load returns a runner that sends short requests of all kinds to all nodes, each once.
func (w *world) load(seed uint64, duration time.Duration) *wigeonload.Runner {
	s := &wigeonscenario.Scenario{
		Name: "site", Seed: seed, Duration: wigeontoml.Duration{Duration: duration}, Nodes: w.callers(),
		Classes: []wigeonscenario.Class{
			class("questions", "urgent", wigeonscenario.KindChat, true),
			class("tags", "background", wigeonscenario.KindCompletion, false),
			class("reads", "interactive", wigeonscenario.KindCall, false),
			class("issues", "interactive", wigeonscenario.KindCall, false),
		},
	}
	s.Classes[2].Call = wigeonscenario.Call{Service: wigeondev.RecordsService, Method: http.MethodGet, Path: "/boats/%d/history"}
	s.Classes[3].Call = wigeonscenario.Call{
		Service: wigeondev.RecordsService, Method: http.MethodPost, Path: "/issues", NonIdempotent: true,
	}
	for _, e := range w.site.Engines {
		s.Engines = append(s.Engines, e.Address())
	}
	for _, p := range w.site.Services {
		s.Plains = append(s.Plains, p.Address())
	}
	return wigeonload.New(s)
}

// class returns a class of two callers that send one short request after the other.
func class(name, tier string, kind wigeonscenario.Kind, stream bool) wigeonscenario.Class {
	c := wigeonscenario.Class{
		Name: name, Organisation: wigeondev.Organisation, APIKey: wigeondev.CallerKey, Tier: tier, Kind: kind, Stream: stream,
		Deadline: wigeontoml.Duration{Duration: patience},
		Arrival: wigeonscenario.Arrival{
			Process: wigeonscenario.ProcessClosed, Callers: 2, Think: wigeontoml.Duration{Duration: 20 * time.Millisecond},
		},
	}
	if kind != wigeonscenario.KindCall {
		c.Model = wigeondev.Model
		c.Prompt = wigeonscenario.Lengths{Min: 16, Max: 200}
		c.Answer = wigeonscenario.Lengths{Min: 4, Max: 24}
	}
	return c
}

// expectAllGood requires that every request got its whole own answer and that no invariant broke.
func expectAllGood(res *wigeonload.Result) {
	GinkgoHelper()
	Expect(res.Checks.Violated()).To(BeFalse(), "%+v", res.Checks)
	Expect(res.Checks.Missing).To(BeZero())
	Expect(res.Tiers).To(HaveLen(3))
	for _, t := range res.Tiers {
		Expect(t.Good).To(BeNumerically(">", 0), t.Tier)
		Expect(t.Good).To(Equal(t.Requests), "%s %s: %+v, refusals %+v", t.Tier, t.Kind, t.TierCounts, res.Refusals)
		Expect(t.Resends).To(BeZero())
	}
}

// answer is what a caller got.
type answer struct {
	status   int
	replayed string
	body     string
}

// issue posts a non-idempotent call to a node.
func issue(n *wigeonnode.Node, key, body string) answer {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + n.Addresses().Caller + "/v1/services/" + wigeondev.RecordsService + "/issues")
	request.Header.SetMethod(http.MethodPost)
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+wigeondev.CallerKey)
	request.Header.Set(wigeonprotocol.HeaderIdempotencyKey, key)
	request.SetBodyString(body)
	Expect(fasthttp.DoTimeout(request, response, patience)).To(Succeed())
	return answer{
		status: response.StatusCode(), replayed: string(response.Header.Peek("Wigeon-Replayed")), body: string(response.Body()),
	}
}
