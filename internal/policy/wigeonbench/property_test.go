package wigeonbench

import (
	"fmt"
	"testing"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonscheduler"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"
)

// chaosTest sends random events to a shard: requests, faults, and reports that are delayed, repeated, reordered or lost.
type chaosTest struct {
	t        *rapid.T
	st       *wigeonscheduler.State
	check    *Checker
	now      time.Time
	requests []wigeonshift.PermitRequest
	// inFlight holds the attempts that the entries have in flight, in the order of the permits.
	inFlight       []*entryAttempt
	delayedReports []wigeonscheduler.EventBody
	specs          map[string]wigeonshift.EndpointSpec
	version        uint64
	epoch          uint64
	restartCounts  map[string]int
}

// entryAttempt is the state of an attempt at its entry.
type entryAttempt struct {
	request wigeonshift.PermitRequest
	permit  *wigeonshift.Permit
	state   wigeonshift.AttemptState
	paused  bool
}

// entryOf returns the entry of a request, which the last character of its ID names.
func entryOf(id wigeonshift.RequestID) string { return "entry" + string(id[len(id)-1:]) }

func newChaosTest(t *rapid.T) *chaosTest {
	c := &chaosTest{
		t: t, st: &wigeonscheduler.State{Shard: wigeonscheduler.NewShard(shardID)}, check: NewChecker(), now: startTime,
		specs: map[string]wigeonshift.EndpointSpec{}, restartCounts: map[string]int{},
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "endpoints") {
		c.specs[fmt.Sprintf("e%d", i)] = wigeonshift.EndpointSpec{
			Address: "127.0.0.1:1", State: wigeonshift.EndpointActive, Models: []string{"m"},
			CanPause: rapid.Bool().Draw(t, "canPause"), MaxConcurrent: rapid.IntRange(1, 3).Draw(t, "slots"),
		}
	}
	c.epoch, c.check.Status, c.check.OutputShare = 1, c.st.Shard.Status, 1
	c.send(wigeonscheduler.LeaseAcquired{Epoch: 1})
	c.sendConfiguration()
	return c
}

// send passes an event to the reducer, checks the effects and handles the answers.
func (c *chaosTest) send(body wigeonscheduler.EventBody) {
	ev := wigeonscheduler.Event{At: c.now, Random: uint64(len(c.requests)) * 77777, Body: body}
	effects := wigeonscheduler.Reduce(c.st, ev)
	c.check.Observe(ev, effects)
	for _, ef := range effects {
		if a, ok := ef.(wigeonscheduler.AnswerPermit); ok {
			c.handleAnswer(a)
		}
	}
	if len(c.check.Violations) > 0 {
		c.t.Fatalf("after %T: %v", body, c.check.Violations)
	}
}

// handleAnswer handles an answer like an entry: a grant starts an attempt, and the report on a revocation is delayed and
// may be lost.
func (c *chaosTest) handleAnswer(ans wigeonscheduler.AnswerPermit) {
	switch {
	case ans.Answer.Grant != nil:
		for _, a := range c.inFlight {
			if a.permit.Token == ans.Answer.Grant.Token {
				return
			}
		}
		for i := range c.requests {
			if c.requests[i].ID == ans.Request {
				c.inFlight = append(c.inFlight, &entryAttempt{request: c.requests[i], permit: ans.Answer.Grant})
			}
		}
	case ans.Answer.Revoke != nil:
		for _, a := range c.inFlight {
			if a.permit.Token != ans.Answer.Revoke.Token || a.state == "" {
				continue
			}
			switch ans.Answer.Revoke.Action {
			case wigeonshift.RevokePause:
				c.delayedReports = append(c.delayedReports, c.attemptReport(a, wigeonshift.AttemptPaused))
			case wigeonshift.RevokeCancel:
				c.delayedReports = append(c.delayedReports, c.attemptReport(a, wigeonshift.AttemptCancelled))
				c.removeAttempt(a)
				return
			case wigeonshift.RevokeResume:
				c.delayedReports = append(c.delayedReports, c.attemptReport(a, wigeonshift.AttemptResumed))
			}
		}
	}
}

// attemptReport returns a report of an attempt and updates whether the attempt is paused.
func (c *chaosTest) attemptReport(a *entryAttempt, state wigeonshift.AttemptState) wigeonscheduler.EventBody {
	a.paused = state == wigeonshift.AttemptPaused
	return wigeonscheduler.AttemptReported{Entry: entryOf(a.request.ID), Report: wigeonshift.AttemptReport{
		Request: a.request.ID, Shard: shardID, Token: a.permit.Token, Endpoint: a.permit.Endpoint, State: state,
		TokensDone: 3, Elapsed: time.Duration(rapid.IntRange(1, 3000).Draw(c.t, "elapsed")) * time.Millisecond,
	}}
}

// removeAttempt ends an attempt at its entry.
func (c *chaosTest) removeAttempt(a *entryAttempt) {
	for i, o := range c.inFlight {
		if o == a {
			c.inFlight = append(c.inFlight[:i], c.inFlight[i+1:]...)
			return
		}
	}
}

func (c *chaosTest) sendConfiguration() {
	c.version++
	specs := map[string]wigeonshift.EndpointSpec{}
	for name, spec := range c.specs {
		specs[name] = spec
	}
	c.send(wigeonscheduler.ConfigurationChanged{Version: c.version, Endpoints: specs, Product: &wigeonshift.Product{
		Organisations: map[string]wigeonshift.Organisation{"o0": {MaxConcurrent: 2}, "o1": {TokensPerSecond: 2000}, "o2": {}},
	}})
}

func (c *chaosTest) drawEndpoint() string {
	return fmt.Sprintf("e%d", rapid.IntRange(0, len(c.specs)-1).Draw(c.t, "endpoint"))
}

// requestPermit sends a new request or repeats an earlier one.
func (c *chaosTest) requestPermit() {
	if len(c.requests) > 0 && rapid.IntRange(0, 4).Draw(c.t, "repeat") == 0 {
		r := c.requests[rapid.IntRange(0, len(c.requests)-1).Draw(c.t, "repeatedRequest")]
		c.send(wigeonscheduler.PermitRequested{Entry: entryOf(r.ID), Request: r})
		return
	}
	r := wigeonshift.PermitRequest{
		ID: wigeonshift.RequestID(fmt.Sprintf("r%d.%d", len(c.requests), rapid.IntRange(0, 1).Draw(c.t, "entry"))), Shard: shardID,
		Organisation: fmt.Sprintf("o%d", rapid.IntRange(0, 2).Draw(c.t, "organisation")),
		Rank:         wigeonshift.TierRank(rapid.IntRange(0, 3).Draw(c.t, "rank")), Model: "m",
		Deadline:     c.now.Add(time.Duration(rapid.IntRange(100, 30000).Draw(c.t, "deadline")) * time.Millisecond),
		PromptTokens: rapid.IntRange(1, 12000).Draw(c.t, "prompt"), MaxTokens: rapid.IntRange(1, 500).Draw(c.t, "max"),
		Fingerprint:   wigeonshift.Fingerprint(rapid.IntRange(0, 4).Draw(c.t, "fingerprint")),
		NonIdempotent: rapid.IntRange(0, 4).Draw(c.t, "nonIdempotent") == 0,
	}
	c.requests = append(c.requests, r)
	c.send(wigeonscheduler.PermitRequested{Entry: entryOf(r.ID), Request: r})
}

// advanceAttempt moves an attempt to its next state. The report arrives, is repeated, is delayed or is lost.
func (c *chaosTest) advanceAttempt() {
	if len(c.inFlight) == 0 {
		return
	}
	a := c.inFlight[rapid.IntRange(0, len(c.inFlight)-1).Draw(c.t, "attempt")]
	states := []wigeonshift.AttemptState{wigeonshift.AttemptStarted, wigeonshift.AttemptNotRun}
	if a.state != "" {
		states = []wigeonshift.AttemptState{wigeonshift.AttemptFirstToken, wigeonshift.AttemptFinished, wigeonshift.AttemptFinished, wigeonshift.AttemptFailed, wigeonshift.AttemptLost}
	}
	a.state = rapid.SampledFrom(states).Draw(c.t, "state")
	body := c.attemptReport(a, a.state)
	switch a.state {
	case wigeonshift.AttemptFinished, wigeonshift.AttemptFailed, wigeonshift.AttemptNotRun:
		c.removeAttempt(a)
	case wigeonshift.AttemptLost:
		c.loseEndpoint(a.permit.Endpoint)
	}
	switch rapid.IntRange(0, 9).Draw(c.t, "delivery") {
	case 0:
	case 1:
		c.delayedReports = append(c.delayedReports, body)
	case 2:
		c.send(body)
		c.send(body)
	default:
		c.send(body)
	}
}

// loseEndpoint ends every attempt at an endpoint. The reports are delayed, so that they arrive in any order.
func (c *chaosTest) loseEndpoint(name string) {
	c.restartCounts[name]++
	for _, a := range append([]*entryAttempt{}, c.inFlight...) {
		if a.permit.Endpoint == name {
			c.delayedReports = append(c.delayedReports, c.attemptReport(a, wigeonshift.AttemptLost))
			c.removeAttempt(a)
		}
	}
}

// deliverDelayedReport delivers one of the delayed reports.
func (c *chaosTest) deliverDelayedReport() {
	if len(c.delayedReports) == 0 {
		return
	}
	i := rapid.IntRange(0, len(c.delayedReports)-1).Draw(c.t, "delayedReport")
	body := c.delayedReports[i]
	c.delayedReports = append(c.delayedReports[:i], c.delayedReports[i+1:]...)
	c.send(body)
}

// advanceTime advances time with a tick every 100 ms, the reducer's tick interval.
func (c *chaosTest) advanceTime() {
	for leftMillis := rapid.IntRange(1, 2000).Draw(c.t, "millis"); leftMillis > 0; leftMillis -= 100 {
		c.now = c.now.Add(time.Duration(min(leftMillis, 100)) * time.Millisecond)
		c.send(wigeonscheduler.Tick{})
	}
}

// reportEntry reports all attempts that an entry has in flight, as after the loss of a session.
func (c *chaosTest) reportEntry(entry string) {
	var attempts []wigeonshift.RunningAttempt
	for _, a := range c.inFlight {
		if entryOf(a.request.ID) == entry && a.state != "" {
			attempts = append(attempts, wigeonshift.RunningAttempt{
				Request: a.request, Token: a.permit.Token, Endpoint: a.permit.Endpoint, TokensDone: 1, Paused: a.paused,
			})
		}
	}
	c.send(wigeonscheduler.EntryReported{Entry: entry, Attempts: attempts})
}

// injectFault sends an event that changes the state of an endpoint, the lease, an entry, the quarantine or another shard,
// or that cancels a request.
func (c *chaosTest) injectFault() {
	name := c.drawEndpoint()
	switch rapid.IntRange(0, 9).Draw(c.t, "fault") {
	case 0:
		spec := c.specs[name]
		spec.State = rapid.SampledFrom([]wigeonshift.EndpointState{wigeonshift.EndpointActive, wigeonshift.EndpointLeaving}).Draw(c.t, "endpointState")
		c.specs[name] = spec
		c.sendConfiguration()
	case 1:
		c.epoch++
		c.send(wigeonscheduler.LeaseAcquired{Epoch: c.epoch, RebuildUntil: c.now.Add(time.Second)})
	case 2:
		c.send(wigeonscheduler.LeaseExpired{})
	case 3:
		entry := fmt.Sprintf("entry%d", rapid.IntRange(0, 1).Draw(c.t, "entry"))
		for _, a := range append([]*entryAttempt{}, c.inFlight...) {
			if entryOf(a.request.ID) == entry {
				c.removeAttempt(a)
			}
		}
		c.send(wigeonscheduler.EntryLost{Entry: entry})
	case 4:
		c.reportEntry(fmt.Sprintf("entry%d", rapid.IntRange(0, 1).Draw(c.t, "entry")))
	case 5:
		c.send(wigeonscheduler.LoadReported{Endpoint: name, Report: wigeonshift.LoadReport{
			TakenAt: c.now, Running: rapid.IntRange(0, 3).Draw(c.t, "running"), Waiting: rapid.IntRange(0, 3).Draw(c.t, "waiting"),
			Incarnation: fmt.Sprint(c.restartCounts[name]), Models: []string{"m"},
		}})
	case 6:
		c.send(wigeonscheduler.ProbeAnswered{Endpoint: name, Healthy: true})
	case 7:
		c.send(wigeonscheduler.QuarantineLoaded{Crashes: []wigeonshift.Crash{
			{Fingerprint: 4, Endpoint: "x", At: c.now}, {Fingerprint: 4, Endpoint: "y", At: c.now},
		}})
	case 8:
		c.send(wigeonscheduler.SummaryReceived{Summary: wigeonshift.ShardSummary{Shard: "product/service/region/1", FreeSlots: 1, LowestPriorityRunning: 3}})
	case 9:
		if len(c.requests) > 0 {
			r := c.requests[rapid.IntRange(0, len(c.requests)-1).Draw(c.t, "cancelledRequest")]
			for _, a := range c.inFlight {
				if a.request.ID == r.ID && a.state != "" {
					return
				}
			}
			c.send(wigeonscheduler.PermitCancelled{Entry: entryOf(r.ID), Request: r.ID})
		}
	}
}

// drainAndCheck ends all attempts, lets all queued requests expire and checks that the shard is empty.
func (c *chaosTest) drainAndCheck() {
	c.delayedReports, c.inFlight = nil, nil
	c.send(wigeonscheduler.EntryReported{Entry: "entry0"})
	c.send(wigeonscheduler.EntryReported{Entry: "entry1"})
	for i := range 400 {
		c.now = c.now.Add(100 * time.Millisecond)
		if i >= 320 {
			c.now = c.now.Add(2 * time.Second)
		}
		c.send(wigeonscheduler.Tick{})
		c.inFlight = nil
	}
	c.check.Finish()
	if len(c.check.Violations) > 0 {
		c.t.Fatalf("after all requests ended: %v", c.check.Violations)
	}
	for _, tier := range c.st.Shard.Status().Tiers {
		if tier.Queued+tier.Running+tier.Paused > 0 {
			c.t.Fatalf("requests left in a tier of the shard: %+v", tier)
		}
	}
	for _, e := range c.st.Shard.Status().Endpoints {
		if e.Running > 0 {
			c.t.Fatalf("requests left on an endpoint: %+v", e)
		}
	}
}

// runChaosTest sends random events and faults to a shard and checks the scheduling invariants.
func runChaosTest(t *rapid.T) {
	c := newChaosTest(t)
	for range rapid.IntRange(20, 120).Draw(t, "steps") {
		switch rapid.IntRange(0, 9).Draw(t, "step") {
		case 0, 1, 2:
			c.requestPermit()
		case 3, 4, 5:
			c.advanceAttempt()
		case 6:
			c.deliverDelayedReport()
		case 7, 8:
			c.advanceTime()
		case 9:
			c.injectFault()
		}
	}
	c.drainAndCheck()
}

var _ = Describe("Reducer under faults", func() {
	It("keeps all invariants if messages are lost, delayed, reordered or repeated", func() {
		rapid.Check(suiteT, runChaosTest)
	})
})

// FuzzReducer checks the same property with the fuzzer's inputs.
func FuzzReducer(f *testing.F) { f.Fuzz(rapid.MakeFuzz(runChaosTest)) }
