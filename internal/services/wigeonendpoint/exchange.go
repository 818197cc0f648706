package wigeonendpoint

import (
	"bufio"
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonframing"
	"wigeonshift/internal/modules/wigeonhead"
	"wigeonshift/internal/modules/wigeonstream"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"
)

// exchange is one request and its response on one connection. It never sends a request twice.
type exchange struct {
	client   *Client
	conn     *connection
	reader   *bufio.Reader
	response *fasthttp.Response
	// stopContextWatch stops the callback that interrupts the connection when the context ends. It returns false if
	// the callback was already started.
	stopContextWatch func() bool
	// releaseConn returns the connection to the pool if reuse is set, and closes it otherwise.
	releaseConn func(reuse bool)
}

// exchangeOptions are the timeouts and the mode of an exchange.
type exchangeOptions struct {
	// onStart is called before the first byte is written.
	onStart func()
	// ioTimeout limits each read and write. Reads of a stream use the chunk timeout after the first frame.
	ioTimeout time.Duration
	// maxIdle is the longest idle time after which a pooled connection is still used.
	maxIdle time.Duration
	// streamBody leaves the response body to the caller to read.
	streamBody bool
}

// do sends a request and reads the response's header. It also reads the body unless o.streamBody is set.
func (c *Client) do(ctx context.Context, request *fasthttp.Request, o exchangeOptions) (*exchange, error) {
	if err := ctx.Err(); err != nil {
		return nil, wrapNotRun(err)
	}
	x, err := c.acquireConnection(o)
	if err != nil {
		return nil, wrapNotRun(err)
	}
	x.stopContextWatch = context.AfterFunc(ctx, x.conn.interrupt)
	if err := x.send(request); err != nil {
		return nil, x.fail(ctx, err)
	}
	x.reader = c.hostClient.AcquireReader(x.conn)
	x.response = fasthttp.AcquireResponse()
	x.response.StreamBody = true
	x.response.SkipBody = request.Header.IsHead()
	if err := wigeonhead.Check(x.reader); err != nil {
		return nil, x.fail(ctx, err)
	}
	if err := x.response.ReadLimitBody(x.reader, c.options.maxBodyBytes); err != nil {
		return nil, x.fail(ctx, err)
	}
	if o.streamBody {
		return x, nil
	}
	if err := x.readBody(); err != nil {
		return nil, x.fail(ctx, err)
	}
	return x, nil
}

// readBody reads the whole body of the response into memory. A body that ends inside an event, or with the connection of an
// endpoint whose process has ended, is not whole.
func (x *exchange) readBody() error {
	if !wigeonframing.HasBody(x.response) {
		return nil
	}
	limit := x.client.options.maxBodyBytes
	endsWithConnection := wigeonframing.FramingOf(x.response) == wigeonframing.Connection
	body, err := io.ReadAll(io.LimitReader(x.response.BodyStream(), int64(limit)+1))
	switch {
	case err != nil:
		return err
	case len(body) > limit:
		return fasthttp.ErrBodyTooLarge
	case wigeonstream.HasContentType(x.response.Header.ContentType()) && !wigeonstream.EndsAfterEvent(body):
		return io.ErrUnexpectedEOF
	case endsWithConnection && x.client.refusesConnections():
		return io.ErrUnexpectedEOF
	}
	if err := x.response.CloseBodyStream(); err != nil {
		return err
	}
	x.response.SetBodyRaw(body)
	return nil
}

// refusesConnections reports whether nothing listens at the endpoint's address any more. The process has then ended, and its
// kernel has closed its connections in order, as after a whole response.
func (c *Client) refusesConnections() bool {
	conn, err := c.options.openConnection(c.address, c.options.dialTimeout)
	if err == nil {
		conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// acquireConnection takes a pooled connection that is neither stale nor idle for longer than o.maxIdle, or opens a new
// one.
func (c *Client) acquireConnection(o exchangeOptions) (*exchange, error) {
	for {
		pooled, err := c.hostClient.AcquireConn(c.options.dialTimeout, false)
		if err != nil {
			return nil, err
		}
		conn := pooled.Conn().(*connection)
		if !conn.lastUsed.IsZero() && (time.Since(conn.lastUsed) > o.maxIdle || conn.isStale()) {
			c.hostClient.CloseConn(pooled)
			continue
		}
		conn.beginExchange(o.onStart, o.ioTimeout)
		return &exchange{client: c, conn: conn, releaseConn: func(reuse bool) {
			if !reuse {
				c.hostClient.CloseConn(pooled)
				return
			}
			conn.lastUsed = time.Now()
			c.hostClient.ReleaseConn(pooled)
		}}, nil
	}
}

func (x *exchange) send(request *fasthttp.Request) error {
	writer := x.client.hostClient.AcquireWriter(x.conn)
	defer x.client.hostClient.ReleaseWriter(writer)
	if err := request.Write(writer); err != nil {
		return err
	}
	return writer.Flush()
}

// close ends the exchange. The connection is reused only if complete is set, which means that the whole response was
// read.
func (x *exchange) close(complete bool) {
	// If the context has ended, interrupt closes the connection, so it must not be reused.
	contextAlive := x.stopContextWatch()
	reuse := complete && contextAlive && x.response != nil && !x.response.ConnectionClose()
	if x.response != nil {
		_ = x.response.CloseBodyStream()
		fasthttp.ReleaseResponse(x.response)
	}
	if x.reader != nil {
		x.client.hostClient.ReleaseReader(x.reader)
	}
	x.releaseConn(reuse)
}

// fail ends the exchange and returns its error, wrapped in the endpoint sentinel that applies.
func (x *exchange) fail(ctx context.Context, err error) error {
	mayHaveSent, interrupted := x.conn.mayHaveSent, x.conn.interrupted.Load()
	x.close(false)
	switch {
	case !mayHaveSent:
		if interrupted {
			err = ctx.Err()
		}
		return wrapNotRun(err)
	case interrupted:
		return oops.In("endpoint").Wrap(ctx.Err())
	case errors.Is(err, wigeonshift.ErrAnswerMismatch):
		return oops.In("endpoint").Wrap(err)
	case errors.Is(err, fasthttp.ErrBodyTooLarge) || errors.Is(err, errMalformedFrame):
		return wrapSentinel(wigeonshift.ErrEndpointFailed, err)
	case isTimeout(err):
		// The cause of the timeout, such as a network fault, may affect the idle connections too.
		x.client.hostClient.CloseIdleConnections()
		return wrapSentinel(wigeonshift.ErrProgressTimeout, err)
	default:
		return wrapSentinel(wigeonshift.ErrEndpointLost, err)
	}
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

func wrapNotRun(err error) error {
	return wrapSentinel(wigeonshift.ErrNotRun, err)
}

// wrapSentinel wraps an error so that errors.Is also matches the sentinel.
func wrapSentinel(sentinel, err error) error {
	return oops.In("endpoint").Wrap(errors.Join(sentinel, err))
}
