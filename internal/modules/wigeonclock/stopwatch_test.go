package wigeonclock_test

import (
	"testing"
	"testing/synctest"
	"time"

	"wigeonshift/internal/modules/wigeonclock"

	. "github.com/onsi/gomega"
)

func TestStopwatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, s := NewWithT(t), wigeonclock.NewStopwatch()
		g.Expect(s.Elapsed()).To(BeNumerically("<", 100*time.Millisecond))
		time.Sleep(time.Minute)
		g.Expect(s.Elapsed()).To(BeNumerically("~", time.Minute, 100*time.Millisecond))
	})
}
