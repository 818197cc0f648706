package wigeonscheduler

import (
	"fmt"
	"testing"
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var suiteT *testing.T

func TestWigeonscheduler(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeonscheduler")
}

// testShard drives one shard with events.
type testShard struct {
	st  *State
	now time.Time
}

// newTestShard returns an owner of n endpoints with two slots each; change may modify their specs.
func newTestShard(n int, change func(*wigeonshift.EndpointSpec)) *testShard {
	ts := &testShard{st: &State{Shard: NewShard("p/s/r/0")}, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	specs := map[string]wigeonshift.EndpointSpec{}
	for i := range n {
		spec := wigeonshift.EndpointSpec{
			Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), State: wigeonshift.EndpointActive,
			Models: []string{"m"}, CanPause: true, MaxConcurrent: 2,
		}
		if change != nil {
			change(&spec)
		}
		specs[fmt.Sprintf("e%d", i)] = spec
	}
	ts.send(LeaseAcquired{Epoch: 1})
	ts.send(ConfigurationChanged{Version: 1, Endpoints: specs, Product: &wigeonshift.Product{}})
	return ts
}

// send applies an event and returns the resulting answers by request.
func (ts *testShard) send(body EventBody) map[wigeonshift.RequestID][]wigeonshift.PermitAnswer {
	answers := map[wigeonshift.RequestID][]wigeonshift.PermitAnswer{}
	for _, ef := range Reduce(ts.st, Event{At: ts.now, Random: uint64(ts.now.UnixNano()), Body: body}) {
		if a, ok := ef.(AnswerPermit); ok {
			answers[a.Request] = append(answers[a.Request], a.Answer)
		}
	}
	return answers
}

// ask requests a permit at a rank and returns all resulting answers, including those to other requests.
func (ts *testShard) ask(id string, rank int, change func(*wigeonshift.PermitRequest)) map[wigeonshift.RequestID][]wigeonshift.PermitAnswer {
	q := wigeonshift.PermitRequest{
		ID: wigeonshift.RequestID(id), Shard: "p/s/r/0", Organisation: "o", Rank: wigeonshift.TierRank(rank), Model: "m",
		Deadline: ts.now.Add(time.Minute), PromptTokens: 100, MaxTokens: 50,
	}
	if change != nil {
		change(&q)
	}
	return ts.send(PermitRequested{Entry: "entry", Request: q})
}

// report sends a report on an attempt.
func (ts *testShard) report(p *wigeonshift.Permit, state wigeonshift.AttemptState) map[wigeonshift.RequestID][]wigeonshift.PermitAnswer {
	return ts.send(AttemptReported{Entry: "entry", Report: wigeonshift.AttemptReport{
		Request: p.Request, Shard: p.Shard, Token: p.Token, Endpoint: p.Endpoint, State: state, Elapsed: 50 * time.Millisecond, TokensDone: 1,
	}})
}

var _ = Describe("Shard", func() {
	It("grants up to the capacity, queues the rest and grants again when an attempt ends", func() {
		ts := newTestShard(1, nil)
		first := ts.ask("a", 1, nil)["a"][0].Grant
		Expect(first).NotTo(BeNil())
		Expect(ts.ask("b", 1, nil)["b"][0].Grant).NotTo(BeNil())
		Expect(ts.ask("c", 1, nil)).To(BeEmpty())
		ts.report(first, wigeonshift.AttemptStarted)
		Expect(ts.report(first, wigeonshift.AttemptFinished)["c"][0].Grant).NotTo(BeNil())
	})

	It("answers a repeated request with the same permit and ignores a repeat after the attempt has ended", func() {
		ts := newTestShard(1, nil)
		first := ts.ask("a", 1, nil)["a"][0].Grant
		Expect(ts.ask("a", 1, nil)["a"][0].Grant.Token).To(Equal(first.Token))
		ts.report(first, wigeonshift.AttemptFinished)
		Expect(ts.ask("a", 1, nil)).To(BeEmpty())
	})
})
