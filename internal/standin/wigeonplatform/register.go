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

// RegisterInstance puts an instance onto the list of the stand-in at a base URL, or changes its state there. It takes
// the place of what a real platform knows by itself about the instances it runs; nodes call it only when their
// settings name a stand-in.
func RegisterInstance(ctx context.Context, base string, i wigeonshift.Instance) error {
	body, err := json.Marshal(i)
	if err != nil {
		return oops.In("platform").Wrap(err)
	}
	return sendInstance(ctx, fasthttp.MethodPut, base, i.ID, body)
}

// UnregisterInstance takes an instance off the list of the stand-in at a base URL.
func UnregisterInstance(ctx context.Context, base, id string) error {
	return sendInstance(ctx, fasthttp.MethodDelete, base, id, nil)
}

func sendInstance(ctx context.Context, method, base, id string, body []byte) error {
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
