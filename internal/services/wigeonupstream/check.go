package wigeonupstream

import (
	"context"
	"errors"
	"syscall"

	"wigeonshift"
)

// Probe opens a new connection to an endpoint, which goes to the pool for the next request.
func (p *Pool) Probe(ctx context.Context, t Target) error {
	ctx, cancel := context.WithTimeout(ctx, p.dialTimeout)
	defer cancel()
	raw, err := p.dial(ctx, t.Address)
	if err != nil {
		return wrapError(ErrNotSent, t, err)
	}
	c := newConnection(raw, t)
	c.markIdle(0)
	p.addIdle(c)
	return nil
}

// Check reports whether the process of an endpoint still runs. An idle connection that the endpoint holds open shows
// that it does. Without one, Check dials: a process that has ended refuses connections, while one that only closed some
// connections accepts them. The connection goes back to the pool for the next request.
func (p *Pool) Check(ctx context.Context, t Target) wigeonshift.Liveness {
	c, err := p.acquire(ctx, t)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return wigeonshift.LivenessEnded
	}
	if err != nil {
		return wigeonshift.LivenessUnknown
	}
	if c.idleUntil.IsZero() {
		c.markIdle(0)
	}
	p.addIdle(c)
	return wigeonshift.LivenessRunning
}
