package wigeonscheduler

import (
	"fmt"
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The judgement on an endpoint's pace", func() {
	// answer runs one request whose tokens come at a pace, and returns the endpoint's health.
	finish := func(r *rig, id string, pace time.Duration, tokens int) string {
		GinkgoHelper()
		p := r.ask(id, 1, nil)[wigeonshift.RequestID(id)][0].Grant
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
			r.send(AttemptReported{Entry: "entry", Report: report})
		}
		return r.st.Shard.Status().Endpoints[0].Health
	}
	answer := func(r *rig, id string, pace time.Duration) string {
		GinkgoHelper()
		return finish(r, id, pace, 50)
	}

	It("does not blame an endpoint for a few tokens beside the prefill of a long prompt", func() {
		r := newRig(1, nil)
		healthy := ""
		for i := range 5 {
			healthy = answer(r, fmt.Sprint("usual", i), 12*time.Millisecond)
		}
		Expect(finish(r, "short", 100*time.Millisecond, 8)).To(Equal(healthy))
	})

	DescribeTable("against its typical pace",
		func(typical, slow time.Duration, straggler bool) {
			r := newRig(1, nil)
			healthy := ""
			for i := range 5 {
				healthy = answer(r, fmt.Sprint("usual", i), typical)
			}
			Expect(answer(r, "slow", slow) != healthy).To(Equal(straggler))
		},
		Entry("five times the usual and above the target", 12*time.Millisecond, 60*time.Millisecond, true),
		Entry("ten times the usual and far below the target", 50*time.Microsecond, 500*time.Microsecond, false),
		Entry("twice the usual", 20*time.Millisecond, 40*time.Millisecond, false),
	)

	// call runs one call of a plain service and returns the health of its endpoint.
	call := func(r *rig, id string, took time.Duration, nonIdempotent bool) string {
		GinkgoHelper()
		answers := r.ask(id, 1, func(q *wigeonshift.PermitRequest) { q.Model, q.NonIdempotent = "", nonIdempotent })
		Expect(answers[wigeonshift.RequestID(id)]).NotTo(BeEmpty(), "no permit")
		p := answers[wigeonshift.RequestID(id)][0].Grant
		Expect(p).NotTo(BeNil())
		report := wigeonshift.AttemptReport{Request: p.Request, Shard: p.Shard, Token: p.Token, Endpoint: p.Endpoint}
		report.State = wigeonshift.AttemptStarted
		r.send(AttemptReported{Entry: "entry", Report: report})
		report.State, report.Elapsed = wigeonshift.AttemptFinished, took
		r.send(AttemptReported{Entry: "entry", Report: report})
		for _, e := range r.st.Shard.Status().Endpoints {
			if e.Name == p.Endpoint {
				return e.Health
			}
		}
		return ""
	}

	It("takes a plain service back by a read at an ordinary time", func() {
		r := newRig(2, func(e *wigeonshift.EndpointSpec) { e.Models = nil })
		healthy := ""
		for i := range 20 {
			healthy = call(r, fmt.Sprint("usual", i), 3*time.Millisecond, false)
		}
		Expect(call(r, "slow", 200*time.Millisecond, false)).NotTo(Equal(healthy))
		for i := range 40 {
			r.now = r.now.Add(time.Second)
			r.send(Ticked{})
			call(r, fmt.Sprint("after", i), 10*time.Millisecond, false)
		}
		for _, e := range r.st.Shard.Status().Endpoints {
			Expect(e.Health).To(Equal(healthy), e.Name)
		}
	})

	It("goes on with stragglers where nothing quicker is left", func() {
		r := newRig(1, func(e *wigeonshift.EndpointSpec) { e.Models = nil })
		healthy := ""
		for i := range 5 {
			healthy = call(r, fmt.Sprint("usual", i), 3*time.Millisecond, true)
		}
		Expect(call(r, "slow", 200*time.Millisecond, true)).NotTo(Equal(healthy))
		for i := range 5 {
			call(r, fmt.Sprint("after", i), 200*time.Millisecond, true)
		}
		call(r, "recovered", 3*time.Millisecond, true)
		Expect(call(r, "last", 3*time.Millisecond, true)).To(Equal(healthy))
	})
})
