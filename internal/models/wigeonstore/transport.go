// Package wigeonstore is the client of the platform's services: the HTTP transport, and a guard that gives calls
// deadlines, budgets, circuit breakers and backoff.
package wigeonstore

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"wigeonshift"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"
)

// Bounds of the transport.
const (
	// MaxResponseBytes bounds an answer of the platform.
	MaxResponseBytes = 64 << 20
	// maxIdleConnection is shorter than the platform's own idle timeout, so that a call rarely meets a closing connection.
	maxIdleConnection = 15 * time.Second
	maxConnections    = 64
	// transportTimeout ends calls whose context has no deadline.
	transportTimeout = 10 * time.Second
)

// Transport speaks the platform's HTTP protocol. It implements wigeonshift.Platform without retries.
type Transport struct {
	base   string
	client *fasthttp.Client
	tls    *tls.Config
	dial   fasthttp.DialFunc
}

// TransportOption changes a transport at construction.
type TransportOption func(*Transport)

// WithTLS sets the TLS configuration of https addresses.
func WithTLS(t *tls.Config) TransportOption {
	return func(tr *Transport) { tr.tls = t }
}

// WithDial replaces the way connections are made.
func WithDial(dial func(address string) (net.Conn, error)) TransportOption {
	return func(t *Transport) { t.dial = dial }
}

// NewTransport returns a transport to a base URL such as http://10.0.0.1:7400.
func NewTransport(base string, opts ...TransportOption) *Transport {
	t := &Transport{
		client: &fasthttp.Client{
			Name:                      "wigeonshift",
			MaxConnsPerHost:           maxConnections,
			MaxIdleConnDuration:       maxIdleConnection,
			MaxResponseBodySize:       MaxResponseBytes,
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
		// The handshake belongs to the dial, so that its failure proves that nothing was sent.
		base = "http://" + withPort(host, "443")
		t.dial = handshake(t.dial, t.tls)
	}
	t.base = base
	t.client.Dial = markDial(t.dial)
	return t
}

// call is one HTTP call of the platform.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// write is set when the call may change something.
	write bool
}

// do sends a call and returns the body of a success.
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
	if err := t.client.DoDeadline(req, resp, deadline); err != nil {
		if !errors.Is(err, errDial) {
			// A connection that went silent is rarely alone: later calls dial anew instead of trying each idle one.
			t.client.CloseIdleConnections()
		}
		return nil, oops.In("store").With("path", c.path).Wrap(errors.Join(callError(c, err), err))
	}
	if resp.StatusCode() < 300 {
		return append([]byte(nil), resp.Body()...), nil
	}
	return nil, oops.In("store").With("path", c.path, "status", resp.StatusCode()).Wrap(answerError(c, resp))
}

// callError returns the sentinel for a call without an answer.
func callError(c call, err error) error {
	if !c.write || errors.Is(err, errDial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return wigeonshift.ErrUnavailable
	}
	return wigeonshift.ErrOutcomeUnknown
}

// Reasons in the error bodies of the platform.
const (
	reasonNotFound        = "notFound"
	reasonConditionFailed = "conditionFailed"
	reasonUnavailable     = "unavailable"
	reasonThrottled       = "throttled"
	reasonBadRequest      = "badRequest"
)

// ErrRejected reports a call that the platform refused as malformed; it had no effect.
var ErrRejected = errors.New("call rejected by the platform")

// answerError returns the sentinel for an answer that is not a success. Only the platform's own reason proves that
// a write had no effect: a bare status may come from something between the two ends.
func answerError(c call, resp *fasthttp.Response) error {
	var body struct {
		Reason  string `json:"reason"`
		Message string `json:"message"`
	}
	if err := json.Unmarshal(resp.Body(), &body); err != nil {
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

// decode reads an answer. A body that can't be read leaves a write's outcome unknown.
func decode[T any](c call, body []byte, err error) (T, error) {
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
