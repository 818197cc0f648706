package wigeonendpoint

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonprotocol"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"
)

// pathStream is the path of the stream whose attempt token is in the request header. The token is not part of the path,
// because it may contain any printable character.
const pathStream = "/v1/stream"

// Client is the client of one endpoint.
type Client struct {
	address    string
	options    *settings
	hostClient *fasthttp.HostClient
}

var _ wigeonshift.Endpoint = (*Client)(nil)

// Pause stops a stream at a token boundary. The engine keeps its state.
func (c *Client) Pause(ctx context.Context, token wigeonshift.AttemptToken) error {
	_, err := c.sendControl(ctx, fasthttp.MethodPost, pathStream+"/pause", token, nil)
	return err
}

// Cancel ends a stream and makes the engine drop its state. An unknown stream is not an error.
func (c *Client) Cancel(ctx context.Context, token wigeonshift.AttemptToken) error {
	_, err := c.sendControl(ctx, fasthttp.MethodDelete, pathStream, token, nil)
	if errors.Is(err, errUnknownStream) {
		return nil
	}
	return err
}

// ExportKV returns the state of a paused stream.
func (c *Client) ExportKV(ctx context.Context, token wigeonshift.AttemptToken) ([]byte, error) {
	return c.sendControl(ctx, fasthttp.MethodGet, pathStream+"/kv", token, nil)
}

// ImportKV installs the state of a stream that was exported from another engine, under a new token.
func (c *Client) ImportKV(ctx context.Context, token wigeonshift.AttemptToken, state []byte) error {
	_, err := c.sendControl(ctx, fasthttp.MethodPut, pathStream+"/kv", token, state)
	return err
}

// Load returns the engine's load report.
func (c *Client) Load(ctx context.Context) (wigeonshift.LoadReport, error) {
	var report wigeonshift.LoadReport
	err := c.getJSON(ctx, "/v1/load", &report)
	return report, err
}

// CacheEvents returns the cache events after a sequence number. Events may be late or missing.
func (c *Client) CacheEvents(ctx context.Context, after uint64) (wigeonshift.CacheBatch, error) {
	var batch wigeonshift.CacheBatch
	err := c.getJSON(ctx, "/v1/cache/events?after="+strconv.FormatUint(after, 10), &batch)
	return batch, err
}

// SendOrder sends an order to the engine. It returns ErrStaleFence if the order's fencing number is too old.
func (c *Client) SendOrder(ctx context.Context, o wigeonshift.Order) error {
	document, err := json.Marshal(o)
	if err != nil {
		return wrapNotRun(err)
	}
	_, err = c.sendControl(ctx, fasthttp.MethodPost, "/v1/orders", "", document)
	return err
}

// getJSON reads a JSON document.
func (c *Client) getJSON(ctx context.Context, path string, document any) error {
	body, err := c.sendControl(ctx, fasthttp.MethodGet, path, "", nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, document); err != nil {
		return wrapSentinel(wigeonshift.ErrEndpointFailed, err)
	}
	return nil
}

// sendControl runs one control call and returns the body of a successful response.
func (c *Client) sendControl(
	ctx context.Context, method, path string, token wigeonshift.AttemptToken, body []byte,
) ([]byte, error) {
	request := c.newRequest(method, path, token)
	defer fasthttp.ReleaseRequest(request)
	if body != nil {
		request.SetBodyRaw(body)
	}
	x, err := c.do(ctx, request, exchangeOptions{ioTimeout: c.options.controlTimeout, maxIdle: c.options.idleTimeout})
	if err != nil {
		return nil, c.countError(err)
	}
	defer x.close(true)
	if err := x.checkResponse(token); err != nil {
		return nil, c.countError(err)
	}
	return append([]byte(nil), x.response.Body()...), nil
}

// newRequest returns a request to the endpoint. The caller must release it.
func (c *Client) newRequest(method, path string, token wigeonshift.AttemptToken) *fasthttp.Request {
	request := fasthttp.AcquireRequest()
	request.Header.SetMethod(method)
	request.Header.SetRequestURI(path)
	request.Header.SetHost(c.address)
	if token != "" {
		request.Header.Set(wigeonprotocol.HeaderAttempt, string(token))
	}
	return request
}

// errUnknownStream reports that an engine has no state for a token.
var errUnknownStream = errors.New("unknown stream")

// checkResponse returns the error that the response reports, or nil for success. The body must have been read.
func (x *exchange) checkResponse(token wigeonshift.AttemptToken) error {
	if token != "" && string(x.response.Header.Peek(wigeonprotocol.HeaderAttempt)) != string(token) {
		return oops.In("endpoint").Wrap(wigeonshift.ErrAnswerMismatch)
	}
	status := x.response.StatusCode()
	if status < fasthttp.StatusMultipleChoices {
		return nil
	}
	var f wigeonprotocol.Failure
	// A body that is not JSON leaves the reason empty.
	_ = json.Unmarshal(x.response.Body(), &f)
	builder := oops.In("endpoint").With("status", status, "reason", f.Reason)
	switch {
	case f.Reason == wigeonprotocol.ReasonStaleFence:
		return builder.Wrap(wigeonshift.ErrStaleFence)
	case f.Reason == wigeonprotocol.ReasonUnknownStream:
		return builder.Wrap(errors.Join(wigeonshift.ErrEndpointLost, errUnknownStream))
	case status == fasthttp.StatusNotImplemented || status == fasthttp.StatusMethodNotAllowed:
		return builder.Wrap(wigeonshift.ErrUnsupported)
	case x.provesNotRun():
		return builder.Wrap(wigeonshift.ErrNotRun)
	default:
		return builder.Wrapf(wigeonshift.ErrEndpointFailed, "status %d %s", status, f.Reason)
	}
}

// provesNotRun reports whether the response says that the request did not run.
func (x *exchange) provesNotRun() bool {
	return string(x.response.Header.Peek(wigeonprotocol.HeaderRunState)) == string(wigeonshift.NotRun)
}

// errorReasons maps endpoint sentinels to reasons of the endpointErrors counter.
var errorReasons = []struct {
	sentinel error
	reason   string
}{
	{wigeonshift.ErrNotRun, "notRun"},
	{wigeonshift.ErrEndpointLost, "endpointLost"},
	{wigeonshift.ErrAnswerMismatch, "answerMismatch"},
	{wigeonshift.ErrProgressTimeout, "progressTimeout"},
	{wigeonshift.ErrEndpointFailed, "endpointFailed"},
	{wigeonshift.ErrStaleFence, "staleFence"},
	{wigeonshift.ErrUnsupported, "unsupported"},
}

// countError counts an error under the reason of its sentinel and returns it unchanged.
func (c *Client) countError(err error) error {
	for _, r := range errorReasons {
		if errors.Is(err, r.sentinel) {
			c.options.scope.Tagged(map[string]string{"reason": r.reason}).Counter("endpointErrors").Inc(1)
			break
		}
	}
	return err
}
