package wigeonpace

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// usualPace is an engine of the 80-instance deployment in docs/design/hard-load-parts.md at a speed factor.
func usualPace(speed float64) Pace {
	return Pace{
		Step: time.Duration(float64(3800*time.Microsecond) / speed), Token: time.Duration(float64(time.Millisecond) / 92.1 / speed),
		EventTokens: 7,
	}
}

var usualTarget = Target{Pause: 400 * time.Millisecond, LateCost: 800 * time.Millisecond}

// Guards against an estimate that counts more of a prompt than the steps of one event can prefill.
func TestLongestPauseIsThatOfTheChunksOfOneEvent(t *testing.T) {
	g := NewWithT(t)
	p := usualPace(1)
	g.Expect(p.LongestPause(0)).To(Equal(7 * p.Step))
	g.Expect(p.LongestPause(10_000)).To(Equal(7*p.Step + 10_000*p.Token))
	g.Expect(p.LongestPause(1_000_000)).To(Equal(p.LongestPause(7 * MaxChunkTokens)))
	g.Expect(p.LongestPause(-5)).To(Equal(p.LongestPause(0)), "an impossible report")
}

// Guards against long prompts in a row on a slow endpoint, whose streams then pause for too long.
func TestLongPromptsExceedTheTargetOnSlowEndpointsOnly(t *testing.T) {
	g := NewWithT(t)
	busy := Load{Requests: 5, PendingTokens: 15_000}
	slow, fast := usualPace(0.55).Impact(busy, 6610, usualTarget), usualPace(2.8).Impact(busy, 6610, usualTarget)
	g.Expect(slow.ExceedsTarget).To(BeTrue())
	g.Expect(slow.Cost).To(BeNumerically(">", usualTarget.LateCost))
	g.Expect(fast.ExceedsTarget).To(BeFalse())
	g.Expect(fast.Cost).To(BeZero())
	g.Expect(usualPace(0.55).Impact(Load{Requests: 5}, 6610, usualTarget).ExceedsTarget).To(BeFalse(), "a single prompt")
	g.Expect(usualPace(2.8).Impact(busy, 1_000_000, usualTarget).ExceedsTarget).To(BeFalse(), "a very long prompt on a fast endpoint")
}

// Guards against a change for services without targets, and against a cost to nobody.
func TestNoImpactWithoutTargetOrOtherRequests(t *testing.T) {
	g := NewWithT(t)
	g.Expect(usualPace(0.55).Impact(Load{Requests: 5, PendingTokens: 50_000}, 50_000, Target{})).To(BeZero())
	g.Expect(usualPace(0.55).Impact(Load{}, 50_000, usualTarget)).To(BeZero())
}
