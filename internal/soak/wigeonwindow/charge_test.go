package wigeonwindow_test

import (
	"testing"
	"time"

	"wigeonshift/internal/soak/wigeonwindow"

	. "github.com/onsi/gomega"
)

func TestMostCharges(t *testing.T) {
	g := NewWithT(t)
	charges := []wigeonwindow.Charge{
		{Sent: 9 * time.Second, Arrived: 10 * time.Second},
		{Sent: 0, Arrived: time.Second},
		{Sent: 3 * time.Second, Arrived: 4 * time.Second},
		{Sent: 4 * time.Second, Arrived: 20 * time.Second},
	}
	most, start := wigeonwindow.MostCharges(charges, 8*time.Second)
	g.Expect(most).To(Equal(2))
	g.Expect(start).To(Equal(time.Duration(0)))
	most, start = wigeonwindow.MostCharges(charges, 17*time.Second)
	g.Expect(most).To(Equal(3), "the window that begins first holds three, the next one as many")
	g.Expect(start).To(Equal(time.Duration(0)))
	most, _ = wigeonwindow.MostCharges(nil, time.Second)
	g.Expect(most).To(Equal(0))
}
