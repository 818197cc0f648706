package wigeonendpoint

import (
	"context"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonprotocol"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"
)

// Call runs one call of a plain service. It returns the response whatever its status is. The only exception is a refusal
// with proof that the request did not run, which is returned as ErrNotRun.
func (c *Client) Call(
	ctx context.Context, call wigeonshift.ServiceCall, onStart func(),
) (wigeonshift.ServiceAnswer, error) {
	request := c.newRequest(call.Method, call.Path, call.Token)
	defer fasthttp.ReleaseRequest(request)
	if call.ContentType != "" {
		request.Header.SetContentType(call.ContentType)
	}
	request.SetBodyRaw(call.Body)
	maxIdle := c.options.idleTimeout
	if call.NonIdempotent {
		maxIdle = c.options.maxNonIdempotentIdle
	}
	x, err := c.do(ctx, request, exchangeOptions{onStart: onStart, ioTimeout: c.options.callTimeout, maxIdle: maxIdle})
	if err != nil {
		return wigeonshift.ServiceAnswer{}, c.countError(err)
	}
	defer x.close(true)
	if string(x.response.Header.Peek(wigeonprotocol.HeaderAttempt)) != string(call.Token) {
		return wigeonshift.ServiceAnswer{}, c.countError(oops.In("endpoint").Wrap(wigeonshift.ErrAnswerMismatch))
	}
	if x.provesNotRun() {
		return wigeonshift.ServiceAnswer{}, c.countError(oops.In("endpoint").Wrap(wigeonshift.ErrNotRun))
	}
	return wigeonshift.ServiceAnswer{
		Token:       call.Token,
		Status:      x.response.StatusCode(),
		ContentType: string(x.response.Header.ContentType()),
		Body:        append([]byte(nil), x.response.Body()...),
	}, nil
}
