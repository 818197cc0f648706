package wigeonscheduler

import (
	"fmt"
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The detection of stragglers by time per token", func() {
	// runStream runs one request whose tokens arrive at the given time per token. It returns the endpoint's health.
	runStream := func(ts *testShard, id string, pace time.Duration, tokens int) string {
		GinkgoHelper()
		p := ts.ask(id, 1, nil)[wigeonshift.RequestID(id)][0].Grant
		Expect(p).NotTo(BeNil())
		report := wigeonshift.AttemptReport{Request: p.Request, Shard: p.Shard, Token: p.Token, Endpoint: p.Endpoint}
		for _, state := range []wigeonshift.AttemptState{
			wigeonshift.AttemptStarted, wigeonshift.AttemptFirstToken, wigeonshift.AttemptFinished,
		} {
			report.State = state
			if state == wigeonshift.AttemptFirstToken {
				report.Elapsed, report.TokensDone = time.Millisecond, 1
			}
			if state == wigeonshift.AttemptFinished {
				report.Elapsed, report.TokensDone = time.Millisecond+time.Duration(tokens-1)*pace, tokens
			}
			ts.send(AttemptReported{Entry: "entry", Report: report})
		}
		return ts.st.Shard.Status().Endpoints[0].Health
	}
	// runLongStream runs a stream that is long enough for its time per token to be checked.
	runLongStream := func(ts *testShard, id string, pace time.Duration) string {
		GinkgoHelper()
		return runStream(ts, id, pace, 50)
	}

	It("does not mark an endpoint as a straggler for a short answer slowed down by the prefill of a long prompt", func() {
		ts := newTestShard(1, nil)
		healthy := ""
		for i := range 5 {
			healthy = runLongStream(ts, fmt.Sprint("usual", i), 12*time.Millisecond)
		}
		Expect(runStream(ts, "short", 100*time.Millisecond, 8)).To(Equal(healthy))
	})

	DescribeTable("compares with the typical time per token",
		func(typical, slow time.Duration, straggler bool) {
			ts := newTestShard(1, nil)
			healthy := ""
			for i := range 5 {
				healthy = runLongStream(ts, fmt.Sprint("usual", i), typical)
			}
			Expect(runLongStream(ts, "slow", slow) != healthy).To(Equal(straggler))
		},
		Entry("five times the typical and above the target", 12*time.Millisecond, 60*time.Millisecond, true),
		Entry("ten times the typical and far below the target", 50*time.Microsecond, 500*time.Microsecond, false),
		Entry("twice the typical", 20*time.Millisecond, 40*time.Millisecond, false),
	)

	// runPlainCall runs one call of a plain service and returns the health of its endpoint.
	runPlainCall := func(ts *testShard, id string, took time.Duration, nonIdempotent bool) string {
		GinkgoHelper()
		answers := ts.ask(id, 1, func(q *wigeonshift.PermitRequest) { q.Model, q.NonIdempotent = "", nonIdempotent })
		Expect(answers[wigeonshift.RequestID(id)]).NotTo(BeEmpty(), "no permit")
		p := answers[wigeonshift.RequestID(id)][0].Grant
		Expect(p).NotTo(BeNil())
		report := wigeonshift.AttemptReport{Request: p.Request, Shard: p.Shard, Token: p.Token, Endpoint: p.Endpoint}
		report.State = wigeonshift.AttemptStarted
		ts.send(AttemptReported{Entry: "entry", Report: report})
		report.State, report.Elapsed = wigeonshift.AttemptFinished, took
		ts.send(AttemptReported{Entry: "entry", Report: report})
		for _, e := range ts.st.Shard.Status().Endpoints {
			if e.Name == p.Endpoint {
				return e.Health
			}
		}
		return ""
	}

	It("marks a plain service as up again after an idempotent call at an ordinary speed", func() {
		ts := newTestShard(2, func(e *wigeonshift.EndpointSpec) { e.Models = nil })
		healthy := ""
		for i := range 20 {
			healthy = runPlainCall(ts, fmt.Sprint("usual", i), 3*time.Millisecond, false)
		}
		Expect(runPlainCall(ts, "slow", 200*time.Millisecond, false)).NotTo(Equal(healthy))
		for i := range 40 {
			ts.now = ts.now.Add(time.Second)
			ts.send(Tick{})
			runPlainCall(ts, fmt.Sprint("after", i), 10*time.Millisecond, false)
		}
		for _, e := range ts.st.Shard.Status().Endpoints {
			Expect(e.Health).To(Equal(healthy), e.Name)
		}
	})

	It("keeps using stragglers if no faster endpoint is left", func() {
		ts := newTestShard(1, func(e *wigeonshift.EndpointSpec) { e.Models = nil })
		healthy := ""
		for i := range 5 {
			healthy = runPlainCall(ts, fmt.Sprint("usual", i), 3*time.Millisecond, true)
		}
		Expect(runPlainCall(ts, "slow", 200*time.Millisecond, true)).NotTo(Equal(healthy))
		for i := range 5 {
			runPlainCall(ts, fmt.Sprint("after", i), 200*time.Millisecond, true)
		}
		runPlainCall(ts, "recovered", 3*time.Millisecond, true)
		Expect(runPlainCall(ts, "last", 3*time.Millisecond, true)).To(Equal(healthy))
	})
})
