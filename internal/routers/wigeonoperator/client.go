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

// Limits of a client.
const (
	clientTimeout    = 20 * time.Second
	maxResponseBytes = 64 << 20
)

// ErrNotSent reports a call that was not sent because no connection could be established.
var ErrNotSent = errors.New("not sent")

// Client is a client of an instance's operator API.
type Client struct {
	base string
	key  string
	http *fasthttp.Client
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithTLS sets the TLS configuration for https URLs.
func WithTLS(t *tls.Config) ClientOption {
	return func(c *Client) { c.http.TLSConfig = t }
}

// NewClient returns a client for a base URL such as http://10.0.0.1:7200. The key has the form name.secret.
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

// CallError is an error returned by the API.
type CallError struct {
	Status int
	Body   ErrorBody
}

// Error returns the reason and the message.
func (e *CallError) Error() string {
	return fmt.Sprintf("%s: %s", e.Body.Reason, e.Body.Message)
}

// Show returns the current configuration of the instance, or the newest one in the store.
func (c *Client) Show(newest bool) (*wigeonshift.Configuration, error) {
	return callJSON[*wigeonshift.Configuration](c, "/configuration", url.Values{"newest": {strconv.FormatBool(newest)}}, nil)
}

// Snapshot returns the configuration of one version.
func (c *Client) Snapshot(version uint64) (*wigeonshift.Configuration, error) {
	return callJSON[*wigeonshift.Configuration](c, "/configuration/snapshot/"+formatVersion(version), nil, nil)
}

// Changes returns up to limit changes after a version, oldest first.
func (c *Client) Changes(after uint64, limit int) ([]ChangeBody, error) {
	query := url.Values{"after": {formatVersion(after)}, "limit": {strconv.Itoa(limit)}}
	result, err := callJSON[ChangesBody](c, "/configuration/changes", query, nil)
	return result.Changes, err
}

// Diff returns the JSON merge patch between two versions.
func (c *Client) Diff(from, to uint64) (json.RawMessage, error) {
	return callJSON[json.RawMessage](c, "/configuration/diff", url.Values{"from": {formatVersion(from)}, "to": {formatVersion(to)}}, nil)
}

// Patch submits a patch.
func (c *Client) Patch(p PatchBody) (AcceptedBody, error) {
	return callJSON[AcceptedBody](c, "/configuration/patches", nil, p)
}

// Rollback restores the content of an old version as a new version.
func (c *Client) Rollback(r RollbackBody) (AcceptedBody, error) {
	return callJSON[AcceptedBody](c, "/configuration/rollback", nil, r)
}

// Versions returns the current configuration version of each live instance.
func (c *Client) Versions() ([]VersionBody, error) {
	result, err := callJSON[VersionsBody](c, "/versions", nil, nil)
	return result.Versions, err
}

// Status returns the status of the instance.
func (c *Client) Status() (wigeonshift.InstanceStatus, error) {
	return callJSON[wigeonshift.InstanceStatus](c, "/status", nil, nil)
}

func formatVersion(v uint64) string {
	return strconv.FormatUint(v, 10)
}

// callJSON sends a POST request with a body, or a GET request if the body is nil, and decodes the response.
func callJSON[T any](c *Client, path string, query url.Values, body any) (T, error) {
	var result T
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.base + "/operator/v1" + path + "?" + query.Encode())
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.key)
	if body != nil {
		payload, err := json.Marshal(body)
		if err != nil {
			return result, oops.In("operator").Wrap(err)
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
		return result, fmt.Errorf("operator API at %s: %w", c.base, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return result, responseError(c.base, resp)
	}
	if err := json.Unmarshal(resp.Body(), &result); err != nil {
		return result, fmt.Errorf("response from operator API at %s: %w", c.base, err)
	}
	return result, nil
}

func responseError(base string, resp *fasthttp.Response) error {
	e := &CallError{Status: resp.StatusCode()}
	if err := json.Unmarshal(resp.Body(), &e.Body); err != nil || e.Body.Reason == "" {
		return fmt.Errorf("%s answered with status %d; is it an operator API?", base, resp.StatusCode())
	}
	return e
}
