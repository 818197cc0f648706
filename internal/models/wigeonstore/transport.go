// Package wigeonstore is the client of the platform's services. It consists of an HTTP transport and a Guard, which adds
// deadlines, rate limits, circuit breakers and retries with backoff.
package wigeonstore

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonframing"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"
)

// Limits of the transport.
const (
	// MaxResponseBytes is the maximum size of a response body.
	MaxResponseBytes = 64 << 20
	// maxConnectionIdle is shorter than the platform's idle timeout, so that a call rarely uses a connection that the
	// platform is closing.
	maxConnectionIdle = 15 * time.Second
	maxConnections    = 64
	// transportTimeout is the timeout of calls whose context has no deadline.
	transportTimeout = 10 * time.Second
)

// Transport is a client of the platform's HTTP API. It implements wigeonshift.Platform without retries.
type Transport struct {
	base   string
	client *fasthttp.Client
	tls    *tls.Config
	dial   fasthttp.DialFunc
}

// TransportOption configures a Transport.
type TransportOption func(*Transport)

// WithTLS sets the TLS configuration for https URLs.
func WithTLS(t *tls.Config) TransportOption {
	return func(tr *Transport) { tr.tls = t }
}

// WithDial replaces the function that dials connections.
func WithDial(dial func(address string) (net.Conn, error)) TransportOption {
	return func(t *Transport) { t.dial = dial }
}

// NewTransport returns a transport for a base URL such as http://10.0.0.1:7400.
func NewTransport(base string, opts ...TransportOption) *Transport {
	t := &Transport{
		client: &fasthttp.Client{
			Name:                      "wigeonshift",
			MaxConnsPerHost:           maxConnections,
			MaxIdleConnDuration:       maxConnectionIdle,
			StreamResponseBody:        true,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
				return false, false
			},
		},
		dial: func(address string) (net.Conn, error) { return fasthttp.DialTimeout(address, dialTimeout) },
	}
	for _, o := range opts {
		o(t)
	}
	host, secure := strings.CutPrefix(base, "https://")
	if secure {
		// The TLS handshake is part of the dial, so that a failed handshake proves that nothing was sent.
		base = "http://" + withDefaultPort(host, "443")
		t.dial = dialTLS(t.dial, t.tls)
	}
	t.base = base
	t.client.Dial = wrapDial(t.dial)
	return t
}

// call is one HTTP request to the platform.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// write is true if the call may modify state.
	write bool
}

// do sends a call and returns the body of a successful response.
func (t *Transport) do(ctx context.Context, c call) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, oops.In("store").With("path", c.path).Wrap(errors.Join(wigeonshift.ErrUnavailable, err))
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(t.base + c.path + "?" + c.query.Encode())
	req.Header.SetMethod(c.method)
	if c.body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(c.body)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(transportTimeout)
	}
	err := t.client.DoDeadline(req, resp, deadline)
	var body []byte
	if err == nil {
		body, err = readBody(resp)
	}
	if err != nil {
		if !errors.Is(err, errDial) {
			// If one connection has become unresponsive, the other idle ones probably have too. Closing them makes
			// later calls dial a new connection instead of trying each idle one.
			t.client.CloseIdleConnections()
		}
		return nil, oops.In("store").With("path", c.path).Wrap(errors.Join(transportError(c, err), err))
	}
	if resp.StatusCode() < 300 {
		return body, nil
	}
	return nil, oops.In("store").With("path", c.path, "status", resp.StatusCode()).Wrap(responseError(c, body))
}

// Errors of response bodies.
var (
	errUnframedBody = errors.New("response body has neither a length nor chunks, so it may be truncated")
	errBodyTooLarge = errors.New("response body exceeds the limit")
)

// readBody reads the body of a response, which must have a length or chunks: an object is raw bytes, so nothing else would
// show that it was truncated.
func readBody(resp *fasthttp.Response) ([]byte, error) {
	if !wigeonframing.HasBody(resp) {
		return nil, nil
	}
	body, err := []byte(nil), errUnframedBody
	if wigeonframing.FramingOf(resp) != wigeonframing.Connection {
		body, err = io.ReadAll(io.LimitReader(resp.BodyStream(), MaxResponseBytes+1))
	}
	if err == nil && len(body) > MaxResponseBytes {
		err = errBodyTooLarge
	}
	if err != nil {
		// The connection can't be reused: the rest of the body would be taken for the next response.
		resp.SetConnectionClose()
	}
	return body, errors.Join(err, resp.CloseBodyStream())
}

// transportError returns the sentinel error for a call that got no response.
func transportError(c call, err error) error {
	if !c.write || errors.Is(err, errDial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return wigeonshift.ErrUnavailable
	}
	return wigeonshift.ErrOutcomeUnknown
}

// Reasons in the error bodies of the platform's API.
const (
	reasonNotFound        = "notFound"
	reasonConditionFailed = "conditionFailed"
	reasonUnavailable     = "unavailable"
	reasonThrottled       = "throttled"
	reasonBadRequest      = "badRequest"
)

// ErrRejected reports a call that the platform rejected as malformed. The call had no effect.
var ErrRejected = errors.New("call rejected by the platform")

// responseError returns the sentinel error for an error response. Only a reason in the body proves that a write had no
// effect, because a status code alone may come from a proxy in between.
func responseError(c call, text []byte) error {
	var body struct {
		Reason  string `json:"reason"`
		Message string `json:"message"`
	}
	if err := json.Unmarshal(text, &body); err != nil {
		body.Reason = ""
	}
	switch body.Reason {
	case reasonNotFound:
		return wigeonshift.ErrNotFound
	case reasonConditionFailed:
		return wigeonshift.ErrConditionFailed
	case reasonThrottled:
		return wigeonshift.ErrThrottled
	case reasonUnavailable:
		return wigeonshift.ErrUnavailable
	case reasonBadRequest:
		return errors.Join(ErrRejected, errors.New(body.Message))
	}
	if c.write {
		return wigeonshift.ErrOutcomeUnknown
	}
	return wigeonshift.ErrUnavailable
}

// decodeResponse decodes the body of a successful response. If the body of a write cannot be decoded, its outcome is
// unknown.
func decodeResponse[T any](c call, body []byte, err error) (T, error) {
	var v T
	if err != nil {
		return v, err
	}
	if err := json.Unmarshal(body, &v); err != nil {
		sentinel := wigeonshift.ErrUnavailable
		if c.write {
			sentinel = wigeonshift.ErrOutcomeUnknown
		}
		return v, oops.In("store").With("path", c.path).Wrap(errors.Join(sentinel, err))
	}
	return v, nil
}

func listQuery(prefix, after string, limit int) url.Values {
	return url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
}
