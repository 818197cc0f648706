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

// pathStream names the stream of the attempt in the header; tokens may hold any printable characters.
const pathStream = "/v1/stream"

// Client is the client of one endpoint.
type Client struct {
	address string
	set     *settings
	host    *fasthttp.HostClient
}

var _ wigeonshift.Endpoint = (*Client)(nil)

// Pause stops a stream at a token boundary and keeps its state.
func (c *Client) Pause(ctx context.Context, token wigeonshift.AttemptToken) error {
	_, err := c.control(ctx, fasthttp.MethodPost, pathStream+"/pause", token, nil)
	return err
}

// Cancel ends a stream and drops its state. A stream that the engine doesn't know is no error.
func (c *Client) Cancel(ctx context.Context, token wigeonshift.AttemptToken) error {
	_, err := c.control(ctx, fasthttp.MethodDelete, pathStream, token, nil)
	if errors.Is(err, errUnknownStream) {
		return nil
	}
	return err
}

// ExportKV returns the state of a paused stream.
func (c *Client) ExportKV(ctx context.Context, token wigeonshift.AttemptToken) ([]byte, error) {
	return c.control(ctx, fasthttp.MethodGet, pathStream+"/kv", token, nil)
}

// ImportKV installs the state of a stream that another engine exported, under a token of its own.
func (c *Client) ImportKV(ctx context.Context, token wigeonshift.AttemptToken, state []byte) error {
	_, err := c.control(ctx, fasthttp.MethodPut, pathStream+"/kv", token, state)
	return err
}

// Load returns the engine's load report.
func (c *Client) Load(ctx context.Context) (wigeonshift.LoadReport, error) {
	var report wigeonshift.LoadReport
	err := c.get(ctx, "/v1/load", &report)
	return report, err
}

// CacheEvents returns events after a sequence number, possibly late and with gaps.
func (c *Client) CacheEvents(ctx context.Context, after uint64) (wigeonshift.CacheBatch, error) {
	var batch wigeonshift.CacheBatch
	err := c.get(ctx, "/v1/cache/events?after="+strconv.FormatUint(after, 10), &batch)
	return batch, err
}

// SendOrder gives an order; ErrStaleFence reports a fencing number that is too old.
func (c *Client) SendOrder(ctx context.Context, o wigeonshift.Order) error {
	document, err := json.Marshal(o)
	if err != nil {
		return notRun(err)
	}
	_, err = c.control(ctx, fasthttp.MethodPost, "/v1/orders", "", document)
	return err
}

// get reads a JSON document.
func (c *Client) get(ctx context.Context, path string, document any) error {
	body, err := c.control(ctx, fasthttp.MethodGet, path, "", nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, document); err != nil {
		return class(wigeonshift.ErrEndpointFailed, err)
	}
	return nil
}

// control runs one small call and returns the body of a good answer.
func (c *Client) control(
	ctx context.Context, method, path string, token wigeonshift.AttemptToken, body []byte,
) ([]byte, error) {
	request := c.newRequest(method, path, token)
	defer fasthttp.ReleaseRequest(request)
	if body != nil {
		request.SetBodyRaw(body)
	}
	x, err := c.do(ctx, request, exchangeOptions{timeout: c.set.control, maxIdle: c.set.idle})
	if err != nil {
		return nil, c.count(err)
	}
	defer x.close(true)
	if err := x.check(token); err != nil {
		return nil, c.count(err)
	}
	return append([]byte(nil), x.response.Body()...), nil
}

// newRequest returns a request to the endpoint; the caller releases it.
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

// errUnknownStream reports that an engine has no state under a token.
var errUnknownStream = errors.New("unknown stream")

// check returns the error that an engine's answer stands for. The body must have been read.
func (x *exchange) check(token wigeonshift.AttemptToken) error {
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

// provesNotRun reports whether the answer says that its request did not begin.
func (x *exchange) provesNotRun() bool {
	return string(x.response.Header.Peek(wigeonprotocol.HeaderRunState)) == string(wigeonshift.NotRun)
}

// classNames are the counter's reasons.
var classNames = []struct {
	sentinel error
	name     string
}{
	{wigeonshift.ErrNotRun, "notRun"},
	{wigeonshift.ErrEndpointLost, "endpointLost"},
	{wigeonshift.ErrAnswerMismatch, "answerMismatch"},
	{wigeonshift.ErrProgressTimeout, "progressTimeout"},
	{wigeonshift.ErrEndpointFailed, "endpointFailed"},
	{wigeonshift.ErrStaleFence, "staleFence"},
	{wigeonshift.ErrUnsupported, "unsupported"},
}

// count books an error under its class.
func (c *Client) count(err error) error {
	for _, class := range classNames {
		if errors.Is(err, class.sentinel) {
			c.set.scope.Tagged(map[string]string{"reason": class.name}).Counter("endpointErrors").Inc(1)
			break
		}
	}
	return err
}
