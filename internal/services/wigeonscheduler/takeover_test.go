package wigeonscheduler

import (
	"fmt"
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A new owner", func() {
	const lowerTierAttempts, higherTierRequests = 8, 4
	lowerTierAttempt := func(ts *testShard, i int) wigeonshift.RunningAttempt {
		id := wigeonshift.RequestID(fmt.Sprint("draft", i))
		return wigeonshift.RunningAttempt{
			Token: wigeonshift.AttemptToken(id), Endpoint: fmt.Sprintf("e%d", i%4), TokensDone: 10,
			Request: wigeonshift.PermitRequest{
				ID: id, Shard: "p/s/r/0", Organisation: "o", Rank: 3, Model: "m",
				Deadline: ts.now.Add(2 * time.Minute), PromptTokens: 1000, MaxTokens: 500,
			},
		}
	}

	// Guards against retries beyond the limit of the shard: its owners together saved maxSavedRetries again with each takeover.
	It("has no saved retries, as its predecessors may have used them", func() {
		retry := func(ts *testShard, id string) *wigeonshift.Refusal {
			answers := ts.ask(id, 1, func(q *wigeonshift.PermitRequest) { q.Attempt = 1 })
			return answers[wigeonshift.RequestID(id)][0].Refuse
		}
		ts := newTestShard(40, nil)
		Expect(retry(ts, "first owner")).To(BeNil())
		ts = newTestShard(40, nil)
		ts.st.Shard = NewShard("p/s/r/0")
		specs := map[string]wigeonshift.EndpointSpec{}
		for i := range 40 {
			specs[fmt.Sprintf("e%d", i)] = wigeonshift.EndpointSpec{State: wigeonshift.EndpointActive, Models: []string{"m"}, MaxConcurrent: 2}
		}
		ts.send(LeaseAcquired{Epoch: 2})
		ts.send(ConfigurationChanged{Version: 1, Endpoints: specs, Product: &wigeonshift.Product{}})
		Expect(retry(ts, "new owner")).To(HaveField("Reason", wigeonshift.ReasonRetryBudget))
		for i := range int(1/retryRatio) + 1 {
			ts.ask(fmt.Sprint("request", i), 1, nil)
		}
		Expect(retry(ts, "after new requests")).To(BeNil())
	})

	It("does not refuse higher-tier requests that waited for the takeover while lower-tier attempts run", func() {
		ts := newTestShard(4, nil)
		ts.st.Shard = NewShard("p/s/r/0")
		specs := map[string]wigeonshift.EndpointSpec{}
		for i := range 4 {
			specs[fmt.Sprintf("e%d", i)] = wigeonshift.EndpointSpec{
				State: wigeonshift.EndpointActive, Models: []string{"m"}, CanPause: true, MaxConcurrent: 2,
			}
		}
		ts.send(ConfigurationChanged{Version: 1, Endpoints: specs, Product: &wigeonshift.Product{}})
		granted := map[wigeonshift.RequestID]bool{}
		recordAnswers := func(answers map[wigeonshift.RequestID][]wigeonshift.PermitAnswer) {
			GinkgoHelper()
			for id, list := range answers {
				for _, a := range list {
					Expect(a.Refuse).To(BeNil(), "%s: %+v", id, a.Refuse)
					granted[id] = granted[id] || a.Grant != nil
				}
			}
		}
		advance := func(d time.Duration) {
			GinkgoHelper()
			for end := ts.now.Add(d); ts.now.Before(end); {
				ts.now = ts.now.Add(100 * time.Millisecond)
				recordAnswers(ts.send(Tick{}))
			}
		}
		withDeadline := func(q *wigeonshift.PermitRequest) { q.Deadline = ts.now.Add(8 * time.Second) }
		for i := range higherTierRequests {
			recordAnswers(ts.ask(fmt.Sprint("early", i), 1, withDeadline))
		}
		advance(2 * time.Second)
		var running []wigeonshift.RunningAttempt
		for i := range lowerTierAttempts {
			running = append(running, lowerTierAttempt(ts, i))
		}
		ts.send(LeaseAcquired{Epoch: 2, RebuildUntil: ts.now.Add(time.Second)})
		ts.send(EntryReported{Entry: "entry", Attempts: running})
		for i := range higherTierRequests {
			recordAnswers(ts.ask(fmt.Sprint("late", i), 1, withDeadline))
		}
		advance(1500 * time.Millisecond)
		Expect(granted).To(HaveLen(2*higherTierRequests + lowerTierAttempts))
		// Every new request is granted. The running attempts, whose IDs start with d, get no grant.
		for id, isGranted := range granted {
			Expect(isGranted).To(Equal(id[0] != 'd'), string(id))
		}
	})
})
