package wigeonupstream

import (
	"cmp"
	"context"
	"errors"
	"io"
	"regexp"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonframing"
	"wigeonshift/internal/modules/wigeonhead"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"
)

// Errors returned by Send. Each error wraps exactly one of them.
var (
	// ErrNotSent reports that no byte of the request reached the endpoint.
	ErrNotSent = errors.New("request was not sent")
	// ErrLost reports that the endpoint may have run the request but returned no complete response.
	ErrLost = errors.New("no complete response received")
)

const (
	// maxStrayResponses limits how many responses to earlier requests are discarded before the connection is given up.
	maxStrayResponses = 2
	// maxStrayBodyBytes limits the body size of a discarded response.
	maxStrayBodyBytes = 1 << 20
	// maxSyncBodyBytes is the largest body that is written before the response is read. Larger bodies are written
	// concurrently because the endpoint may respond before it has read the whole body.
	maxSyncBodyBytes = 4 << 10
)

// Reasons why a response can't be the one to the request.
var (
	// errStrayResponse reports that the connection delivered only responses to other requests.
	errStrayResponse = errors.New("response belongs to another request")
	// errUnidentifiedResponse reports a response without an id on a connection that has carried other requests.
	errUnidentifiedResponse = errors.New("response doesn't say to which request it belongs")
	// errMergedHeaders reports a header that contains parts of two.
	errMergedHeaders = errors.New("header contains a part of another response")
)

// statusLineStart matches the beginning of a response.
var statusLineStart = regexp.MustCompile(`HTTP/1\.[01] ?[0-9]*`)

// Response is an endpoint's response with a streamed body. Close must be called exactly once.
type Response struct {
	HTTP   *fasthttp.Response
	Header wigeonshift.ResponseHeader

	pool   *Pool
	conn   *connection
	writer *requestWriter
	// body is the body of HTTP.
	body io.Reader
	// stopAfterFunc detaches the connection from the context of the request.
	stopAfterFunc func() bool
	// onHeader is called for each header that is read; nil if nobody wants it.
	onHeader HeaderObserver
	// bodyRead is set once the body has been read to its end.
	bodyRead bool
}

// SendOption configures one Send.
type SendOption func(*sendOptions)

type sendOptions struct {
	check    func() error
	onHeader HeaderObserver
}

// WithSendCheck calls check before the first byte is written. If check fails, nothing is sent.
func WithSendCheck(check func() error) SendOption { return func(o *sendOptions) { o.check = check } }

// HeaderObserver receives the header of a response and the time at which its connection was opened. The connection tells which process
// has sent the response.
type HeaderObserver func(h wigeonshift.ResponseHeader, connectedAt time.Time)

// WithHeaderObserver calls observe for the header of each response on the connection, also of late ones to earlier requests.
func WithHeaderObserver(observe HeaderObserver) SendOption {
	return func(o *sendOptions) { o.onHeader = observe }
}

// Send sends a request and reads the header of the matching response. Responses with another request id are discarded,
// because they are late responses to earlier requests on the connection. The connection is closed when ctx is done. The
// error wraps ErrNotSent only if no byte was sent, so that the caller knows whether the endpoint may have run the
// request.
func (p *Pool) Send(
	ctx context.Context, t Target, requestID string, request *fasthttp.Request, opts ...SendOption,
) (*Response, error) {
	var options sendOptions
	for _, opt := range opts {
		opt(&options)
	}
	conn, err := p.acquire(ctx, t)
	if err != nil {
		return nil, wrapError(ErrNotSent, t, err)
	}
	conn.sendCheck = options.check
	r := &Response{pool: p, conn: conn, writer: newRequestWriter(conn, request), onHeader: options.onHeader}
	r.stopAfterFunc = context.AfterFunc(ctx, conn.close)
	if len(request.Body()) > maxSyncBodyBytes {
		p.writers.Go(r.writer.run)
	} else {
		r.writer.run()
	}
	if err := r.readHeader(requestID, request.Header.IsHead()); err != nil {
		// Close waits for the writer, which may still write until then.
		r.Close()
		mayHaveSent := conn.mayHaveSent.Load()
		if ctx.Err() != nil {
			err = errors.Join(ctx.Err(), err)
		}
		if !mayHaveSent {
			return nil, wrapError(ErrNotSent, t, errors.Join(conn.sendCheckError, err))
		}
		return nil, wrapError(ErrLost, t, err)
	}
	return r, nil
}

// wrapError adds a sentinel error and the endpoint id to err.
func wrapError(sentinel error, t Target, err error) error {
	return oops.In("upstream").With("endpoint", t.ID).Wrap(errors.Join(sentinel, err))
}

// readHeader reads the header of the response to a request and discards late responses to earlier requests, which carry
// another request id. It accepts a response without an id only as the first one on its connection, because an endpoint may write
// an earlier one once more. After more than maxStrayResponses it gives up the connection.
func (r *Response) readHeader(requestID string, skipBody bool) error {
	for i := range maxStrayResponses + 1 {
		r.HTTP = fasthttp.AcquireResponse()
		r.HTTP.StreamBody = true
		r.HTTP.SkipBody = skipBody
		if err := wigeonhead.Check(r.conn.reader); err != nil {
			return err
		}
		if err := r.HTTP.ReadLimitBody(r.conn.reader, 0); err != nil {
			return err
		}
		if isMerged(&r.HTTP.Header) {
			return errMergedHeaders
		}
		r.Header = r.pool.dialect.ReadResponse(&r.HTTP.Header)
		if r.Header.Merged {
			return errMergedHeaders
		}
		if r.Header.RequestID == "" && requestID != "" && (i > 0 || r.conn.reused) {
			return errUnidentifiedResponse
		}
		if r.onHeader != nil {
			r.onHeader(r.Header, r.conn.connectedAt)
		}
		r.body = r.newBody()
		if r.Header.RequestID == "" || r.Header.RequestID == requestID {
			return nil
		}
		if err := r.discardStray(); err != nil {
			return err
		}
	}
	return errStrayResponse
}

// isMerged reports whether another response begins inside a header, because the endpoint broke off before.
func isMerged(h *fasthttp.ResponseHeader) bool {
	if statusLineStart.Match(h.StatusMessage()) {
		return true
	}
	for name, value := range h.All() {
		if statusLineStart.Match(name) || statusLineStart.Match(value) {
			return true
		}
	}
	return false
}

// discardStray reads a response to another request to its end, where the next response begins. It fails if the response
// ends only with the connection or is too long.
func (r *Response) discardStray() error {
	if r.HTTP.ConnectionClose() || r.HTTP.Header.ContentLength() < -1 {
		return errStrayResponse
	}
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body(), maxStrayBodyBytes))
	if err != nil {
		return err
	}
	if n == maxStrayBodyBytes {
		return errStrayResponse
	}
	return r.releaseHTTP()
}

// releaseHTTP closes the body and returns the HTTP response to the pool of the HTTP library.
func (r *Response) releaseHTTP() error {
	err := r.HTTP.CloseBodyStream()
	fasthttp.ReleaseResponse(r.HTTP)
	r.HTTP = nil
	return err
}

// Body returns the response body. Reads return io.EOF only after a complete body, so that a truncated response is
// noticed.
func (r *Response) Body() io.Reader { return r.body }

// newBody returns the body of HTTP.
func (r *Response) newBody() io.Reader {
	stream := r.HTTP.BodyStream()
	switch {
	case stream == nil:
		return eofReader{}
	case wigeonframing.FramingOf(r.HTTP) == wigeonframing.Connection:
		return &connectionBody{stream: stream, writer: r.writer}
	default:
		return stream
	}
}

// connectionBody is a body that ends with its connection. It fails if the request could not be written: the kernel reports a
// reset to a single call, and a read after the write that got it sees only the end of the connection.
type connectionBody struct {
	stream io.Reader
	writer *requestWriter
}

func (b *connectionBody) Read(p []byte) (int, error) {
	n, err := b.stream.Read(p)
	if errors.Is(err, io.EOF) {
		err = cmp.Or(b.writer.stopAfterEnd(), err)
	}
	return n, err
}

type eofReader struct{}

func (eofReader) Read([]byte) (int, error) { return 0, io.EOF }

// EndDelay returns the time from the last bytes of a body that ended with its connection to the end of the connection. An endpoint that
// ends the connection at once after the body leaves next to none.
func (r *Response) EndDelay() time.Duration { return r.conn.endedAt.Sub(r.conn.receivedAt) }

// MarkBodyRead records that the body has been read to its end, which allows Close to keep the connection.
func (r *Response) MarkBodyRead() { r.bodyRead = true }

// Close ends the exchange. The connection returns to the pool only if the whole request was written, the whole response
// was read and nothing followed it, because anything left over would mix with the next exchange.
func (r *Response) Close() {
	notCancelled := r.stopAfterFunc()
	keep := r.bodyRead && notCancelled && r.HTTP != nil && !r.HTTP.ConnectionClose() && r.conn.reader.Buffered() == 0
	if !r.writer.finish() {
		keep = false
	}
	if !keep {
		r.conn.close()
	}
	idle := r.Header.KeepAliveTimeout
	if r.HTTP != nil {
		// An error from closing the body doesn't matter: the body was either read to its end or its connection is closed.
		_ = r.releaseHTTP()
	}
	if keep {
		r.pool.release(r.conn, idle)
	}
}
