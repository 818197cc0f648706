package wigeonentry

import (
	"context"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonscheduler"
)

// pauseTask asks an engine to pause a stream.
type pauseTask struct {
	handler *requestHandler
	run     *attemptRun
}

// startPause starts a pauseTask for the current run, if it is still the run that the reducer wants to pause.
func (h *requestHandler) startPause(e wigeonscheduler.PauseStream) {
	p := &pauseTask{handler: h, run: h.currentRun}
	if p.run == nil || p.run.number != e.Run {
		return
	}
	h.service.tasks.Go(p.runPause)
}

// runPause sends the pause request. It posts PauseFailed on an error, unless the run was cancelled.
func (p *pauseTask) runPause() {
	ctx, cancel := context.WithTimeout(p.run.ctx, p.handler.service.settings.ControlTimeout)
	defer cancel()
	err := p.handler.service.dialer.Endpoint(p.run.permit.Address).Pause(ctx, p.run.permit.Token)
	if err == nil || p.run.ctx.Err() != nil {
		return
	}
	p.handler.logger().WithError(err).WithField("endpoint", p.run.permit.Endpoint).Warn("failed to pause stream")
	p.run.postEvent(wigeonscheduler.PauseFailed{Request: p.handler.permitRequest.ID, Run: p.run.number})
}

// cancelTask asks an engine to drop a stream.
type cancelTask struct {
	service *Service
	permit  wigeonshift.Permit
}

// cancelStream cancels the current run at once. For a model engine it also starts a cancelTask, so that the engine drops
// the stream. Plain services have no cancel call.
func (h *requestHandler) cancelStream(p wigeonshift.Permit) {
	h.setCurrentRun(nil)
	if h.request.Generate == nil {
		return
	}
	c := &cancelTask{service: h.service, permit: p}
	h.service.startBackground(c.run)
}

func (c *cancelTask) run() {
	defer c.service.taskDone(&c.service.backgroundTasks)
	ctx, cancel := context.WithTimeout(c.service.baseCtx, c.service.settings.ControlTimeout)
	defer cancel()
	if err := c.service.dialer.Endpoint(c.permit.Address).Cancel(ctx, c.permit.Token); err != nil {
		c.service.counters.add("entryCancelFailures", "", 1)
	}
}
