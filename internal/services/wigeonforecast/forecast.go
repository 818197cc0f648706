package wigeonforecast

import "time"

const (
	// Step is the resolution of a forecast.
	Step = 25 * time.Millisecond
	// Horizon is the time over which a forecast looks ahead. Later ends count as ends at the horizon.
	Horizon = 6 * time.Second
	steps   = int(Horizon / Step)
	// minPeriod is the minimum time in a slot. It bounds the rate of a slot.
	minPeriod = time.Millisecond
)

// Forecast predicts how many slots become free over the next seconds. The zero value has no slots. It is not safe for
// concurrent use.
type Forecast struct {
	// known[i] is the number of slots that become free in step i by the end of a known request, and rate[i] the change in
	// step i of the number of slots per step that become free otherwise.
	known, rate [steps]float64
	// free is the number of slots that are free now.
	free float64
	// slots is the number of slots.
	slots int
	// ends and sure are the sums up to each step of all slots and of the known ones. They are valid while isSummed is set.
	ends, sure [steps]float64
	isSummed   bool
}

// Start is the answer to when a request can start.
type Start struct {
	// Wait is the expected time until then, at most Horizon.
	Wait time.Duration
	// Confidence is the share of the ends up to then that are the expected ends of known requests, from 0 to 1. It is 1 for
	// a free slot.
	Confidence float64
	// BeyondHorizon is set if too few slots become free within Horizon.
	BeyondHorizon bool
}

// Reset removes all slots.
func (f *Forecast) Reset() { *f = Forecast{} }

// AddFree adds slots that are free now. A request takes a slot of the endpoint for a mean time of period.
func (f *Forecast) AddFree(slots int, period time.Duration) {
	f.free += float64(slots)
	f.addRate(0, slots, period)
}

// AddRun adds a slot that becomes free after left, at the end of a request whose size is known.
func (f *Forecast) AddRun(left, period time.Duration) {
	i := stepOf(left)
	f.known[i]++
	f.addRate(i, 1, period)
}

// AddRuns adds slots that are in use by requests of unknown sizes. Their ends are spread evenly over the mean time in a slot.
func (f *Forecast) AddRuns(slots int, period time.Duration) { f.addRate(0, slots, period) }

func (f *Forecast) addRate(step, slots int, period time.Duration) {
	f.rate[step] += float64(slots) * float64(Step) / float64(max(period, minPeriod))
	f.slots += slots
	f.isSummed = false
}

// IsEmpty reports whether there are no slots.
func (f *Forecast) IsEmpty() bool { return f.slots == 0 }

// Competition is what takes slots before a request.
type Competition struct {
	// Taken is the number of slots that requests take which are queued now.
	Taken float64
	// Expected is the work that is expected to arrive.
	Expected Rate
	// Reserved are the times at which reservations take a slot, in ascending order.
	Reserved []time.Duration
}

// Start returns when a request can start that needs one slot.
func (f *Forecast) Start(c Competition) Start { return f.StartAfter(0, c) }

// StartAfter returns when a request can start that comes after a time.
func (f *Forecast) StartAfter(earliest time.Duration, c Competition) Start {
	if earliest <= 0 && c.Taken+1 <= f.free {
		return Start{Confidence: 1}
	}
	f.sum()
	spare, reserved, before := f.free-c.Taken, 0, 0.0
	for i := range steps {
		at := time.Duration(i) * Step
		spare += f.ends[i] - before - c.Expected.inStep(i)
		before = f.ends[i]
		for reserved < len(c.Reserved) && c.Reserved[reserved] <= at {
			reserved++
			spare--
		}
		if spare >= 1 && at >= earliest {
			return Start{Wait: at, Confidence: f.confidence(i)}
		}
		// Slots that become free earlier are used by others.
		spare = min(spare, 1)
	}
	return Start{Wait: Horizon, BeyondHorizon: true}
}

// confidence returns the share of the ends up to a step that are those of known requests.
func (f *Forecast) confidence(step int) float64 {
	if f.ends[step] <= 0 {
		return 1
	}
	return f.sure[step] / f.ends[step]
}

// sum sums the ends up to each step.
func (f *Forecast) sum() {
	if f.isSummed {
		return
	}
	rate, ends, sure := 0.0, 0.0, 0.0
	for i := range steps {
		ends += rate + f.known[i]
		sure += f.known[i]
		rate += f.rate[i]
		f.ends[i], f.sure[i] = ends, sure
	}
	f.isSummed = true
}

// stepOf returns the step of a time.
func stepOf(at time.Duration) int { return min(max(int(at/Step), 0), steps-1) }
