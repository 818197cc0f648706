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

// eventTimeout is the timeout of every wait for a state.
const eventTimeout = 30 * time.Second

// nodeCount is the number of nodes in the cluster.
const nodeCount = 3

// cluster is a site of stand-in services and the nodes in front of it, on free loopback ports.
type cluster struct {
	site  *wigeondev.Site
	nodes []*wigeonnode.Node
}

// startCluster starts a site and its nodes, and waits until the nodes are ready.
func startCluster() *cluster {
	ctx := context.Background()
	site, err := wigeondev.Start(ctx)
	Expect(err).NotTo(HaveOccurred())
	c := &cluster{site: site}
	for i := range nodeCount {
		c.nodes = append(c.nodes, startNode(site.PlatformAddress(), fmt.Sprintf("node-%d", i)))
	}
	for _, n := range c.nodes {
		Eventually(n.Ready, eventTimeout).Should(BeTrue())
	}
	return c
}

// startNode starts one node that uses the platform at an address.
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

// stop stops the nodes and the site.
func (c *cluster) stop() {
	ctx := context.Background()
	for _, n := range c.nodes {
		Expect(n.Close(ctx)).To(Succeed())
	}
	Expect(c.site.Stop(ctx)).To(Succeed())
}

// callerAddresses returns the addresses of the caller APIs.
func (c *cluster) callerAddresses() []string {
	var addresses []string
	for _, n := range c.nodes {
		addresses = append(addresses, n.Addresses().Caller)
	}
	return addresses
}

// without returns all nodes except one.
func without(nodes []*wigeonnode.Node, excluded *wigeonnode.Node) []*wigeonnode.Node {
	return slices.DeleteFunc(slices.Clone(nodes), func(n *wigeonnode.Node) bool { return n == excluded })
}

// operatorClients caches one client per node, because the operator API limits the number of its connections.
var operatorClients = map[*wigeonnode.Node]*wigeonoperator.Client{}

// operatorClient returns a client of a node's operator API.
func operatorClient(n *wigeonnode.Node) *wigeonoperator.Client {
	if operatorClients[n] == nil {
		operatorClients[n] = wigeonoperator.NewClient("http://"+n.Addresses().Operator, wigeondev.OperatorKey)
	}
	return operatorClients[n]
}

// instanceStatus returns the status of a node.
func instanceStatus(n *wigeonnode.Node) wigeonshift.InstanceStatus {
	s, err := operatorClient(n).Status()
	Expect(err).NotTo(HaveOccurred())
	return s
}

// ownerOf returns the node that owns the shard of a service, or nil if there is none.
func (c *cluster) ownerOf(service string) *wigeonnode.Node {
	prefix := wigeondev.Product + "/" + service + "/"
	for _, n := range c.nodes {
		for _, s := range instanceStatus(n).Shards {
			if strings.HasPrefix(string(s.Shard), prefix) {
				return n
			}
		}
	}
	return nil
}

// newLoadRunner returns a runner that sends short requests of all kinds to all nodes and does not resend them.
func (c *cluster) newLoadRunner(seed uint64, duration time.Duration) *wigeonload.Runner {
	s := &wigeonscenario.Scenario{
		Name: "site", Seed: seed, Duration: wigeontoml.Duration{Duration: duration}, Nodes: c.callerAddresses(),
		Classes: []wigeonscenario.Class{
			newClass("questions", "urgent", wigeonscenario.KindChat, true),
			newClass("tags", "background", wigeonscenario.KindCompletion, false),
			newClass("reads", "interactive", wigeonscenario.KindCall, false),
			newClass("issues", "interactive", wigeonscenario.KindCall, false),
		},
	}
	s.Classes[2].Call = wigeonscenario.Call{Service: wigeondev.RecordsService, Method: http.MethodGet, Path: "/boats/%d/history"}
	s.Classes[3].Call = wigeonscenario.Call{
		Service: wigeondev.RecordsService, Method: http.MethodPost, Path: "/issues", NonIdempotent: true,
	}
	for _, e := range c.site.Engines {
		s.Engines = append(s.Engines, e.Address())
	}
	for _, p := range c.site.Services {
		s.Plains = append(s.Plains, p.Address())
	}
	return wigeonload.New(s)
}

// newClass returns a load class of two callers that each send short requests one after another.
func newClass(name, tier string, kind wigeonscenario.Kind, stream bool) wigeonscenario.Class {
	c := wigeonscenario.Class{
		Name: name, Organisation: wigeondev.Organisation, APIKey: wigeondev.CallerKey, Tier: tier, Kind: kind, Stream: stream,
		Deadline: wigeontoml.Duration{Duration: eventTimeout},
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

// expectAllGood requires that every request got its own complete response and that no invariant was violated.
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

// callAnswer is the response to a plain service call.
type callAnswer struct {
	status   int
	replayed string
	body     string
}

// postIssue sends a non-idempotent call to a node.
func postIssue(n *wigeonnode.Node, key, body string) callAnswer {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + n.Addresses().Caller + "/v1/services/" + wigeondev.RecordsService + "/issues")
	request.Header.SetMethod(http.MethodPost)
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+wigeondev.CallerKey)
	request.Header.Set(wigeonprotocol.HeaderIdempotencyKey, key)
	request.SetBodyString(body)
	Expect(fasthttp.DoTimeout(request, response, eventTimeout)).To(Succeed())
	return callAnswer{
		status: response.StatusCode(), replayed: string(response.Header.Peek("Wigeon-Replayed")), body: string(response.Body()),
	}
}
