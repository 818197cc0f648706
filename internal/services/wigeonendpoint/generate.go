package wigeonendpoint

import (
	"context"
	"encoding/json"
	"strconv"

	"wigeonshift"

	"github.com/valyala/fasthttp"
)

// Generate runs a completion and hands its chunks to sink in order.
func (c *Client) Generate(
	ctx context.Context, r wigeonshift.GenerateRequest, onStart func(), sink func(wigeonshift.Chunk) error,
) (wigeonshift.GenerateResult, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return wigeonshift.GenerateResult{}, c.count(notRun(err))
	}
	request := c.newRequest(fasthttp.MethodPost, "/v1/generate", r.Token)
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetContentType("application/json")
	request.SetBodyRaw(body)
	return c.follow(ctx, request, onStart, &frames{token: r.Token, sink: sink})
}

// Resume continues a paused or broken stream from a token offset on the same engine, over a new connection if the
// others may have gone silent.
func (c *Client) Resume(
	ctx context.Context, token wigeonshift.AttemptToken, offset int, sink func(wigeonshift.Chunk) error,
) (wigeonshift.GenerateResult, error) {
	path := pathStream + "?offset=" + strconv.Itoa(offset)
	request := c.newRequest(fasthttp.MethodGet, path, token)
	defer fasthttp.ReleaseRequest(request)
	return c.follow(ctx, request, nil, &frames{token: token, sink: sink, offset: offset})
}

// follow sends a request for a stream and reads its frames.
func (c *Client) follow(
	ctx context.Context, request *fasthttp.Request, onStart func(), f *frames,
) (wigeonshift.GenerateResult, error) {
	x, err := c.do(ctx, request, exchangeOptions{
		onStart: onStart, timeout: c.set.firstToken, maxIdle: c.set.idle, stream: true,
	})
	if err != nil {
		return wigeonshift.GenerateResult{}, c.count(err)
	}
	if x.response.StatusCode() != fasthttp.StatusOK {
		return wigeonshift.GenerateResult{}, c.count(x.refused(ctx, f.token))
	}
	err = f.read(x)
	if f.sinkErr != nil {
		x.close(false)
		if ctx.Err() == nil {
			// After the end of its context the caller may resume the stream elsewhere, so its state stays.
			c.cancelQuietly(ctx, f.token)
		}
		return wigeonshift.GenerateResult{}, f.sinkErr
	}
	if err != nil {
		return wigeonshift.GenerateResult{}, c.count(x.fail(ctx, err))
	}
	x.close(f.ended)
	return f.result, nil
}

// refused ends an exchange whose answer is not a stream.
func (x *exchange) refused(ctx context.Context, token wigeonshift.AttemptToken) error {
	body, err := readSmall(x.response.BodyStream())
	if err != nil {
		return x.fail(ctx, err)
	}
	_ = x.response.CloseBodyStream()
	x.response.SetBody(body)
	err = x.check(token)
	x.close(true)
	if err == nil {
		err = wigeonshift.ErrEndpointFailed
	}
	return err
}

// cancelQuietly drops the state of a stream that nobody wants any more; the engine's own retention is the backstop.
func (c *Client) cancelQuietly(ctx context.Context, token wigeonshift.AttemptToken) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.set.control)
	defer cancel()
	_ = c.Cancel(ctx, token)
}
