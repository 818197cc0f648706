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

// chaos drives a shard with random events: faults, and reports that come late, twice, crossed or never.
type chaos struct {
	t     *rapid.T
	st    *wigeonscheduler.State
	check *Checker
	now   time.Time
	asked []wigeonshift.PermitRequest
	// flights are the attempts that entries have in flight, in the order of their permits.
	flights []*flight
	stash   []wigeonscheduler.Body
	specs   map[string]wigeonshift.EndpointSpec
	version uint64
	epoch   uint64
	starts  map[string]int
}

// flight is one attempt as its entry knows it.
type flight struct {
	request wigeonshift.PermitRequest
	permit  *wigeonshift.Permit
	state   wigeonshift.AttemptState
	paused  bool
}

func entryOf(id wigeonshift.RequestID) string { return "entry" + string(id[len(id)-1:]) }

func newChaos(t *rapid.T) *chaos {
	c := &chaos{
		t: t, st: &wigeonscheduler.State{Shard: wigeonscheduler.NewShard(shardID)}, check: NewChecker(), now: epoch,
		specs: map[string]wigeonshift.EndpointSpec{}, starts: map[string]int{},
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "endpoints") {
		c.specs[fmt.Sprintf("e%d", i)] = wigeonshift.EndpointSpec{
			Address: "127.0.0.1:1", State: wigeonshift.EndpointActive, Models: []string{"m"},
			CanPause: rapid.Bool().Draw(t, "canPause"), MaxConcurrent: rapid.IntRange(1, 3).Draw(t, "slots"),
		}
	}
	c.epoch, c.check.Status, c.check.AnswerShare = 1, c.st.Shard.Status, 1
	c.send(wigeonscheduler.LeaseAcquired{Epoch: 1})
	c.configure()
	return c
}

// send gives an event to the reducer and takes its answers.
func (c *chaos) send(body wigeonscheduler.Body) {
	ev := wigeonscheduler.Event{At: c.now, Random: uint64(len(c.asked)) * 77777, Body: body}
	effects := wigeonscheduler.Reduce(c.st, ev)
	c.check.Observe(ev, effects)
	for _, ef := range effects {
		if a, ok := ef.(wigeonscheduler.AnswerPermit); ok {
			c.answered(a)
		}
	}
	if len(c.check.Violations) > 0 {
		c.t.Fatalf("after %T: %v", body, c.check.Violations)
	}
}

// answered takes an answer like an entry: a permit goes to a flight, a revocation is answered at once, late or never.
func (c *chaos) answered(a wigeonscheduler.AnswerPermit) {
	switch {
	case a.Answer.Grant != nil:
		for _, f := range c.flights {
			if f.permit.Token == a.Answer.Grant.Token {
				return
			}
		}
		for i := range c.asked {
			if c.asked[i].ID == a.Request {
				c.flights = append(c.flights, &flight{request: c.asked[i], permit: a.Answer.Grant})
			}
		}
	case a.Answer.Revoke != nil:
		for _, f := range c.flights {
			if f.permit.Token != a.Answer.Revoke.Token || f.state == "" {
				continue
			}
			switch a.Answer.Revoke.Action {
			case wigeonshift.RevokePause:
				c.stash = append(c.stash, c.reportOf(f, wigeonshift.AttemptPaused))
			case wigeonshift.RevokeCancel:
				c.stash = append(c.stash, c.reportOf(f, wigeonshift.AttemptCancelled))
				c.drop(f)
				return
			case wigeonshift.RevokeResume:
				c.stash = append(c.stash, c.reportOf(f, wigeonshift.AttemptResumed))
			}
		}
	}
}

func (c *chaos) reportOf(f *flight, state wigeonshift.AttemptState) wigeonscheduler.Body {
	f.paused = state == wigeonshift.AttemptPaused
	return wigeonscheduler.AttemptReported{Entry: entryOf(f.request.ID), Report: wigeonshift.AttemptReport{
		Request: f.request.ID, Shard: shardID, Token: f.permit.Token, Endpoint: f.permit.Endpoint, State: state,
		TokensDone: 3, Elapsed: time.Duration(rapid.IntRange(1, 3000).Draw(c.t, "elapsed")) * time.Millisecond,
	}}
}

// drop ends a flight at its entry.
func (c *chaos) drop(f *flight) {
	for i, o := range c.flights {
		if o == f {
			c.flights = append(c.flights[:i], c.flights[i+1:]...)
			return
		}
	}
}

func (c *chaos) configure() {
	c.version++
	specs := map[string]wigeonshift.EndpointSpec{}
	for name, spec := range c.specs {
		specs[name] = spec
	}
	c.send(wigeonscheduler.ConfigurationChanged{Version: c.version, Endpoints: specs, Product: &wigeonshift.Product{
		Organisations: map[string]wigeonshift.Organisation{"o0": {MaxConcurrent: 2}, "o1": {TokensPerSecond: 2000}, "o2": {}},
	}})
}

func (c *chaos) endpoint() string {
	return fmt.Sprintf("e%d", rapid.IntRange(0, len(c.specs)-1).Draw(c.t, "endpoint"))
}

// ask sends a new request, or an earlier one again.
func (c *chaos) ask() {
	if len(c.asked) > 0 && rapid.IntRange(0, 4).Draw(c.t, "repeat") == 0 {
		r := c.asked[rapid.IntRange(0, len(c.asked)-1).Draw(c.t, "which")]
		c.send(wigeonscheduler.PermitRequested{Entry: entryOf(r.ID), Request: r})
		return
	}
	r := wigeonshift.PermitRequest{
		ID: wigeonshift.RequestID(fmt.Sprintf("r%d.%d", len(c.asked), rapid.IntRange(0, 1).Draw(c.t, "entry"))), Shard: shardID,
		Organisation: fmt.Sprintf("o%d", rapid.IntRange(0, 2).Draw(c.t, "organisation")),
		Rank:         wigeonshift.TierRank(rapid.IntRange(0, 3).Draw(c.t, "rank")), Model: "m",
		Deadline:     c.now.Add(time.Duration(rapid.IntRange(100, 30000).Draw(c.t, "deadline")) * time.Millisecond),
		PromptTokens: rapid.IntRange(1, 12000).Draw(c.t, "prompt"), MaxTokens: rapid.IntRange(1, 500).Draw(c.t, "max"),
		Fingerprint:   wigeonshift.Fingerprint(rapid.IntRange(0, 4).Draw(c.t, "fingerprint")),
		NonIdempotent: rapid.IntRange(0, 4).Draw(c.t, "nonIdempotent") == 0,
	}
	c.asked = append(c.asked, r)
	c.send(wigeonscheduler.PermitRequested{Entry: entryOf(r.ID), Request: r})
}

// progress moves one attempt on; its report arrives, arrives twice, late, or never.
func (c *chaos) progress() {
	if len(c.flights) == 0 {
		return
	}
	f := c.flights[rapid.IntRange(0, len(c.flights)-1).Draw(c.t, "flight")]
	states := []wigeonshift.AttemptState{wigeonshift.AttemptStarted, wigeonshift.AttemptNotRun}
	if f.state != "" {
		states = []wigeonshift.AttemptState{wigeonshift.AttemptFirstToken, wigeonshift.AttemptFinished, wigeonshift.AttemptFinished, wigeonshift.AttemptFailed, wigeonshift.AttemptLost}
	}
	f.state = rapid.SampledFrom(states).Draw(c.t, "state")
	body := c.reportOf(f, f.state)
	switch f.state {
	case wigeonshift.AttemptFinished, wigeonshift.AttemptFailed, wigeonshift.AttemptNotRun:
		c.drop(f)
	case wigeonshift.AttemptLost:
		c.loseEndpoint(f.permit.Endpoint)
	}
	switch rapid.IntRange(0, 9).Draw(c.t, "fate") {
	case 0:
	case 1:
		c.stash = append(c.stash, body)
	case 2:
		c.send(body)
		c.send(body)
	default:
		c.send(body)
	}
}

// loseEndpoint ends every attempt at an endpoint; the reports come in any order.
func (c *chaos) loseEndpoint(name string) {
	c.starts[name]++
	for _, f := range append([]*flight{}, c.flights...) {
		if f.permit.Endpoint == name {
			c.stash = append(c.stash, c.reportOf(f, wigeonshift.AttemptLost))
			c.drop(f)
		}
	}
}

// late delivers a stashed report.
func (c *chaos) late() {
	if len(c.stash) == 0 {
		return
	}
	i := rapid.IntRange(0, len(c.stash)-1).Draw(c.t, "stashed")
	body := c.stash[i]
	c.stash = append(c.stash[:i], c.stash[i+1:]...)
	c.send(body)
}

// tick lets time pass; ticks come as the reducer asked for them.
func (c *chaos) tick() {
	for left := rapid.IntRange(1, 2000).Draw(c.t, "pause"); left > 0; left -= 100 {
		c.now = c.now.Add(time.Duration(min(left, 100)) * time.Millisecond)
		c.send(wigeonscheduler.Ticked{})
	}
}

// resync tells all attempts that an entry has in flight, as after a broken session.
func (c *chaos) resync(entry string) {
	var attempts []wigeonshift.RunningAttempt
	for _, f := range c.flights {
		if entryOf(f.request.ID) == entry && f.state != "" {
			attempts = append(attempts, wigeonshift.RunningAttempt{
				Request: f.request, Token: f.permit.Token, Endpoint: f.permit.Endpoint, TokensDone: 1, Paused: f.paused,
			})
		}
	}
	c.send(wigeonscheduler.EntryReported{Entry: entry, Attempts: attempts})
}

// disturb changes the surroundings.
func (c *chaos) disturb() {
	name := c.endpoint()
	switch rapid.IntRange(0, 9).Draw(c.t, "disturbance") {
	case 0:
		spec := c.specs[name]
		spec.State = rapid.SampledFrom([]wigeonshift.EndpointState{wigeonshift.EndpointActive, wigeonshift.EndpointLeaving}).Draw(c.t, "wish")
		c.specs[name] = spec
		c.configure()
	case 1:
		c.epoch++
		c.send(wigeonscheduler.LeaseAcquired{Epoch: c.epoch, RebuildUntil: c.now.Add(time.Second)})
	case 2:
		c.send(wigeonscheduler.LeaseLapsed{})
	case 3:
		entry := fmt.Sprintf("entry%d", rapid.IntRange(0, 1).Draw(c.t, "entry"))
		for _, f := range append([]*flight{}, c.flights...) {
			if entryOf(f.request.ID) == entry {
				c.drop(f)
			}
		}
		c.send(wigeonscheduler.EntryLost{Entry: entry})
	case 4:
		c.resync(fmt.Sprintf("entry%d", rapid.IntRange(0, 1).Draw(c.t, "entry")))
	case 5:
		c.send(wigeonscheduler.LoadReported{Endpoint: name, Report: wigeonshift.LoadReport{
			TakenAt: c.now, Running: rapid.IntRange(0, 3).Draw(c.t, "running"), Waiting: rapid.IntRange(0, 3).Draw(c.t, "waiting"),
			Incarnation: fmt.Sprint(c.starts[name]), Models: []string{"m"},
		}})
	case 6:
		c.send(wigeonscheduler.ProbeAnswered{Endpoint: name, Healthy: true})
	case 7:
		c.send(wigeonscheduler.QuarantineLoaded{Fingerprints: []wigeonshift.Fingerprint{4}})
	case 8:
		c.send(wigeonscheduler.SummaryReceived{Summary: wigeonshift.ShardSummary{Shard: "product/service/region/1", FreeSlots: 1, LowestRunning: 3}})
	case 9:
		if len(c.asked) > 0 {
			r := c.asked[rapid.IntRange(0, len(c.asked)-1).Draw(c.t, "gone")]
			for _, f := range c.flights {
				if f.request.ID == r.ID && f.state != "" {
					return
				}
			}
			c.send(wigeonscheduler.PermitCancelled{Entry: entryOf(r.ID), Request: r.ID})
		}
	}
}

// settle lets everything end and checks that the shard is empty.
func (c *chaos) settle() {
	c.stash, c.flights = nil, nil
	c.send(wigeonscheduler.EntryReported{Entry: "entry0"})
	c.send(wigeonscheduler.EntryReported{Entry: "entry1"})
	for i := range 400 {
		c.now = c.now.Add(100 * time.Millisecond)
		if i >= 320 {
			c.now = c.now.Add(2 * time.Second)
		}
		c.send(wigeonscheduler.Ticked{})
		c.flights = nil
	}
	c.check.Finish()
	if len(c.check.Violations) > 0 {
		c.t.Fatalf("at the end: %v", c.check.Violations)
	}
	for _, tier := range c.st.Shard.Status().Tiers {
		if tier.Queued+tier.Running+tier.Paused > 0 {
			c.t.Fatalf("left in the shard: %+v", tier)
		}
	}
	for _, e := range c.st.Shard.Status().Endpoints {
		if e.Running > 0 {
			c.t.Fatalf("left at an endpoint: %+v", e)
		}
	}
}

// runChaos plays random events with faults.
func runChaos(t *rapid.T) {
	c := newChaos(t)
	for range rapid.IntRange(20, 120).Draw(t, "steps") {
		switch rapid.IntRange(0, 9).Draw(t, "step") {
		case 0, 1, 2:
			c.ask()
		case 3, 4, 5:
			c.progress()
		case 6:
			c.late()
		case 7, 8:
			c.tick()
		case 9:
			c.disturb()
		}
	}
	c.settle()
}

var _ = Describe("Reducer under faults", func() {
	It("keeps every promise whatever is lost, late, crossed or repeated", func() {
		rapid.Check(suiteT, runChaos)
	})
})

// FuzzReducer explores the same property from the fuzzer's corpus.
func FuzzReducer(f *testing.F) { f.Fuzz(rapid.MakeFuzz(runChaos)) }
