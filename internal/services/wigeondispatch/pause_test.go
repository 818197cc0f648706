package wigeondispatch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// pauseKinds are the kinds of requests of the 80-instance deployment in docs/design/hard-load-parts.md, at a fifth of their rates.
var pauseKinds = []fleetKind{
	{
		tier: 0, requestsPerSecond: 23.8, promptTokens: 6610, answerTokens: 385, sizeSigma: 1, objective: 800 * time.Millisecond,
		gap: 400 * time.Millisecond, patience: 3200 * time.Millisecond, timeout: 15 * time.Second, value: 7, late: 0.3,
	},
	{
		tier: 1, requestsPerSecond: 35, promptTokens: 628, answerTokens: 294, sizeSigma: 1, objective: 500 * time.Millisecond,
		gap: 400 * time.Millisecond, patience: 3200 * time.Millisecond, timeout: 12 * time.Second, value: 2.1, late: 0.3,
	},
	{
		tier: 2, requestsPerSecond: 46.2, promptTokens: 1800, answerTokens: 21, sizeSigma: 0.8, objective: 500 * time.Millisecond,
		gap: 400 * time.Millisecond, patience: 3200 * time.Millisecond, timeout: 3 * time.Second, value: 0.6, late: 0.3,
	},
}

// unevenPauseKinds are those of the 62-instance deployment.
var unevenPauseKinds = []fleetKind{
	{
		tier: 0, requestsPerSecond: 18.2, promptTokens: 6610, answerTokens: 385, sizeSigma: 1, objective: 800 * time.Millisecond,
		gap: 500 * time.Millisecond, patience: 4 * time.Second, timeout: 15 * time.Second, value: 7, late: 0.3,
	},
	{
		tier: 1, requestsPerSecond: 53.2, promptTokens: 628, answerTokens: 294, sizeSigma: 1, objective: time.Second,
		gap: 500 * time.Millisecond, patience: 4 * time.Second, timeout: 12 * time.Second, value: 2.1, late: 0.3,
	},
	{
		tier: 2, requestsPerSecond: 30.6, promptTokens: 1800, answerTokens: 21, sizeSigma: 0.8, objective: 1500 * time.Millisecond,
		gap: 500 * time.Millisecond, patience: 6 * time.Second, timeout: 3 * time.Second, value: 0.6, late: 0.3,
	},
}

var (
	pauseProfile = fleetProfile{
		slots: 10, baseStepTime: 3030 * time.Microsecond, prefillTokensPerMillisecond: 92.1, chunkTokens: 4096, eventTokens: 7,
		speeds: []float64{0.55, 1, 1, 2.8},
	}
	unevenPauseProfile = fleetProfile{
		slots: 10, baseStepTime: 3880 * time.Microsecond, prefillTokensPerMillisecond: 66.2, chunkTokens: 4096, eventTokens: 7,
		speeds: []float64{0.55, 1, 2.8},
	}
)

// pauseResult is the result of the same loads with and without targets for pauses.
type pauseResult struct {
	paused, pausedBlind, onTime, onTimeBlind int
	value, valueBlind                        float64
}

func simulatePauses(profile fleetProfile, kinds []fleetKind, rate func(time.Duration) float64) pauseResult {
	var r pauseResult
	for seed := range uint64(4) {
		for _, hidesGaps := range []bool{false, true} {
			f := newProfiledFleet(seed, 16, 12, profile, kinds)
			f.hidesGaps = hidesGaps
			f.simulate(20*time.Second, rate)
			AddReportEntry("fleet", f.summary())
			paused, onTime := &r.paused, &r.onTime
			if hidesGaps {
				paused, onTime = &r.pausedBlind, &r.onTimeBlind
				r.valueBlind += f.valueShare()
			} else {
				r.value += f.valueShare()
			}
			for k := range kinds {
				*paused += f.counts.paused[k]
				*onTime += f.counts.onTime[k]
			}
		}
	}
	return r
}

var _ = Describe("Long prompts beside running streams", func() {
	steady := func(time.Duration) float64 { return 0.8 }
	loads := []struct {
		name    string
		profile fleetProfile
		kinds   []fleetKind
		rate    func(time.Duration) float64
		// share is the share of the streams paused without the targets that may be paused with them.
		share float64
	}{
		{"at the usual load of the 80-instance deployment", pauseProfile, pauseKinds, steady, 0.5},
		{"at the usual load of the 62-instance deployment", unevenPauseProfile, unevenPauseKinds, steady, 0.5},
		// While all slots are in use, a prompt seldom has time to wait.
		{"in bursts on the 80-instance deployment", pauseProfile, pauseKinds, burstLoadFactor, 1},
		{"in bursts on the 62-instance deployment", unevenPauseProfile, unevenPauseKinds, burstLoadFactor, 1},
	}

	It("pause fewer streams for too long, make no more requests late and earn no less", func() {
		value, valueBlind := 0.0, 0.0
		for _, load := range loads {
			r := simulatePauses(load.profile, load.kinds, load.rate)
			AddReportEntry("result", r)
			Expect(r.paused).To(BeNumerically("<", load.share*float64(r.pausedBlind)), load.name)
			Expect(r.onTime).To(BeNumerically(">=", r.onTimeBlind), load.name)
			value, valueBlind = value+r.value, valueBlind+r.valueBlind
		}
		Expect(value).To(BeNumerically(">=", valueBlind))
	})
})
