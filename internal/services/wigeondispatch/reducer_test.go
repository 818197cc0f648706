package wigeondispatch

import (
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonbudget"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// reducerHarness feeds one reducer with events at times that the spec sets.
type reducerHarness struct {
	state *State
	// at is the time of the next event.
	at     time.Duration
	lastID JobID
	// starts counts the restarts of all endpoints.
	starts int
}

// newHarness returns a reducer with the given endpoints, one service and one organisation with a quota.
func newHarness(records ...wigeonshift.EndpointRecord) *reducerHarness {
	h := &reducerHarness{state: New(Settings{
		RetryRatio: 0.2, RetrySlack: 10, RetryWindow: 10 * time.Second, Instance: "own", Zone: "z",
	})}
	h.state.Reduce(ShareGranted{Share: 1, Until: time.Hour})
	h.state.Reduce(ConfigurationChanged{Configuration: &wigeonshift.RoutingConfiguration{
		Services: []wigeonshift.RoutedService{{Name: "model", Engine: &wigeonshift.EngineProfile{Slots: 1, EventTokens: 1}}},
		Organisations: []wigeonshift.RoutedOrganisation{
			{Name: "limited", UnitsPerSecond: 100, Burst: 100, CountsTokens: true},
		},
	}})
	h.state.Reduce(EndpointsListed{Records: records})
	return h
}

// fullBucketTime is the time in which the bucket of the harness's organisation is filled from empty.
const fullBucketTime = time.Second

func newRecord(id string) wigeonshift.EndpointRecord {
	return wigeonshift.EndpointRecord{ID: id, Service: "model", Address: id, Slots: 1, Zone: "z"}
}

// newJob returns a request for a stream that must not be sent again once it may have run.
func (h *reducerHarness) newJob() *Job {
	h.lastID++
	return &Job{
		ID: h.lastID, Service: "model", Route: "r", Kind: wigeonshift.RouteStreaming, Arrived: h.at,
		Deadline: h.at + 10*time.Second, LatencyObjective: 500 * time.Millisecond, CallerPatience: 2 * time.Second, MaxAttempts: 2,
		HasTokens: true, PromptTokens: 1000, AnswerTokens: 100, ExpectedAnswerTokens: 100, Units: 50,
	}
}

func (h *reducerHarness) arrive(j *Job) []Effect {
	return h.state.Reduce(RequestArrived{At: h.at, Job: j})
}

func (h *reducerHarness) end(j *Job, o Outcome, answerable bool) []Effect {
	return h.state.Reduce(AttemptEnded{
		At: h.at, Job: j.ID, Outcome: o, Succeeded: o == OutcomeDone, Answerable: answerable,
	})
}

// occupySlots dispatches n requests that occupy the slots and the queues of the endpoints.
func (h *reducerHarness) occupySlots(n int) []*Job {
	var out []*Job
	for range n {
		j := h.newJob()
		Expect(h.arrive(j)).To(ContainElement(BeAssignableToTypeOf(Dispatch{})))
		out = append(out, j)
	}
	return out
}

// onlyDispatchEndpoint expects a single effect, a dispatch, and returns its endpoint.
func onlyDispatchEndpoint(effects []Effect) string {
	GinkgoHelper()
	Expect(effects).To(HaveLen(1))
	d, ok := effects[0].(Dispatch)
	Expect(ok).To(BeTrue(), "%+v", effects)
	return d.EndpointID
}

// onlyRefusal expects a single effect, a refusal, and returns it.
func onlyRefusal(effects []Effect) Refuse {
	GinkgoHelper()
	Expect(effects).To(HaveLen(1))
	r, ok := effects[0].(Refuse)
	Expect(ok).To(BeTrue(), "%+v", effects)
	return r
}

var _ = Describe("Placement", func() {
	It("sends a request to an endpoint with a free slot", func() {
		h := newHarness(newRecord("a"), newRecord("b"))
		first := onlyDispatchEndpoint(h.arrive(h.newJob()))
		Expect(onlyDispatchEndpoint(h.arrive(h.newJob()))).NotTo(Equal(first))
	})

	It("sends nothing to a leaving endpoint", func() {
		leaving := newRecord("a")
		leaving.Leaving = true
		h := newHarness(leaving)
		Expect(h.arrive(h.newJob())).To(BeEmpty())
	})

	It("queues a request while all slots are occupied and dispatches it when one is free", func() {
		h := newHarness(newRecord("a"))
		running := h.occupySlots(2)
		waiting := h.newJob()
		Expect(h.arrive(waiting)).To(BeEmpty())
		Expect(onlyDispatchEndpoint(h.end(running[0], OutcomeDone, false))).To(Equal("a"))
	})

	It("counts the requests of other instances until their reports expire", func() {
		h := newHarness(newRecord("a"))
		load := wigeonshift.LoadNotice{Endpoints: []wigeonshift.EndpointLoad{{Endpoint: "a", Running: 2}}}
		h.state.Reduce(PeerReported{Peer: "other", Load: load})
		Expect(h.arrive(h.newJob())).To(BeEmpty())
		h.at = sameGroupReportTimeout + time.Millisecond
		Expect(h.state.Reduce(Tick{At: h.at})).NotTo(BeEmpty())
	})

	It("leaves the last free slot to a request of a higher priority at another instance", func() {
		h := newHarness(newRecord("a"))
		waiting := make([]int, priorityLevels)
		waiting[0] = 1
		load := wigeonshift.LoadNotice{Services: []wigeonshift.ServiceWait{{Service: "model", QueuedByLevel: waiting}}}
		h.state.Reduce(PeerReported{Peer: "other", Load: load})
		Expect(h.arrive(h.newJob())).To(BeEmpty())
		h.state.Reduce(PeerReported{Peer: "other", Load: wigeonshift.LoadNotice{}})
		Expect(h.state.Reduce(Tick{})).To(BeEmpty(), "the report itself dispatched the request")
		Expect(h.state.Load().Endpoints).To(HaveLen(1))
	})

	It("doesn't dispatch a long answer to an endpoint that is too slow to finish it, if another one is fast enough", func() {
		h := newHarness(newRecord("a"), newRecord("b"))
		h.state.endpoints["a"].decodeStep = 20 * time.Millisecond
		h.state.endpoints["b"].decodeStep = 60 * time.Millisecond
		h.state.endpoints["a"].ownLoad.running = 2
		j := h.newJob()
		j.AnswerTokens, j.ExpectedAnswerTokens = 400, 400
		Expect(h.arrive(j)).To(BeEmpty(), "it waits for the faster endpoint")
		short := h.newJob()
		Expect(onlyDispatchEndpoint(h.arrive(short))).To(Equal("b"))
	})

	It("resets the state of an endpoint that restarts with the same ID", func() {
		h := newHarness(newRecord("a"))
		h.occupySlots(2)
		fresh := newRecord("a")
		fresh.StartedAtMillis = 7
		h.state.Reduce(EndpointsListed{Records: []wigeonshift.EndpointRecord{fresh}})
		Expect(onlyDispatchEndpoint(h.arrive(h.newJob()))).To(Equal("a"))
	})
})

var _ = Describe("Configuration", func() {
	It("removes the state of organisations and routes that are no longer configured", func() {
		h := newHarness(newRecord("a"))
		h.arrive(h.newJob())
		Expect(h.state.pool("model").meanSizes).To(HaveKey("r"))
		h.state.Reduce(ConfigurationChanged{Configuration: &wigeonshift.RoutingConfiguration{}})
		Expect(h.state.pool("model").meanSizes).To(BeEmpty())
		Expect(h.state.quotas).To(BeEmpty())
	})
})

var _ = Describe("Priority", func() {
	It("dispatches requests of a higher tier of organisations first, whatever their route", func() {
		h := newHarness(newRecord("a"))
		running := h.occupySlots(2)
		low, high := h.newJob(), h.newJob()
		low.Tier, high.Tier, high.RouteTier = 1, 0, 2
		Expect(h.arrive(low)).To(BeEmpty())
		Expect(h.arrive(high)).To(BeEmpty())
		effects := h.end(running[0], OutcomeDone, false)
		Expect(effects).To(HaveLen(1))
		Expect(effects[0].(Dispatch).Job).To(Equal(high.ID))
	})

	It("dispatches a request that can be on time before one of the same kind that can't", func() {
		h := newHarness(newRecord("a"))
		running := h.occupySlots(2)
		late := h.newJob()
		late.LatencyObjective = 100 * time.Millisecond
		Expect(h.arrive(late)).To(BeEmpty())
		h.at += 200 * time.Millisecond
		early := h.newJob()
		h.arrive(early)
		effects := h.end(running[0], OutcomeDone, false)
		Expect(effects).To(ContainElement(HaveField("Job", early.ID)))
	})

	It("dispatches the request of a route with the higher ratio of value to cost first", func() {
		h := newHarness(newRecord("a"))
		running := h.occupySlots(2)
		long, short := h.newJob(), h.newJob()
		short.ExpectedAnswerTokens = 10
		Expect(h.arrive(long)).To(BeEmpty())
		Expect(h.arrive(short)).To(BeEmpty())
		Expect(h.end(running[0], OutcomeDone, false)).To(ContainElement(HaveField("Job", short.ID)))
	})

	It("limits the value that a request has because of its size", func() {
		h := newHarness(newRecord("a"))
		usual, large, huge := h.newJob(), h.newJob(), h.newJob()
		h.state.pool("model").recordCost(usual)
		large.PromptTokens, large.AnswerTokens = 2*usual.PromptTokens, 2*usual.AnswerTokens
		huge.PromptTokens, huge.AnswerTokens = 20*usual.PromptTokens, 20*usual.AnswerTokens
		valueFactor := h.state.pool("model").sizeValueFactor
		Expect(valueFactor(usual)).To(BeNumerically("~", 1, 0.01))
		Expect(valueFactor(large)).To(BeNumerically("~", 1.7, 0.01))
		Expect(valueFactor(huge)).To(BeNumerically("==", maxSizeValueFactor))
	})

	It("puts a caller's retry before a request that will be late and after one that can be on time", func() {
		h := newHarness(newRecord("a"))
		p := h.state.pool("model")
		fresh, retry, late := h.newJob(), h.newJob(), h.newJob()
		retry.Elapsed, late.LatencyObjective = time.Second, time.Millisecond
		fresh.LatencyObjective = time.Minute
		p.recordCost(fresh)
		at := time.Second
		Expect(p.priorityLevel(fresh, at)).To(BeNumerically("<", p.priorityLevel(retry, at)))
		Expect(p.priorityLevel(retry, at)).To(BeNumerically("<", p.priorityLevel(late, at)))
	})
})

var _ = Describe("Refusal", func() {
	It("refuses a request at once if there is no endpoint", func() {
		Expect(onlyRefusal(newHarness().arrive(&Job{ID: 1, Service: "model", Deadline: time.Second})).Reason).
			To(Equal(ReasonNoEndpoint))
	})

	It("refuses a request that was queued for too long, with a retry delay that callers follow", func() {
		h := newHarness(newRecord("a"))
		h.occupySlots(2)
		j := h.newJob()
		Expect(h.arrive(j)).To(BeEmpty())
		h.at = h.state.maxWait(j) + time.Millisecond
		refusals := effectsOf[Refuse](h.state.Reduce(Tick{At: h.at}))
		Expect(refusals).To(HaveLen(1))
		r := refusals[0]
		Expect(r.Reason).To(Equal(ReasonDeadline))
		Expect(r.RetryAfter).To(BeNumerically(">=", minRetryAfter))
		Expect(r.RetryAfter).To(BeNumerically("<=", (j.Deadline-h.at)/3))
	})

	// Instances that had restarted while the store was down took the parts of others that they didn't know.
	It("grants nothing of a quota until all instances are known", func() {
		h := newHarness(newRecord("a"))
		h.state.settings.AwaitsList = true
		h.at = fullBucketTime
		limited := func() *Job {
			j := h.newJob()
			j.Organisation = "limited"
			return j
		}
		found := []wigeonshift.Instance{{ID: "own"}}
		h.state.Reduce(InstancesListed{Instances: found})
		Expect(onlyRefusal(h.arrive(limited())).Reason).To(Equal(ReasonQuota))
		onlyDispatchEndpoint(h.arrive(h.newJob()))
		h.state.Reduce(InstancesListed{Instances: found, Complete: true})
		Expect(effectsOf[Dispatch](h.arrive(limited()))).To(HaveLen(1))
	})

	It("refuses requests beyond a quota, doesn't charge them and returns the time until the quota allows them", func() {
		h := newHarness(newRecord("a"))
		h.at = fullBucketTime
		first, second, third := h.newJob(), h.newJob(), h.newJob()
		for _, j := range []*Job{first, second, third} {
			j.Organisation = "limited"
		}
		third.Units = 60
		h.arrive(first)
		h.arrive(second)
		r := onlyRefusal(h.arrive(third))
		Expect(r.Reason).To(Equal(ReasonQuota))
		Expect(r.RetryAfter).To(BeNumerically("~", 600*time.Millisecond, time.Millisecond))
		h.at += 700 * time.Millisecond
		again := h.newJob()
		again.Organisation, again.Units = "limited", 60
		Expect(h.arrive(again)).NotTo(ContainElement(BeAssignableToTypeOf(Refuse{})))
	})

	It("counts the use of other instances and limits itself to its own share without their reports", func() {
		h := newHarness(newRecord("a"))
		q := h.state.quotas["limited"]
		h.state.Reduce(InstancesListed{Instances: []wigeonshift.Instance{{ID: "own"}, {ID: "other"}}})
		h.at = time.Second
		Expect(q.TryConsume(60, h.at)).To(BeFalse(), "half of the quota belongs to the other instance")
		use := func(units float64) wigeonshift.LoadNotice {
			return wigeonshift.LoadNotice{Organisations: []wigeonshift.OrganisationUse{
				{Organisation: "limited", Units: units, RemainingUnits: -100},
			}}
		}
		h.state.Reduce(PeerReported{At: h.at, Peer: "other", Load: use(1000)})
		Expect(q.Share).To(Equal(0.5), "the other instance's rate isn't known yet")
		h.at += 2 * time.Second
		h.state.Reduce(PeerReported{At: h.at, Peer: "other", Load: use(1080)})
		Expect(q.Share).To(Equal(1.0))
		Expect(q.Balance(h.at)).To(BeNumerically("~", -30, 1), "the own half of the quota less the 80 units of the other instance")
		h.at += 800 * time.Millisecond
		Expect(q.TryConsume(30, h.at)).To(BeFalse(), "the other instance is assumed to continue with 40 units per second")
		Expect(q.TryConsume(15, h.at)).To(BeTrue())
	})
})

var _ = Describe("Quota in a large fleet", func() {
	// Guards against bursts that are granted again after restarts: all instances were killed during a surge of an
	// organisation, and each granted a whole burst once more (QUOTA, apme-lima-grown trouble-3).
	It("is empty when an instance starts, because the use before the start is unknown", func() {
		h := newHarness(newRecord("a"))
		j := h.newJob()
		j.Organisation = "limited"
		Expect(onlyRefusal(h.arrive(j)).RetryAfter).To(BeNumerically("~", 500*time.Millisecond, time.Millisecond))
	})

	Describe("of an instance that has just started while others run", func() {
		newNotice := func(units, balance float64) wigeonshift.LoadNotice {
			return wigeonshift.LoadNotice{Organisations: []wigeonshift.OrganisationUse{
				{Organisation: "limited", Units: units, RemainingUnits: balance},
			}}
		}
		var h *reducerHarness
		reportFrom := func(after time.Duration, peer string, units, balance float64) {
			h.at += after
			h.state.Reduce(PeerReported{At: h.at, Peer: peer, Load: newNotice(units, balance)})
		}

		BeforeEach(func() {
			h = newHarness(newRecord("a"))
			h.state.Reduce(InstancesListed{Instances: []wigeonshift.Instance{{ID: "own"}, {ID: "b"}, {ID: "c"}}})
		})

		It("takes over the lowest balance that they report", func() {
			for range 5 {
				reportFrom(25*time.Millisecond, "b", 500, 90)
				reportFrom(25*time.Millisecond, "c", 700, 80)
			}
			Expect(h.state.quotas["limited"].Balance(h.at)).To(BeNumerically("~", 80, 6))
		})

		It("takes over a balance only once", func() {
			for range 5 {
				reportFrom(50*time.Millisecond, "b", 500, 60)
			}
			q := h.state.quotas["limited"]
			Expect(q.TryConsume(q.Balance(h.at), h.at)).To(BeTrue())
			for range 5 {
				reportFrom(50*time.Millisecond, "b", 500, 100)
			}
			Expect(h.state.quotas["limited"].Balance(h.at)).To(BeNumerically("<", 40), "at most 100 units per second over 250 ms")
		})

		It("takes over no units from others that started at the same time", func() {
			for range 5 {
				reportFrom(25*time.Millisecond, "b", 0, 0)
				reportFrom(25*time.Millisecond, "c", 0, 0)
			}
			Expect(h.state.quotas["limited"].Balance(h.at)).To(BeNumerically("<", 40))
		})
	})
})

var _ = Describe("Failed attempts", func() {
	It("never resends a request that may have run and must not run twice", func() {
		h := newHarness(newRecord("a"), newRecord("b"))
		j := h.newJob()
		h.arrive(j)
		Expect(h.end(j, OutcomeLost, true)).To(ConsistOf(Failure{Job: j.ID, Reason: ReasonLost}))
	})

	It("resends an idempotent request to another endpoint", func() {
		h := newHarness(newRecord("a"), newRecord("b"))
		j := h.newJob()
		j.Kind = wigeonshift.RouteIdempotent
		first := onlyDispatchEndpoint(h.arrive(j))
		Expect(onlyDispatchEndpoint(h.end(j, OutcomeLost, true))).NotTo(Equal(first))
	})

	It("reports that a rejected request did not run", func() {
		h := newHarness(newRecord("a"), newRecord("b"))
		j := h.newJob()
		j.MaxAttempts = 1
		h.arrive(j)
		Expect(onlyRefusal(h.end(j, OutcomeRejected, true)).Reason).To(Equal(ReasonAttempts))
	})

	It("doesn't report that a request did not run if an earlier endpoint may have run it", func() {
		h := newHarness(newRecord("a"), newRecord("b"))
		j := h.newJob()
		j.Kind = wigeonshift.RouteIdempotent
		h.arrive(j)
		onlyDispatchEndpoint(h.end(j, OutcomeLost, true))
		Expect(h.end(j, OutcomeRejected, true)).To(ConsistOf(Failure{Job: j.ID, Reason: ReasonLost}))
	})

	It("doesn't count an attempt that never reached the endpoint", func() {
		h := newHarness(newRecord("a"), newRecord("b"))
		j := h.newJob()
		j.MaxAttempts = 1
		first := onlyDispatchEndpoint(h.arrive(j))
		Expect(onlyDispatchEndpoint(h.end(j, OutcomeNotSent, true))).NotTo(Equal(first))
	})

	It("respects the retry budget", func() {
		h := newHarness(newRecord("a"), newRecord("b"), newRecord("c"))
		h.state.settings.RetrySlack, h.state.settings.RetryRatio = 0, 0
		h.state.retryBudgets = map[string]*wigeonbudget.Budget{}
		j := h.newJob()
		j.Kind = wigeonshift.RouteIdempotent
		h.arrive(j)
		Expect(h.end(j, OutcomeLost, true)).To(ConsistOf(Failure{Job: j.ID, Reason: ReasonLost, Resend: &wigeonbudget.Decision{}}))
	})

	It("dispatches nothing to an endpoint that fails repeatedly, then probes it with one request", func() {
		h := newHarness(newRecord("a"))
		for range suspectFailureThreshold {
			j := h.newJob()
			h.arrive(j)
			h.end(j, OutcomeLost, true)
		}
		Expect(h.arrive(h.newJob())).To(BeEmpty())
		h.at = minSuspectTime
		Expect(h.state.Reduce(Tick{At: h.at})).To(HaveLen(1))
		Expect(h.arrive(h.newJob())).To(BeEmpty(), "one request at a time")
	})

	// Guards against streams that are cut off without need: during a change of the configuration, a stream was abandoned
	// after its endpoint had been silent for 0.6 s, although no other endpoint could accept it (inrap-lofts, scale-1,
	// seed 12).
	It("keeps an attempt on a silent endpoint unless another endpoint can accept the request at once", func() {
		h := newHarness(newRecord("a"))
		j := h.newJob()
		j.Resumable = true
		effects := h.arrive(j)
		Expect(effects[0].(Dispatch).StallTimeout).To(BeNumerically(">=", j.CallerPatience/stallPatienceDivisor))
		Expect(h.state.Reduce(AttemptStalled{At: time.Second, Job: j.ID})).To(BeEmpty())
		h.state.Reduce(EndpointsListed{At: time.Second, Records: []wigeonshift.EndpointRecord{newRecord("a"), newRecord("b")}})
		Expect(h.state.Reduce(AttemptStalled{At: time.Second, Job: j.ID})).To(ConsistOf(Abandon{Job: j.ID}))
		h.at = time.Second
		Expect(onlyDispatchEndpoint(h.end(j, OutcomeLost, true))).To(Equal("b"))
	})
})
