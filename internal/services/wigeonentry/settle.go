package wigeonentry

import (
	"context"
	"errors"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonscheduler"

	"github.com/cenkalti/backoff/v5"
	"github.com/sirupsen/logrus"
)

// writeClaim writes the claim before anything is dispatched. It is the last effect of its event.
func (f *flight) writeClaim(ctx context.Context, c wigeonshift.Claim) {
	timeout := min(f.service.settings.ControlTimeout, time.Until(f.ask.Deadline))
	// The caller's end must not leave the claim's outcome open.
	claimCtx, cancel := context.WithTimeout(f.service.running, timeout)
	defer cancel()
	existing, err := f.service.claims.Claim(claimCtx, c)
	if err != nil {
		f.logger().WithError(err).Info("claim was not written")
	}
	f.apply(ctx, wigeonscheduler.ClaimAnswered{Request: f.ask.ID, Outcome: claimOutcome(err), Existing: existing})
}

func claimOutcome(err error) wigeonscheduler.ClaimOutcome {
	switch {
	case err == nil:
		return wigeonscheduler.ClaimWritten
	case errors.Is(err, wigeonshift.ErrAlreadyClaimed):
		return wigeonscheduler.ClaimExists
	case errors.Is(err, wigeonshift.ErrUnavailable), errors.Is(err, wigeonshift.ErrThrottled):
		return wigeonscheduler.ClaimRefused
	default:
		return wigeonscheduler.ClaimUnknown
	}
}

// settler records the end of a claim, and tries again while the store is down.
type settler struct {
	service *Service
	claim   wigeonshift.Claim
	log     logrus.FieldLogger
	done    chan struct{}
}

// settleClaim starts to record a claim's end and waits for it within a bound, so that a repeat soon after the answer
// finds it.
func (f *flight) settleClaim(c wigeonshift.Claim) {
	if c.State == wigeonshift.ClaimDone {
		a := f.current.answer
		c.Status, c.ContentType, c.Body = a.Status, a.ContentType, a.Body
	}
	s := &settler{service: f.service, claim: c, log: f.logger(), done: make(chan struct{})}
	f.service.inBackground(s.run)
	t := time.NewTimer(f.service.settings.SettleWait)
	defer t.Stop()
	select {
	case <-s.done:
	case <-t.C:
		f.service.counters.add("entrySettlesLate", "", 1)
	}
}

func (s *settler) run() {
	defer s.service.finished(&s.service.background)
	defer close(s.done)
	_, err := backoff.Retry(s.service.running, s.try,
		backoff.WithBackOff(s.service.backOff()),
		backoff.WithMaxElapsedTime(s.service.settings.SettleTimeout))
	if err != nil {
		s.service.counters.add("entrySettleFailures", "", 1)
		s.log.WithError(err).Error("the outcome of a claim was not recorded")
	}
}

func (s *settler) try() (struct{}, error) {
	ctx, cancel := context.WithTimeout(s.service.running, s.service.settings.ControlTimeout)
	defer cancel()
	return struct{}{}, s.service.claims.Settle(ctx, s.claim)
}
