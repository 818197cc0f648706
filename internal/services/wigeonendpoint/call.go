package wigeonendpoint

import (
	"context"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonprotocol"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"
)

// Call runs one call of a plain service. Every status is an answer, except a refusal with proof of not-run.
func (c *Client) Call(
	ctx context.Context, call wigeonshift.ServiceCall, onStart func(),
) (wigeonshift.ServiceAnswer, error) {
	request := c.newRequest(call.Method, call.Path, call.Token)
	defer fasthttp.ReleaseRequest(request)
	if call.ContentType != "" {
		request.Header.SetContentType(call.ContentType)
	}
	request.SetBodyRaw(call.Body)
	maxIdle := c.set.idle
	if call.NonIdempotent {
		maxIdle = c.set.fresh
	}
	x, err := c.do(ctx, request, exchangeOptions{onStart: onStart, timeout: c.set.call, maxIdle: maxIdle})
	if err != nil {
		return wigeonshift.ServiceAnswer{}, c.count(err)
	}
	defer x.close(true)
	if string(x.response.Header.Peek(wigeonprotocol.HeaderAttempt)) != string(call.Token) {
		return wigeonshift.ServiceAnswer{}, c.count(oops.In("endpoint").Wrap(wigeonshift.ErrAnswerMismatch))
	}
	if x.provesNotRun() {
		return wigeonshift.ServiceAnswer{}, c.count(oops.In("endpoint").Wrap(wigeonshift.ErrNotRun))
	}
	return wigeonshift.ServiceAnswer{
		Token:       call.Token,
		Status:      x.response.StatusCode(),
		ContentType: string(x.response.Header.ContentType()),
		Body:        append([]byte(nil), x.response.Body()...),
	}, nil
}
