package wigeonplatform

import (
	"context"
	"encoding/json"
	"net/url"
	"time"

	"wigeonshift"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"
)

const registerTimeout = 5 * time.Second

// RegisterInstance adds an instance to the list of the stand-in at a base URL, or updates its state there. A real
// platform knows the instances that it runs; nodes call RegisterInstance only when their settings name a stand-in.
func RegisterInstance(ctx context.Context, base string, i wigeonshift.Instance) error {
	body, err := json.Marshal(i)
	if err != nil {
		return oops.In("platform").Wrap(err)
	}
	return sendInstanceRequest(ctx, fasthttp.MethodPut, base, i.ID, body)
}

// UnregisterInstance removes an instance from the list of the stand-in at a base URL.
func UnregisterInstance(ctx context.Context, base, id string) error {
	return sendInstanceRequest(ctx, fasthttp.MethodDelete, base, id, nil)
}

func sendInstanceRequest(ctx context.Context, method, base, id string, body []byte) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(base + PathStandinInstances + "/" + url.PathEscape(id))
	req.Header.SetMethod(method)
	req.Header.SetContentType("application/json")
	req.SetBody(body)
	deadline := time.Now().Add(registerTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := fasthttp.DoDeadline(req, resp, deadline); err != nil {
		return oops.In("platform").With("instance", id).Wrap(err)
	}
	if resp.StatusCode() != fasthttp.StatusNoContent {
		return oops.In("platform").With("instance", id, "status", resp.StatusCode()).Errorf("stand-in refused the instance")
	}
	return nil
}
