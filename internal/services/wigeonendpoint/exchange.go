package wigeonendpoint

import (
	"bufio"
	"context"
	"errors"
	"time"

	"wigeonshift"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"
)

// exchange is one request and its answer on one connection. It never sends anything twice.
type exchange struct {
	client   *Client
	conn     *connection
	reader   *bufio.Reader
	response *fasthttp.Response
	// unwatch ends the watch on the context.
	unwatch func() bool
	// giveBack returns the connection to the pool or closes it.
	giveBack func(reuse bool)
}

// exchangeOptions say how an exchange runs.
type exchangeOptions struct {
	// onStart is called before the first byte is written.
	onStart func()
	// timeout bounds each write and read until setTimeout.
	timeout time.Duration
	// maxIdle is the longest idle time of the connection.
	maxIdle time.Duration
	// stream leaves the body to be read.
	stream bool
}

// do sends a request and reads the answer's header, and its body unless it streams.
func (c *Client) do(ctx context.Context, request *fasthttp.Request, o exchangeOptions) (*exchange, error) {
	if err := ctx.Err(); err != nil {
		return nil, notRun(err)
	}
	x, err := c.acquire(o)
	if err != nil {
		return nil, notRun(err)
	}
	x.unwatch = context.AfterFunc(ctx, x.conn.interrupt)
	if err := x.send(request); err != nil {
		return nil, x.fail(ctx, err)
	}
	x.reader = c.host.AcquireReader(x.conn)
	x.response = fasthttp.AcquireResponse()
	x.response.StreamBody = o.stream
	x.response.SkipBody = request.Header.IsHead()
	if err := x.response.ReadLimitBody(x.reader, c.set.bodyBytes); err != nil {
		return nil, x.fail(ctx, err)
	}
	return x, nil
}

// acquire takes a connection that was not idle for too long, or opens one.
func (c *Client) acquire(o exchangeOptions) (*exchange, error) {
	for {
		pooled, err := c.host.AcquireConn(c.set.dialTimeout, false)
		if err != nil {
			return nil, err
		}
		conn := pooled.Conn().(*connection)
		if !conn.lastUsed.IsZero() && (time.Since(conn.lastUsed) > o.maxIdle || conn.stale()) {
			c.host.CloseConn(pooled)
			continue
		}
		conn.begin(o.onStart, o.timeout)
		return &exchange{client: c, conn: conn, giveBack: func(reuse bool) {
			if !reuse {
				c.host.CloseConn(pooled)
				return
			}
			conn.lastUsed = time.Now()
			c.host.ReleaseConn(pooled)
		}}, nil
	}
}

func (x *exchange) send(request *fasthttp.Request) error {
	writer := x.client.host.AcquireWriter(x.conn)
	defer x.client.host.ReleaseWriter(writer)
	if err := request.Write(writer); err != nil {
		return err
	}
	return writer.Flush()
}

// close ends the exchange. The connection is reused only when the whole answer was read.
func (x *exchange) close(whole bool) {
	// A context that ended meanwhile closes the connection.
	watched := x.unwatch()
	reuse := whole && watched && x.response != nil && !x.response.ConnectionClose()
	if x.response != nil {
		_ = x.response.CloseBodyStream()
		fasthttp.ReleaseResponse(x.response)
	}
	if x.reader != nil {
		x.client.host.ReleaseReader(x.reader)
	}
	x.giveBack(reuse)
}

// fail ends the exchange and gives its error a class.
func (x *exchange) fail(ctx context.Context, err error) error {
	exposed, interrupted := x.conn.exposed, x.conn.interrupted.Load()
	x.close(false)
	switch {
	case !exposed:
		if interrupted {
			err = ctx.Err()
		}
		return notRun(err)
	case interrupted:
		return oops.In("endpoint").Wrap(ctx.Err())
	case errors.Is(err, wigeonshift.ErrAnswerMismatch):
		return oops.In("endpoint").Wrap(err)
	case errors.Is(err, fasthttp.ErrBodyTooLarge) || errors.Is(err, errBadFrame):
		return class(wigeonshift.ErrEndpointFailed, err)
	case isTimeout(err):
		// What muted this connection may have muted the idle ones too.
		x.client.host.CloseIdleConnections()
		return class(wigeonshift.ErrProgressTimeout, err)
	default:
		return class(wigeonshift.ErrEndpointLost, err)
	}
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

func notRun(err error) error {
	return class(wigeonshift.ErrNotRun, err)
}

// class wraps an error so that it counts as one of the sentinels.
func class(sentinel, err error) error {
	return oops.In("endpoint").Wrap(errors.Join(sentinel, err))
}
