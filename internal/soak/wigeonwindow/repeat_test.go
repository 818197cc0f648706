package wigeonwindow_test

import (
	"testing"
	"time"

	"wigeonshift/internal/soak/wigeonwindow"

	. "github.com/onsi/gomega"
)

var limit = wigeonwindow.RepeatLimit{Window: 10 * time.Second, Ratio: 0.5, Slack: 2}

func every(step, from, to time.Duration) []time.Duration {
	var times []time.Duration
	for at := from; at < to; at += step {
		times = append(times, at)
	}
	return times
}

func TestWorstFindsWindowBetweenBuckets(t *testing.T) {
	g := NewWithT(t)
	r := wigeonwindow.Record{
		Requests: every(time.Second, 0, 40*time.Second),
		Repeats: append(every(time.Millisecond, 13*time.Second, 13*time.Second+4*time.Millisecond),
			every(time.Millisecond, 22*time.Second+900*time.Millisecond, 22*time.Second+904*time.Millisecond)...),
	}
	r.Sort()
	worst := limit.Worst(r)
	g.Expect(worst.Repeats).To(Equal(8))
	g.Expect(worst.Limit).To(Equal(7.0))
	g.Expect(worst.Exceeded()).To(BeTrue())
}

func TestRequestsOfEarlierWindowsCount(t *testing.T) {
	g := NewWithT(t)
	r := wigeonwindow.Record{Requests: every(time.Second, 0, 10*time.Second)}
	g.Expect(limit.At(r, 10*time.Second).Limit).To(Equal(7.0), "the window before")
	g.Expect(limit.At(r, 13*time.Second).Limit).To(Equal(5.5), "the window before")
	g.Expect(limit.At(r, -4*time.Second).Limit).To(Equal(5.0), "the window itself")
	r.Requests = every(time.Second, 6*time.Second, 14*time.Second)
	g.Expect(limit.At(r, 10*time.Second).Limit).To(Equal(6.0), "half a window before")
}

func TestUseIsMeanOverWindows(t *testing.T) {
	g := NewWithT(t)
	r := wigeonwindow.Record{
		Requests: every(500*time.Millisecond, 0, 40*time.Second), Repeats: every(time.Second, 0, 40*time.Second),
	}
	g.Expect(limit.Use(r, 10*time.Second, 40*time.Second)).To(BeNumerically("~", 10.0/12, 0.01))
}

func TestWorstFindsRepeatsWhereNoneIsAllowed(t *testing.T) {
	g := NewWithT(t)
	ratioOnly := wigeonwindow.RepeatLimit{Window: 10 * time.Second, Ratio: 1}
	r := wigeonwindow.Record{Requests: []time.Duration{time.Minute}, Repeats: []time.Duration{5 * time.Second}}
	g.Expect(ratioOnly.Worst(r).Exceeded()).To(BeTrue())
	r.Repeats = nil
	g.Expect(ratioOnly.Worst(r).Exceeded()).To(BeFalse())
}
