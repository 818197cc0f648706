package wigeonscenario

import (
	"math/rand/v2"
	"time"
)

// InterArrivalTime returns a random time from one request of an open process to the next. elapsed is the time from the
// start of the run to the first of the two.
func (a *Arrival) InterArrivalTime(random *rand.Rand, elapsed time.Duration) time.Duration {
	// remaining is in units of expected requests. Each interval of constant rate uses up the requests expected in it.
	remaining := random.ExpFloat64()
	at := elapsed
	for {
		rate, until := a.rateAt(at)
		step := time.Duration(remaining / rate * float64(time.Second))
		if until == 0 || at+step <= until {
			return at + step - elapsed
		}
		remaining -= rate * (until - at).Seconds()
		at = until
	}
}

// rateAt returns the rate in requests per second at a time after the start, and when that rate ends. 0 means that it
// never ends.
func (a *Arrival) rateAt(elapsed time.Duration) (rate float64, until time.Duration) {
	if a.BurstFactor <= 0 {
		return a.Rate, 0
	}
	period := elapsed / a.BurstEvery.Duration
	start := period * a.BurstEvery.Duration
	// The burst is at the end of each period, so that a run starts at the base rate.
	burstStart := start + a.BurstEvery.Duration - a.BurstLength.Duration
	if elapsed < burstStart {
		return a.Rate, burstStart
	}
	return a.Rate * a.BurstFactor, start + a.BurstEvery.Duration
}

// ThinkTime returns a random pause of a caller of a closed process before its next request.
func (a *Arrival) ThinkTime(random *rand.Rand) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(a.Think.Duration))
}
