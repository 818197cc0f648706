// Package wigeonhead checks the heads of HTTP responses before the HTTP library reads them. The library is lenient: it takes status 000
// for 200, and "Content-Length : 2" for a length.
package wigeonhead

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed reports a head that isn't that of an HTTP/1 response. What follows it can't be trusted.
var ErrMalformed = errors.New("malformed response head")

const (
	// maxInformational limits the informational responses before a final one.
	maxInformational = 8
	// minStatus and maxStatus bound the valid status codes.
	minStatus, maxStatus = 100, 599
	// statusDigits is the number of digits of a status code.
	statusDigits = 3
	// statusLinePrefix and one digit, the minor version, begin a status line.
	statusLinePrefix = "HTTP/1."
)

// Check waits until r has the head of the next final response, checks it and leaves it unread. It discards informational responses. The
// error is that of r, or wraps ErrMalformed. A head that exceeds the buffer of r fails with bufio.ErrBufferFull.
func Check(r *bufio.Reader) error {
	for range maxInformational + 1 {
		h := &head{reader: r}
		if err := h.read(); err != nil {
			return err
		}
		switch {
		case h.status >= fasthttp.StatusOK:
			return nil
		case h.status == fasthttp.StatusSwitchingProtocols:
			return malformed("unwanted change of the protocol")
		}
		if _, err := r.Discard(h.size); err != nil {
			return err
		}
	}
	return malformed("more than %d informational responses", maxInformational)
}

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrMalformed}, args...)...)
}

// head is a head that is read without being consumed.
type head struct {
	reader *bufio.Reader
	// size is the number of bytes that have been read.
	size   int
	status int
	// isHTTP10 is set if the minor version is 0.
	isHTTP10 bool
	// hasLength and hasEncoding are set if the head has a Content-Length and a Transfer-Encoding.
	hasLength, hasEncoding bool
}

// read reads the head to its end.
func (h *head) read() error {
	line, err := h.readLine()
	if err != nil {
		return err
	}
	if err := h.readStatusLine(line); err != nil {
		return err
	}
	for {
		line, err := h.readLine()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			return h.checkFraming()
		}
		if err := h.readField(line); err != nil {
			return err
		}
	}
}

// readLine returns the next line without its end. It is valid until the next call. A line feed alone doesn't end a line, since readers
// differ in what they make of it.
func (h *head) readLine() ([]byte, error) {
	searched := h.size
	for {
		// Peek doesn't fail for what is buffered.
		buffered, _ := h.reader.Peek(h.reader.Buffered())
		if i := bytes.IndexByte(buffered[searched:], '\n'); i >= 0 {
			line := buffered[h.size : searched+i]
			h.size = searched + i + 1
			text, ended := bytes.CutSuffix(line, []byte{'\r'})
			if !ended {
				return nil, malformed("line feed without a carriage return in %.40q", line)
			}
			return text, nil
		}
		searched = len(buffered)
		if _, err := h.reader.Peek(searched + 1); err != nil {
			return nil, err
		}
	}
}

// readStatusLine sets the status if the line is a valid status line. A missing reason phrase is common.
func (h *head) readStatusLine(line []byte) error {
	rest, found := bytes.CutPrefix(line, []byte(statusLinePrefix))
	if !found || len(rest) < len("1 ")+statusDigits || rest[0] != '0' && rest[0] != '1' || rest[1] != ' ' {
		return malformed("no status line in %.40q", line)
	}
	h.isHTTP10 = rest[0] == '0'
	code, reason := rest[2:2+statusDigits], rest[2+statusDigits:]
	for _, digit := range code {
		if digit < '0' || digit > '9' {
			return malformed("no status code in %.40q", line)
		}
		h.status = 10*h.status + int(digit-'0')
	}
	if h.status < minStatus || h.status > maxStatus {
		return malformed("status %s is invalid", code)
	}
	if len(reason) > 0 && reason[0] != ' ' || !isText(reason) {
		return malformed("invalid reason phrase in %.40q", line)
	}
	return nil
}

// readField checks a header line. A line that continues the one before begins with a blank and isn't valid either.
func (h *head) readField(line []byte) error {
	field, value, found := bytes.Cut(line, []byte{':'})
	name := string(field)
	switch {
	case !found || !httpguts.ValidHeaderFieldName(name):
		return malformed("invalid name in header line %.40q", line)
	case !isText(value):
		return malformed("invalid value of header %.40q", field)
	case strings.EqualFold(name, fasthttp.HeaderContentLength):
		h.hasLength = true
	case strings.EqualFold(name, fasthttp.HeaderTransferEncoding):
		h.hasEncoding = true
	}
	return nil
}

// checkFraming fails if readers may differ in where the body ends.
func (h *head) checkFraming() error {
	switch {
	case h.hasEncoding && h.hasLength:
		return malformed("both a length and a transfer encoding")
	case h.hasEncoding && h.isHTTP10:
		return malformed("transfer encoding in HTTP/1.0")
	default:
		return nil
	}
}

// isText reports whether text has no control character but tabs.
func isText(text []byte) bool {
	const deleteChar = 0x7f
	for _, c := range text {
		if c < ' ' && c != '\t' || c == deleteChar {
			return false
		}
	}
	return true
}
