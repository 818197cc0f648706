package wigeonentry

import (
	"context"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonscheduler"
)

// pauser asks an engine to pause a stream.
type pauser struct {
	flight *flight
	run    *run
}

// pause starts to pause the current run.
func (f *flight) pause(e wigeonscheduler.PauseStream) {
	p := &pauser{flight: f, run: f.current}
	if p.run == nil || p.run.number != e.Run {
		return
	}
	f.service.tasks.Go(p.runPause)
}

func (p *pauser) runPause() {
	ctx, cancel := context.WithTimeout(p.run.ctx, p.flight.service.settings.ControlTimeout)
	defer cancel()
	err := p.flight.service.dialer.Endpoint(p.run.permit.Address).Pause(ctx, p.run.permit.Token)
	if err == nil || p.run.ctx.Err() != nil {
		return
	}
	p.flight.logger().WithError(err).WithField("endpoint", p.run.permit.Endpoint).Warn("pause failed")
	p.run.post(wigeonscheduler.PauseFailed{Request: p.flight.ask.ID, Run: p.run.number})
}

// canceller tells an engine to drop a stream.
type canceller struct {
	service *Service
	permit  wigeonshift.Permit
}

// cancelStream leaves the current run at once and tells a model engine in the background.
func (f *flight) cancelStream(p wigeonshift.Permit) {
	f.setCurrent(nil)
	if f.request.Generate == nil {
		return
	}
	c := &canceller{service: f.service, permit: p}
	f.service.inBackground(c.run)
}

func (c *canceller) run() {
	defer c.service.finished(&c.service.background)
	ctx, cancel := context.WithTimeout(c.service.running, c.service.settings.ControlTimeout)
	defer cancel()
	if err := c.service.dialer.Endpoint(c.permit.Address).Cancel(ctx, c.permit.Token); err != nil {
		c.service.counters.add("entryCancelFailures", "", 1)
	}
}
