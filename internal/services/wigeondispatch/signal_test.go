package wigeondispatch

import (
	"math/rand/v2"
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// signal reports what an endpoint says of itself on a connection that is a minute old.
func (h *reducerHarness) signal(id string, leaving bool, backoff time.Duration) []Effect {
	return h.state.Reduce(EndpointSignalled{
		At: h.at, EndpointID: id, StartedAtMillis: h.state.endpoints[id].record.StartedAtMillis, ConnectedAt: h.at - time.Minute,
		Leaving: leaving, Backoff: backoff,
	})
}

var _ = Describe("An endpoint that says it is leaving", func() {
	var h *reducerHarness
	BeforeEach(func() { h = newHarness(crashRecords("a", "b")...) })

	It("gets no new requests, whatever the list says", func() {
		Expect(effectsOf[SignalRecorded](h.signal("a", true, 0))).To(HaveLen(1))
		Expect(h.signal("a", true, 0)).To(BeEmpty(), "nothing new")
		for range 4 {
			Expect(onlyDispatchEndpoint(h.arrive(h.newJob()))).To(Equal("b"))
		}
		h.state.Reduce(EndpointsListed{At: h.at, Records: crashRecords("a")})
		Expect(effectsOf[Dispatch](h.arrive(h.newJob()))).To(BeEmpty())
	})

	It("gets none after its row was away for a while", func() {
		h.signal("a", true, 0)
		h.state.Reduce(EndpointsListed{At: h.at, Records: crashRecords("b")})
		h.at += time.Minute
		h.state.Reduce(Tick{At: h.at})
		h.state.Reduce(EndpointsListed{At: h.at, Records: crashRecords("a")})
		Expect(effectsOf[Dispatch](h.arrive(h.newJob()))).To(BeEmpty())
	})

	It("gets requests once it has started again", func() {
		h.signal("a", true, 0)
		h.restartEndpoints("a")
		Expect(onlyDispatchEndpoint(h.arrive(h.newJob()))).To(Equal("a"))
	})

	It("is not taken for its next process", func() {
		h.restartEndpoints("a")
		h.state.Reduce(EndpointSignalled{
			At: h.at, EndpointID: "a", StartedAtMillis: 1, ConnectedAt: h.at - time.Minute, Leaving: true, Backoff: time.Minute,
		})
		Expect(onlyDispatchEndpoint(h.arrive(h.newJob()))).To(Equal("a"))
	})

	It("ends what it runs, and its end is no crash", func() {
		h = newHarness(crashRecords("a")...)
		j := h.newVariant(0, 0)
		h.dispatch(j)
		Expect(effectsOf[Abandon](h.signal("a", true, 0))).To(BeEmpty())
		Expect(effectsOf[CheckEndpoint](h.end(j, OutcomeLost, true))).To(BeEmpty())
	})

	It("is forgotten long after it has left the list", func() {
		h.signal("a", true, 0)
		h.state.Reduce(EndpointsListed{At: h.at, Records: crashRecords("b")})
		h.state.Reduce(Tick{At: processMemory + time.Second})
		Expect(h.state.processes).To(HaveLen(1))
		Expect(h.state.processes).To(HaveKey("b"))
	})
})

var _ = Describe("An endpoint that wants no requests for a while", func() {
	const backoff = 2 * time.Second
	var h *reducerHarness
	BeforeEach(func() { h = newHarness(crashRecords("a", "b")...) })

	It("gets none until the end of that time", func() {
		Expect(effectsOf[SignalRecorded](h.signal("a", false, backoff))).To(ConsistOf(HaveField("Backoff", backoff)))
		Expect(onlyDispatchEndpoint(h.arrive(h.newJob()))).To(Equal("b"))
		Expect(h.state.MaySend(Dispatch{EndpointID: "a", StartedAtMillis: 1}, h.at)).To(BeFalse())
		h.state.Reduce(EndpointsListed{At: h.at, Records: crashRecords("a")})
		h.at = backoff - time.Millisecond
		Expect(effectsOf[Dispatch](h.arrive(h.newJob()))).To(BeEmpty())
		h.at = backoff
		Expect(effectsOf[Dispatch](h.state.Reduce(Tick{At: h.at}))).To(HaveLen(1))
	})

	It("gets none until the longest time that it asked for", func() {
		h.signal("a", false, backoff)
		h.at = time.Second
		Expect(h.signal("a", false, backoff/2)).To(BeEmpty())
		Expect(effectsOf[SignalRecorded](h.signal("a", false, 3*backoff))).To(HaveLen(1))
		h.at = backoff
		Expect(h.state.MaySend(Dispatch{EndpointID: "a", StartedAtMillis: 1}, h.at)).To(BeFalse())
	})

	It("gets its requests back in small steps", func() {
		h = newHarness(crashRecords("a")...)
		h.signal("a", false, 10*time.Millisecond)
		// dispatched returns how many of several new requests are sent at a time.
		dispatched := func(at time.Duration) int {
			h.at = at
			n := 0
			for range 4 {
				n += len(effectsOf[Dispatch](h.arrive(h.newJob())))
			}
			return n
		}
		Expect(dispatched(10 * time.Millisecond)).To(Equal(1))
		Expect(dispatched(10*time.Millisecond + backoffRamp/2)).To(Equal(2))
		Expect(dispatched(10*time.Millisecond + backoffRamp)).To(BeNumerically(">=", 1))
	})

	It("lets requests be refused with the end of that time if no endpoint wants any", func() {
		h.signal("a", false, time.Minute)
		h.signal("b", false, 2*time.Minute)
		j := h.newJob()
		j.Deadline, j.CallerPatience = h.at+2*time.Minute, 2*time.Second
		refusal := onlyRefusal(h.arrive(j))
		Expect(refusal.Reason).To(Equal(ReasonBackoff))
		Expect(refusal.RetryAfter).To(Equal(time.Minute))
		Expect(onlyRefusal(h.arrive(h.newJob())).RetryAfter).To(Equal(10*time.Second), "the deadline")
	})

	It("lets requests be refused at once that it has rejected", func() {
		h = newHarness(crashRecords("a")...)
		j := h.newJob()
		j.MaxAttempts = 3
		onlyDispatchEndpoint(h.arrive(j))
		h.signal("a", false, time.Minute)
		Expect(onlyRefusal(h.end(j, OutcomeRejected, true)).RetryAfter).To(Equal(10*time.Second), "the deadline")
	})

	It("lets requests wait if that time ends soon", func() {
		h.signal("a", false, 100*time.Millisecond)
		h.signal("b", false, time.Minute)
		Expect(h.arrive(h.newJob())).To(BeEmpty())
		h.at = 100 * time.Millisecond
		Expect(onlyDispatchEndpoint(h.state.Reduce(Tick{At: h.at}))).To(Equal("a"))
	})
})

var _ = Describe("Signals of endpoints in random order", func() {
	It("keep requests away from leaving endpoints and from those that want none", func() {
		for seed := range uint64(300) {
			checkRandomSignals(seed)
		}
	})
})

// signalModel is what an endpoint of a random schedule has said since its start.
type signalModel struct {
	start        int64
	leaving      bool
	backoffUntil time.Duration
}

// checkRandomSignals lets endpoints send signals, start again under their IDs, disappear from the list and return in a random
// order, while requests arrive and the instance freezes.
func checkRandomSignals(seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	ids := []string{"a", "b", "c"}
	models := map[string]*signalModel{}
	for _, id := range ids {
		models[id] = &signalModel{start: 1}
	}
	h := newHarness(crashRecords(ids...)...)
	var running []*Job
	for range 200 {
		h.at += time.Duration(random.IntN(200)) * time.Millisecond
		id := ids[random.IntN(len(ids))]
		var effects []Effect
		switch random.IntN(8) {
		case 0:
			if h.state.endpoints[id] != nil && random.IntN(4) == 0 {
				models[id].leaving = true
				effects = h.signal(id, true, 0)
			}
		case 1:
			if h.state.endpoints[id] != nil {
				backoff := time.Duration(random.IntN(3000)) * time.Millisecond
				models[id].backoffUntil = max(models[id].backoffUntil, h.at+backoff)
				effects = h.signal(id, false, backoff)
			}
		case 2:
			if random.IntN(3) == 0 {
				models[id] = &signalModel{start: models[id].start + 1}
			}
			effects = h.listRandomly(random, models)
		case 3:
			h.at += time.Duration(random.IntN(5)) * time.Second
		case 4:
			if len(running) > 0 {
				effects = h.end(running[0], []Outcome{OutcomeDone, OutcomeRejected, OutcomeLost}[random.IntN(3)], true)
				running = running[1:]
			}
		default:
			j := h.newJob()
			effects = h.arrive(j)
			running = append(running, j)
		}
		effects = append(effects, h.state.Reduce(Tick{At: h.at})...)
		for _, d := range effectsOf[Dispatch](effects) {
			m := models[d.EndpointID]
			if d.StartedAtMillis == m.start {
				Expect(m.leaving).To(BeFalse(), "seed %d: request to a leaving endpoint", seed)
				Expect(m.backoffUntil).To(BeNumerically("<=", h.at), "seed %d: request during a backoff", seed)
			}
		}
	}
}

// listRandomly lists some of the endpoints.
func (h *reducerHarness) listRandomly(random *rand.Rand, models map[string]*signalModel) []Effect {
	var records []wigeonshift.EndpointRecord
	for _, r := range crashRecords("a", "b", "c") {
		r.StartedAtMillis = models[r.ID].start
		if random.IntN(3) > 0 {
			records = append(records, r)
		}
	}
	return h.state.Reduce(EndpointsListed{At: h.at, Records: records})
}
