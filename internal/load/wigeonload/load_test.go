package wigeonload_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"wigeonshift"
	"wigeonshift/internal/load/wigeonload"
	"wigeonshift/internal/load/wigeonscenario"
	"wigeonshift/internal/services/wigeonendpoint"
	"wigeonshift/internal/standin/wigeonengine"
	"wigeonshift/internal/standin/wigeonplain"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeonload")
}

// fakeNode serves the API for callers with one engine and one plain service, and injects the faults that are set.
type fakeNode struct {
	engine, plain              wigeonshift.Endpoint
	attemptCount, requestCount atomic.Int64
	// answersOtherPrompt makes the node return the response to another prompt.
	answersOtherPrompt bool
	// executesTwice makes the node execute every request twice.
	executesTwice bool
	// refusesAfterExecution makes the node execute every request and then refuse it as not run.
	refusesAfterExecution bool
	// truncatesStreams makes the node end streams without the end marker.
	truncatesStreams bool
	// refusesAlternately makes the node refuse every other request, starting with the first, with a retry delay.
	refusesAlternately bool
}

func (f *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/readyz" {
		return
	}
	if f.refusesAlternately && f.requestCount.Add(1)%2 == 1 {
		f.refuse(w)
		return
	}
	body, _ := io.ReadAll(r.Body)
	for i := range f.executions() {
		if i > 0 {
			// The caller gets only the response of the first execution.
			w = httptest.NewRecorder()
		}
		if path, ok := strings.CutPrefix(r.URL.Path, "/v1/services/records"); ok {
			f.serveCall(w, r.Method, path, body)
		} else {
			f.serveCompletion(w, body)
		}
	}
	if f.refusesAfterExecution {
		f.refuse(w)
	}
}

func (f *fakeNode) executions() int {
	if f.executesTwice {
		return 2
	}
	return 1
}

func (f *fakeNode) newToken() wigeonshift.AttemptToken {
	return wigeonshift.AttemptToken(fmt.Sprintf("t%d", f.attemptCount.Add(1)))
}

func (f *fakeNode) refuse(w http.ResponseWriter) {
	w.WriteHeader(http.StatusServiceUnavailable)
	fmt.Fprint(w, `{"error":{"reason":"queueFull","state":"notRun","retryAfterMs":1}}`)
}

func (f *fakeNode) serveCall(w http.ResponseWriter, method, path string, body []byte) {
	response, err := f.plain.Call(context.Background(), wigeonshift.ServiceCall{
		Token: f.newToken(), Method: method, Path: path, Body: body,
	}, nil)
	if err == nil && !f.refusesAfterExecution {
		w.WriteHeader(response.Status)
		_, _ = w.Write(response.Body)
	}
}

func (f *fakeNode) serveCompletion(w http.ResponseWriter, body []byte) {
	var request struct {
		Model, Prompt string
		MaxTokens     int `json:"max_tokens"`
		Stream        bool
	}
	_ = json.Unmarshal(body, &request)
	if f.answersOtherPrompt {
		request.Prompt = "another caller's"
	}
	var text strings.Builder
	_, err := f.engine.Generate(context.Background(), wigeonshift.GenerateRequest{
		Token: f.newToken(), Model: request.Model, Prompt: request.Prompt, MaxTokens: request.MaxTokens,
	}, nil, func(c wigeonshift.Chunk) error {
		text.WriteString(c.Text)
		if request.Stream && !f.refusesAfterExecution {
			fmt.Fprintf(w, "data: {\"choices\":[{\"text\":%q}]}\n\n", c.Text)
			w.(http.Flusher).Flush()
		}
		return nil
	})
	if err != nil || f.refusesAfterExecution {
		return
	}
	if !request.Stream {
		fmt.Fprintf(w, `{"choices":[{"text":%q}]}`, text.String())
	} else if !f.truncatesStreams {
		fmt.Fprint(w, "data: [DONE]\n\n")
	}
}

// runScenario runs a short scenario against a fake node and expects that both ledgers were compared.
func runScenario(f *fakeNode) *wigeonload.Result {
	runner, _ := newRunner(f)
	res, err := runner.Run(context.Background())
	Expect(err).NotTo(HaveOccurred())
	Expect(res.Checks.Ledgers).To(Equal(2))
	return res
}

// newRunner returns a runner for a short scenario with the fake node, a stand-in engine and a stand-in plain service.
func newRunner(f *fakeNode) (runner *wigeonload.Runner, engineAddress string) {
	ctx := context.Background()
	engine := wigeonengine.New("127.0.0.1:0", wigeonengine.WithSpeed(wigeonengine.Speed{
		DecodeStep: time.Millisecond, MaxBatch: 8, PrefillChunk: 512,
	}))
	plain := wigeonplain.New("127.0.0.1:0")
	Expect(engine.Start(ctx)).To(Succeed())
	Expect(plain.Start(ctx)).To(Succeed())
	dialer := wigeonendpoint.New()
	f.engine, f.plain = dialer.Endpoint(engine.Address()), dialer.Endpoint(plain.Address())
	node := httptest.NewServer(f)
	DeferCleanup(func() {
		node.Close()
		dialer.CloseIdle()
		ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		_ = engine.Stop(ctx)
		_ = plain.Stop(ctx)
	})
	s, err := wigeonscenario.Parse("test.toml", []byte(scenario))
	Expect(err).NotTo(HaveOccurred())
	s.Nodes = []string{strings.TrimPrefix(node.URL, "http://")}
	s.Engines, s.Plains = []string{engine.Address()}, []string{plain.Address()}
	return wigeonload.New(s), engine.Address()
}

const scenario = `
name = "test"
seed = 5
duration = "400ms"
[[classes]]
name = "whole"
organisation = "loft"
apiKey = "k.s"
tier = "standard"
kind = "completion"
model = "heron-small"
deadline = "5s"
resends = 5
arrival = { process = "closed", callers = 2 }
prompt = { min = 10, max = 400 }
answer = { min = 2, max = 12 }
shared = { prefixes = 2, tokens = 128 }
[[classes]]
name = "stream"
organisation = "loft"
apiKey = "k.s"
tier = "urgent"
kind = "completion"
model = "heron-small"
stream = true
deadline = "5s"
resends = 0
arrival = { process = "open", rate = 40 }
prompt = { min = 10, max = 100 }
answer = { min = 8, max = 20 }
[[classes]]
name = "issues"
organisation = "loft"
apiKey = "k.s"
tier = "urgent"
kind = "call"
deadline = "5s"
arrival = { process = "open", rate = 20 }
call = { service = "records", method = "POST", path = "/issues", nonIdempotent = true }
[[classes]]
name = "history"
organisation = "loft"
apiKey = "k.s"
tier = "urgent"
kind = "call"
deadline = "5s"
arrival = { process = "closed", callers = 1 }
call = { service = "records", method = "GET", path = "/boats/%d/history" }
`

var _ = Describe("A run", func() {
	sum := func(res *wigeonload.Result) (c wigeonload.TierCounts) {
		for _, t := range res.Tiers {
			c.Requests += t.Requests
			c.Good += t.Good
			c.Broken += t.Broken
			c.Refused += t.Refused
			c.Resends += t.Resends
		}
		return c
	}

	It("verifies every response of a node without faults", func() {
		res := runScenario(&fakeNode{})
		c := sum(res)
		Expect(c.Good).To(Equal(c.Requests))
		Expect(c.Good).To(BeNumerically(">", 20))
		Expect(res.Checks.Verified).To(Equal(c.Good))
		Expect(res.Checks.Violated()).To(BeFalse())
		// The results are standard tier to models, urgent tier to models and urgent tier to plain services.
		Expect(res.Tiers).To(HaveLen(3))
		streams := res.Tiers[1]
		Expect(streams.FirstToken.Count).To(BeNumerically(">", 0))
		Expect(streams.BetweenTokens.Count).To(BeNumerically(">", streams.FirstToken.Count))
		Expect(res.Prefill.Cached).To(BeNumerically(">", 0))
		Expect(res.Prefill.Wasted).To(Equal(res.Prefill.Computed - res.Prefill.Needed))
	})

	It("sends requests again that were refused with a retry delay", func() {
		res := runScenario(&fakeNode{refusesAlternately: true})
		Expect(sum(res).Resends).To(BeNumerically(">", 0))
		Expect(res.Refusals).NotTo(BeEmpty())
		Expect(res.Refusals[0].Reason).To(Equal(wigeonshift.ReasonQueueFull))
		Expect(res.Checks.Violated()).To(BeFalse())
	})

	It("detects responses to other requests", func() {
		res := runScenario(&fakeNode{answersOtherPrompt: true})
		Expect(res.Checks.Wrong).To(BeNumerically(">", 0))
		Expect(res.Checks.Violated()).To(BeTrue())
	})

	It("detects requests that were executed twice", func() {
		res := runScenario(&fakeNode{executesTwice: true})
		Expect(res.Checks.NonIdempotentTwice).To(BeNumerically(">", 0))
		Expect(res.Checks.DispatchedTooOften).To(BeNumerically(">", 0))
	})

	It("detects requests that were executed but refused as not run", func() {
		res := runScenario(&fakeNode{refusesAfterExecution: true})
		Expect(res.Checks.FalseNotRun).To(BeNumerically(">", 0))
	})

	It("counts a stream without its end marker as broken", func() {
		res := runScenario(&fakeNode{truncatesStreams: true})
		Expect(sum(res).Broken).To(BeNumerically(">", 0))
		Expect(res.Checks.Wrong).To(BeZero())
	})

	It("fails without nodes and has no good responses from unreachable ones", func() {
		s, err := wigeonscenario.Parse("test.toml", []byte(scenario))
		Expect(err).NotTo(HaveOccurred())
		_, err = wigeonload.New(s).Run(context.Background())
		Expect(err).To(MatchError(wigeonload.ErrNoNodes))
		s.Nodes = []string{"127.0.0.1:1"}
		s.Duration.Duration = 50 * time.Millisecond
		res, err := wigeonload.New(s).Run(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(sum(res).Good).To(BeZero())
		Expect(res.Checks.Verified).To(BeZero())
	})

	It("measures the overhead of the path through the nodes", func() {
		runner, engine := newRunner(&fakeNode{})
		o, err := runner.MeasureOverhead(context.Background(), engine, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(o.Node.Failed + o.Direct.Failed).To(BeZero())
	})
})
