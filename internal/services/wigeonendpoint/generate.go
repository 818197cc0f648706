package wigeonendpoint

import (
	"context"
	"encoding/json"
	"strconv"

	"wigeonshift"

	"github.com/valyala/fasthttp"
)

// Generate runs a completion and passes its chunks to sink in order.
func (c *Client) Generate(
	ctx context.Context, r wigeonshift.GenerateRequest, onStart func(), sink func(wigeonshift.Chunk) error,
) (wigeonshift.GenerateResult, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return wigeonshift.GenerateResult{}, c.countError(wrapNotRun(err))
	}
	request := c.newRequest(fasthttp.MethodPost, "/v1/generate", r.Token)
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetContentType("application/json")
	request.SetBodyRaw(body)
	return c.stream(ctx, request, onStart, &frameReader{token: r.Token, sink: sink})
}

// Resume continues a paused or broken stream from a token offset on the same engine. It opens a new connection if a
// timeout has closed the idle ones.
func (c *Client) Resume(
	ctx context.Context, token wigeonshift.AttemptToken, offset int, sink func(wigeonshift.Chunk) error,
) (wigeonshift.GenerateResult, error) {
	path := pathStream + "?offset=" + strconv.Itoa(offset)
	request := c.newRequest(fasthttp.MethodGet, path, token)
	defer fasthttp.ReleaseRequest(request)
	return c.stream(ctx, request, nil, &frameReader{token: token, sink: sink, offset: offset})
}

// stream sends a request for a stream and reads its frames.
func (c *Client) stream(
	ctx context.Context, request *fasthttp.Request, onStart func(), f *frameReader,
) (wigeonshift.GenerateResult, error) {
	x, err := c.do(ctx, request, exchangeOptions{
		onStart: onStart, ioTimeout: c.options.firstTokenTimeout, maxIdle: c.options.idleTimeout, streamBody: true,
	})
	if err != nil {
		return wigeonshift.GenerateResult{}, c.countError(err)
	}
	if x.response.StatusCode() != fasthttp.StatusOK {
		return wigeonshift.GenerateResult{}, c.countError(x.readErrorResponse(ctx, f.token))
	}
	err = f.readStream(x)
	if f.sinkErr != nil {
		x.close(false)
		if ctx.Err() == nil {
			// If the context has ended, the caller may resume the stream in another call, so the engine keeps its state.
			c.cancelBestEffort(ctx, f.token)
		}
		return wigeonshift.GenerateResult{}, f.sinkErr
	}
	if err != nil {
		return wigeonshift.GenerateResult{}, c.countError(x.fail(ctx, err))
	}
	x.close(f.bodyEnded)
	return f.result, nil
}

// readErrorResponse ends an exchange whose response is not a stream, and returns the error that the response reports.
func (x *exchange) readErrorResponse(ctx context.Context, token wigeonshift.AttemptToken) error {
	body, err := readErrorBody(x.response.BodyStream())
	if err != nil {
		return x.fail(ctx, err)
	}
	_ = x.response.CloseBodyStream()
	x.response.SetBody(body)
	err = x.checkResponse(token)
	x.close(true)
	if err == nil {
		err = wigeonshift.ErrEndpointFailed
	}
	return err
}

// cancelBestEffort makes the engine drop the state of a stream that is no longer needed. It ignores errors, because the
// engine drops the state itself after its retention time.
func (c *Client) cancelBestEffort(ctx context.Context, token wigeonshift.AttemptToken) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.options.controlTimeout)
	defer cancel()
	_ = c.Cancel(ctx, token)
}
