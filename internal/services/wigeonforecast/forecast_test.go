package wigeonforecast

import (
	"testing"
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestForecast(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeonforecast")
}

var _ = Describe("Forecast", func() {
	// A forecast without this would refuse requests while slots are free.
	It("starts a request at once on a free slot that no other takes", func() {
		var f Forecast
		f.AddFree(2, time.Second)
		Expect(f.Start(Competition{Taken: 1})).To(Equal(Start{Confidence: 1}))
		Expect(f.Start(Competition{Taken: 2}).Wait).To(BeNumerically(">", 0))
	})

	// One mean time for all slots would miss that a long request blocks its slot for longer.
	It("starts a request at the expected end of a running one", func() {
		var f Forecast
		f.AddRun(400*time.Millisecond, 10*time.Second)
		f.AddRun(3*time.Second, 10*time.Second)
		Expect(f.Start(Competition{Taken: 0}).Wait).To(Equal(400 * time.Millisecond))
		Expect(f.Start(Competition{Taken: 1}).Wait).To(BeNumerically("~", 3*time.Second, 500*time.Millisecond))
		Expect(f.Start(Competition{Taken: 0}).Confidence).To(BeNumerically("==", 1))
	})

	It("spreads the ends of requests of unknown sizes, and is less sure of them", func() {
		var f Forecast
		f.AddRuns(10, time.Second)
		Expect(f.Start(Competition{Taken: 4}).Wait).To(BeNumerically("~", 500*time.Millisecond, 2*Step))
		Expect(f.Start(Competition{Taken: 4}).Confidence).To(BeZero())
	})

	It("says that a request can't start within the horizon, also without any slot", func() {
		var f Forecast
		Expect(f.Start(Competition{Taken: 0})).To(Equal(Start{Wait: Horizon, BeyondHorizon: true}))
		f.AddRuns(1, time.Second)
		Expect(f.Start(Competition{Taken: 100}).BeyondHorizon).To(BeTrue())
	})

	// Without it, all refused callers would return to the same free slot.
	It("starts a request after those that are reserved and those that are expected", func() {
		var f Forecast
		f.AddRuns(10, time.Second)
		plain := f.Start(Competition{}).Wait
		reserved := f.Start(Competition{Reserved: []time.Duration{0, 0}}).Wait
		Expect(reserved - plain).To(BeNumerically("~", 200*time.Millisecond, 2*Step))
		Expect(f.Start(Competition{Reserved: []time.Duration{time.Second}}).Wait).To(Equal(plain))
		busy := Competition{Expected: Rate{Recent: 15, LongTerm: 1}}
		Expect(f.Start(busy).Wait).To(BeNumerically(">", time.Second))
		Expect(f.Start(busy).BeyondHorizon).To(BeFalse())
		Expect(f.Start(Competition{Expected: Rate{Recent: 10, LongTerm: 10}}).BeyondHorizon).To(BeTrue())
	})

	It("measures the rate of arrivals, soon after the first and in a burst", func() {
		var a Arrivals
		at := time.Second
		for ; at < 3*time.Second; at += 10 * time.Millisecond {
			a.Add(0.5, at)
		}
		Expect(a.Rate(at).Recent).To(BeNumerically("~", 50, 5))
		Expect(a.Rate(at).LongTerm).To(BeNumerically("~", 50, 30))
		Expect(a.Rate(at + 3*time.Second).Recent).To(BeNumerically("<", 5))
	})

	It("counts slots that are added after an answer", func() {
		var f Forecast
		f.AddRuns(1, time.Second)
		before := f.Start(Competition{Taken: 0}).Wait
		f.AddRuns(9, time.Second)
		Expect(f.Start(Competition{Taken: 0}).Wait).To(BeNumerically("<", before/2))
	})
})

func BenchmarkForecast(b *testing.B) {
	var f Forecast
	for b.Loop() {
		f.Reset()
		for range 80 {
			f.AddRun(time.Second, time.Second)
		}
		f.Start(Competition{Taken: 20})
	}
}

var _ = Describe("Reservations", func() {
	const caller = wigeonshift.Fingerprint(7)
	reservation := Reservation{Caller: caller, Level: 3, At: time.Second, IsOwn: true}

	// A caller that came much later would displace those for whom the capacity was released.
	It("hold for a caller that returns in its span, once", func() {
		var r Reservations
		Expect(r.Add(reservation)).To(BeTrue())
		Expect(r.Add(reservation)).To(BeFalse())
		found, holds := r.Take(caller, time.Second+lateReturn)
		Expect([]bool{found, holds}).To(Equal([]bool{true, true}))
		found, _ = r.Take(caller, time.Second)
		Expect(found).To(BeFalse())
		r.Add(reservation)
		_, holds = r.Take(caller, time.Second-2*earlyReturn)
		Expect(holds).To(BeFalse())
	})

	It("end with their spans, and take slots from requests of their level and behind it only", func() {
		var r Reservations
		r.Add(reservation)
		r.Add(Reservation{Caller: 8, Level: 3, At: 2 * time.Second, Elsewhere: true})
		Expect(r.Ahead(2, 0)).To(BeEmpty())
		Expect(r.Ahead(3, 400*time.Millisecond)).To(Equal([]time.Duration{600 * time.Millisecond}))
		r.Expire(time.Second + 2*lateReturn)
		Expect(r.Len()).To(Equal(1))
	})

	// Instances with unbounded lists would fill links of low bandwidth under overload.
	It("are bounded, in number and in notices", func() {
		var r Reservations
		for i := range 2 * MaxReservations {
			r.Add(Reservation{Caller: wigeonshift.Fingerprint(i + 1), MadeAt: time.Duration(i), At: time.Second, IsOwn: true})
		}
		Expect(r.Len()).To(Equal(MaxReservations))
		newest := r.ForNotice(time.Second)
		Expect(newest).To(HaveLen(MaxNoticeReservations))
		Expect(newest[0].MadeAt).To(Equal(time.Duration(MaxReservations - 1)))
		Expect(r.ForNotice(2 * noticeAge)).To(BeEmpty())
	})
})
