package wigeonrelay

import (
	"context"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonclock"
	"wigeonshift/internal/services/wigeondispatch"

	"github.com/sirupsen/logrus"
)

// processCheckContext returns the context of the check of a process. That of a hedge ends with it, because the caller's answer may wait
// for the end of the hedge.
func (c *call) processCheckContext() context.Context {
	if c.isHedge {
		return c.ctx
	}
	return context.Background()
}

// maxCloseDelay is the longest time in which an endpoint that has written the last bytes of a body closes its connection.
const maxCloseDelay = 2 * time.Millisecond

// endedWithProcess reports whether a body that has ended with its connection is to be taken for broken off, because the process at the
// other end has ended. Its kernel then closes its connections in order, so that the body looks complete. It doesn't matter whether the
// endpoint is in service: one that leaves may be killed while it still answers. The end of the call doesn't end the check.
func (t *responseContent) endedWithProcess() bool {
	c := t.call
	use := c.service.dispatcher.processUse(c.job.ID, c.isHedge)
	ctx := c.processCheckContext()
	wigeonclock.Sleep(ctx, endpointCheckDelay)
	liveness := c.service.pool.Check(ctx, c.target)
	brokenOff := t.isBrokenOff(use, liveness)
	c.service.log.WithFields(t.logFields()).WithFields(logrus.Fields{
		"request": c.header.RequestID, "endpoint": c.target.ID, "liveness": liveness.String(), "serves": use.Serves, "others": use.Others,
		"endDelayMicros": t.response.EndDelay().Microseconds(), "events": t.tracker.Events, "brokenOff": brokenOff,
	}).Info("body ended with its connection")
	return brokenOff
}

// isBrokenOff decides whether a body that has ended with its connection is broken off. A process that serves isn't meant to end. One
// that leaves ends after its last answer: it has ended too early if it ran other requests as well, or if it hadn't ended this answer
// itself. See docs/decisions/endpoint-process.md.
func (t *responseContent) isBrokenOff(use wigeondispatch.ProcessUse, liveness wigeonshift.Liveness) bool {
	switch {
	case liveness == wigeonshift.LivenessRunning, use.Serves && liveness == wigeonshift.LivenessUnknown:
		return false
	case t.hasAllTokens(use.EventTokens):
		return false
	case use.Serves:
		return true
	default:
		return use.Others > 0 || t.response.EndDelay() > maxCloseDelay
	}
}

// hasAllTokens reports whether an event stream has as many tokens as its request allows, so that nothing can follow.
func (t *responseContent) hasAllTokens(eventTokens int) bool {
	j := t.call.job
	return t.isEvents() && j.AnswerTokens > 0 && t.tracker.Events*eventTokens >= j.AnswerTokens
}
