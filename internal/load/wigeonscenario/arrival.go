package wigeonscenario

import (
	"math/rand/v2"
	"time"
)

// Gap draws the time from one request of an open process to the next, elapsed after the start.
func (a *Arrival) Gap(random *rand.Rand, elapsed time.Duration) time.Duration {
	// The process is drawn in units of the mean number of requests, then stretched by the rate in force.
	left := random.ExpFloat64()
	at := elapsed
	for {
		rate, until := a.rateAt(at)
		step := time.Duration(left / rate * float64(time.Second))
		if until == 0 || at+step <= until {
			return at + step - elapsed
		}
		left -= rate * (until - at).Seconds()
		at = until
	}
}

// rateAt returns the rate in force and the time until which it stays; 0 means for ever.
func (a *Arrival) rateAt(elapsed time.Duration) (rate float64, until time.Duration) {
	if a.BurstFactor <= 0 {
		return a.Rate, 0
	}
	period := elapsed / a.BurstEvery.Duration
	start := period * a.BurstEvery.Duration
	// The burst is the end of each period, so that a run begins quietly.
	burst := start + a.BurstEvery.Duration - a.BurstLength.Duration
	if elapsed < burst {
		return a.Rate, burst
	}
	return a.Rate * a.BurstFactor, start + a.BurstEvery.Duration
}

// Pause draws the pause of a closed process's caller.
func (a *Arrival) Pause(random *rand.Rand) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(a.Think.Duration))
}
