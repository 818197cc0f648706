package wigeonforecast

import (
	"math"
	"time"
)

const (
	// recentTime and longTime are the time constants of the recent and of the long-term rate of arrivals.
	recentTime = time.Second
	longTime   = 15 * time.Second
	// burstTime is the time constant with which the recent rate is expected to return to the long-term one: bursts last
	// for 2.5 to 5 s.
	burstTime = 3 * time.Second
)

// Rate is the work that is expected to arrive, in slots per second.
type Rate struct {
	// Recent is the rate now, LongTerm the rate to which it returns.
	Recent, LongTerm float64
}

// Plus returns the sum of two rates.
func (r Rate) Plus(x Rate) Rate {
	return Rate{Recent: r.Recent + x.Recent, LongTerm: r.LongTerm + x.LongTerm}
}

// Times returns the rate multiplied by a factor.
func (r Rate) Times(factor float64) Rate {
	return Rate{Recent: r.Recent * factor, LongTerm: r.LongTerm * factor}
}

// inStep returns the work that is expected to arrive in a step of a forecast.
func (r Rate) inStep(step int) float64 {
	return (r.LongTerm + (r.Recent-r.LongTerm)*burstLeft[step]) * Step.Seconds()
}

// burstLeft holds the share of a burst that is left in each step of a forecast.
var burstLeft = func() (left [steps]float64) {
	for i := range left {
		left[i] = math.Exp(-(time.Duration(i) * Step).Seconds() / burstTime.Seconds())
	}
	return left
}()

// Arrivals measures the rate at which work arrives. The zero value has seen none.
type Arrivals struct {
	recent, long float64
	since, last  time.Duration
}

// Add adds work that arrives at a time.
func (a *Arrivals) Add(work float64, at time.Duration) {
	if a.since == 0 {
		a.since = max(at, 1)
	}
	a.decay(at)
	a.recent += work
	a.long += work
}

// Rate returns the rate at a time. It is unknown, and zero, until recentTime after the first arrival. Before longTime has passed, the long-term rate is that of the time since the first arrival.
func (a *Arrivals) Rate(at time.Duration) Rate {
	seen := at - a.since
	if a.since == 0 || seen < recentTime {
		return Rate{}
	}
	a.decay(at)
	return Rate{Recent: a.recent / covered(recentTime, seen), LongTerm: a.long / covered(longTime, seen)}
}

// covered returns the weight, in seconds, of the time seen in a mean with a time constant.
func covered(constant, seen time.Duration) float64 {
	return constant.Seconds() * -math.Expm1(-seen.Seconds()/constant.Seconds())
}

func (a *Arrivals) decay(at time.Duration) {
	d := (at - a.last).Seconds()
	if d <= 0 {
		return
	}
	a.recent *= math.Exp(-d / recentTime.Seconds())
	a.long *= math.Exp(-d / longTime.Seconds())
	a.last = at
}
