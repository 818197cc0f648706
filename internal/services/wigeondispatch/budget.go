package wigeondispatch

import "time"

// budgetSteps is the number of steps in which a window is counted.
const budgetSteps = 10

// budget bounds this instance's share of the resends of a service.
type budget struct {
	window time.Duration
	ratio  float64
	// step is the number of the step that is being counted.
	step     int64
	requests [budgetSteps]int
	resends  [budgetSteps]int
}

func newBudget(s Settings) *budget {
	return &budget{window: s.RetryWindow, ratio: s.RetryRatio}
}

// advance forgets steps that are older than the window.
func (b *budget) advance(at time.Duration) int {
	step := int64(at / (b.window / budgetSteps))
	for b.step < step {
		b.step++
		b.requests[b.step%budgetSteps], b.resends[b.step%budgetSteps] = 0, 0
		if step-b.step > budgetSteps {
			b.step = step - budgetSteps
		}
	}
	return int(step % budgetSteps)
}

// request counts a request.
func (b *budget) request(at time.Duration) { b.requests[b.advance(at)]++ }

// resend books a resend and reports whether it is allowed. slack is this instance's share of the free resends.
func (b *budget) resend(at time.Duration, slack float64) bool {
	i := b.advance(at)
	requests, resends := 0, 0
	for k := range b.requests {
		requests += b.requests[k]
		resends += b.resends[k]
	}
	if float64(resends+1) > b.ratio*float64(requests)+slack {
		return false
	}
	b.resends[i]++
	return true
}
