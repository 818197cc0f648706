package wigeonoperator

import (
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"wigeonshift"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"
)

// Bounds of a client.
const (
	clientTimeout    = 20 * time.Second
	maxResponseBytes = 64 << 20
)

// ErrNotSent reports a call that no instance has received.
var ErrNotSent = errors.New("not sent")

// Client calls the operator API of an instance.
type Client struct {
	base string
	key  string
	http *fasthttp.Client
}

// ClientOption changes a client at construction.
type ClientOption func(*Client)

// WithTLS sets the TLS configuration of https addresses.
func WithTLS(t *tls.Config) ClientOption {
	return func(c *Client) { c.http.TLSConfig = t }
}

// NewClient returns a client of a base URL such as http://10.0.0.1:7200, with a key as name.secret.
func NewClient(base, key string, opts ...ClientOption) *Client {
	c := &Client{base: strings.TrimSuffix(base, "/"), key: key, http: &fasthttp.Client{
		Name: "wigeonshift", MaxResponseBodySize: maxResponseBytes, MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
	for _, o := range opts {
		o(c)
	}
	return c
}

// CallError is an error that the API answered.
type CallError struct {
	Status int
	Body   ErrorBody
}

// Error returns reason and message.
func (e *CallError) Error() string {
	return fmt.Sprintf("%s: %s", e.Body.Reason, e.Body.Message)
}

// Show returns the configuration in force on the instance, or the store's newest.
func (c *Client) Show(newest bool) (*wigeonshift.Configuration, error) {
	return callJSON[*wigeonshift.Configuration](c, "/configuration", url.Values{"newest": {strconv.FormatBool(newest)}}, nil)
}

// Snapshot returns the configuration of one version.
func (c *Client) Snapshot(version uint64) (*wigeonshift.Configuration, error) {
	return callJSON[*wigeonshift.Configuration](c, "/configuration/snapshot/"+number(version), nil, nil)
}

// Changes returns changes after a version, oldest first.
func (c *Client) Changes(after uint64, limit int) ([]ChangeBody, error) {
	query := url.Values{"after": {number(after)}, "limit": {strconv.Itoa(limit)}}
	answer, err := callJSON[ChangesBody](c, "/configuration/changes", query, nil)
	return answer.Changes, err
}

// Diff returns the merge patch from one version to another.
func (c *Client) Diff(from, to uint64) (json.RawMessage, error) {
	return callJSON[json.RawMessage](c, "/configuration/diff", url.Values{"from": {number(from)}, "to": {number(to)}}, nil)
}

// Patch submits a patch.
func (c *Client) Patch(p PatchBody) (AcceptedBody, error) {
	return callJSON[AcceptedBody](c, "/configuration/patches", nil, p)
}

// Rollback makes a new version with the content of an old one.
func (c *Client) Rollback(r RollbackBody) (AcceptedBody, error) {
	return callJSON[AcceptedBody](c, "/configuration/rollback", nil, r)
}

// Versions returns which version each live instance has in force.
func (c *Client) Versions() ([]VersionBody, error) {
	answer, err := callJSON[VersionsBody](c, "/versions", nil, nil)
	return answer.Versions, err
}

// Status returns the instance's state.
func (c *Client) Status() (wigeonshift.InstanceStatus, error) {
	return callJSON[wigeonshift.InstanceStatus](c, "/status", nil, nil)
}

func number(v uint64) string {
	return strconv.FormatUint(v, 10)
}

// callJSON posts a body, or gets without one, and decodes the answer.
func callJSON[T any](c *Client, path string, query url.Values, body any) (T, error) {
	var answer T
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.base + "/operator/v1" + path + "?" + query.Encode())
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.key)
	if body != nil {
		payload, err := json.Marshal(body)
		if err != nil {
			return answer, oops.In("operator").Wrap(err)
		}
		req.Header.SetMethod(fasthttp.MethodPost)
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(payload)
	}
	if err := c.http.DoTimeout(req, resp, clientTimeout); err != nil {
		var dial *fasthttp.ErrDialWithUpstream
		var untrusted *tls.CertificateVerificationError
		if errors.As(err, &dial) || errors.As(err, &untrusted) {
			err = errors.Join(ErrNotSent, err)
		}
		return answer, fmt.Errorf("operator API at %s: %w", c.base, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return answer, answerError(c.base, resp)
	}
	if err := json.Unmarshal(resp.Body(), &answer); err != nil {
		return answer, fmt.Errorf("answer of %s: %w", c.base, err)
	}
	return answer, nil
}

func answerError(base string, resp *fasthttp.Response) error {
	e := &CallError{Status: resp.StatusCode()}
	if err := json.Unmarshal(resp.Body(), &e.Body); err != nil || e.Body.Reason == "" {
		return fmt.Errorf("%s answered with status %d; is it an operator API?", base, resp.StatusCode())
	}
	return e
}
