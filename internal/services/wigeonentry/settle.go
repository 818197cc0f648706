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

// writeClaim writes the claim before the request is dispatched. The reducer returns WriteClaim only as the last effect
// of an event, because the result applies another event.
func (h *requestHandler) writeClaim(ctx context.Context, c wigeonshift.Claim) {
	timeout := min(h.service.settings.ControlTimeout, time.Until(h.permitRequest.Deadline))
	// The write does not use the caller's context: a disconnect during the write would leave its outcome unknown.
	claimCtx, cancel := context.WithTimeout(h.service.baseCtx, timeout)
	defer cancel()
	existing, err := h.service.claims.Claim(claimCtx, c)
	if err != nil {
		h.logger().WithError(err).Info("failed to write claim")
	}
	h.applyEvent(ctx, wigeonscheduler.ClaimAnswered{Request: h.permitRequest.ID, Outcome: claimOutcome(err), Existing: existing})
}

// claimOutcome maps the error of a claim write to the reducer's outcome. ClaimRefused is only for errors that prove that
// nothing was written.
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

// settleTask records the outcome of a claim. It retries while the store is unavailable.
type settleTask struct {
	service *Service
	claim   wigeonshift.Claim
	log     logrus.FieldLogger
	done    chan struct{}
}

// settleClaim starts a settleTask and waits for it for up to SettleWait, so that a repeated request soon after the
// answer finds the recorded outcome.
func (h *requestHandler) settleClaim(c wigeonshift.Claim) {
	if c.State == wigeonshift.ClaimDone {
		a := h.currentRun.answer
		c.Status, c.ContentType, c.Body = a.Status, a.ContentType, a.Body
	}
	s := &settleTask{service: h.service, claim: c, log: h.logger(), done: make(chan struct{})}
	h.service.startBackground(s.run)
	t := time.NewTimer(h.service.settings.SettleWait)
	defer t.Stop()
	select {
	case <-s.done:
	case <-t.C:
		h.service.counters.add("entrySettlesLate", "", 1)
	}
}

func (s *settleTask) run() {
	defer s.service.taskDone(&s.service.backgroundTasks)
	defer close(s.done)
	_, err := backoff.Retry(s.service.baseCtx, s.settleOnce,
		backoff.WithBackOff(s.service.backOff()),
		backoff.WithMaxElapsedTime(s.service.settings.SettleTimeout))
	if err != nil {
		s.service.counters.add("entrySettleFailures", "", 1)
		s.log.WithError(err).Error("failed to record the outcome of a claim")
	}
}

func (s *settleTask) settleOnce() (struct{}, error) {
	ctx, cancel := context.WithTimeout(s.service.baseCtx, s.service.settings.ControlTimeout)
	defer cancel()
	return struct{}{}, s.service.claims.Settle(ctx, s.claim)
}
