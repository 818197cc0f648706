package wigeonsoak_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// caller sends one request after another and keeps its connection open between them.
type caller struct {
	soak *soakRun
	// lastError is the reason why the latest failed request got no response.
	lastError error
	random    *rand.Rand
	stop      chan struct{}
	// bodyPause is a pause in the middle of each request's body. keepsConnection makes the caller use a connection again although
	// the relay has announced its end.
	bodyPause       time.Duration
	keepsConnection bool
	// headers are additional header lines of the next request, each with its end.
	headers string
	conn    net.Conn
	reader  *bufio.Reader
	relay   *relayProcess
}

func (c *caller) run() {
	for {
		select {
		case <-c.stop:
			return
		default:
		}
		path := []string{"/safe/", "/unsafe/", "/stream/", "/resume/"}[c.random.IntN(4)]
		p := c.relay
		if p == nil || c.random.IntN(10) == 0 {
			p = c.soak.relays[c.random.IntN(len(c.soak.relays))]
		}
		c.request(path, p)
		time.Sleep(time.Duration(c.random.IntN(20)) * time.Millisecond)
	}
}

// request sends one request, checks the response and returns its status, or 0 if there is no response.
func (c *caller) request(path string, p *relayProcess) int {
	s := c.soak
	s.mu.Lock()
	s.requestCount++
	id := fmt.Sprintf("q%d", s.requestCount)
	s.mu.Unlock()
	status, body, complete, signed := c.roundTrip(path, id, "body of "+id, p)
	s.mu.Lock()
	s.outcomes[status]++
	s.mu.Unlock()
	want := plainResponse(id)
	if path == "/stream/" || path == "/resume/" {
		want = streamResponse(id)
	}
	switch {
	case status == 0 && s.executions.count(id) > 0 && p.onlyPlannedStop() && s.endpointsHealthy():
		s.reportViolation("%s: connection closed by a planned stop of %s after the request was executed", id, p.name)
	case status == http.StatusOK && !signed:
		s.reportViolation("%s: status 200 without Server-Signature", id)
	case status == http.StatusOK && complete && body != want:
		s.reportViolation("%s: complete response with a wrong body: %.60q", id, body)
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		if n := s.executions.count(id); n > 0 {
			s.reportViolation("%s: refused with a status that promises no execution, but executed %d times", id, n)
		}
	case status == http.StatusNotFound || status == http.StatusUnauthorized:
		s.reportViolation("%s: status %d on a route that exists in every version", id, status)
	}
	mayRepeat := path == "/safe/" || path == "/resume/" || strings.HasPrefix(path, "/v")
	if n := s.executions.count(id); n > 1 && !mayRepeat {
		s.reportViolation("%s: executed %d times, but must not be repeated", id, n)
	}
	return status
}

// roundTrip sends a request and reads the response. status is 0 if there is none.
func (c *caller) roundTrip(path, id, body string, p *relayProcess) (status int, text string, complete, signed bool) {
	c.soak.repeats.recordRequest()
	c.soak.signals.recordSend(id, p.name)
	if c.conn == nil || c.relay != p {
		conn, err := net.DialTimeout("tcp", p.callerAddress, time.Second)
		if err != nil {
			c.lastError = err
			return 0, "", false, false
		}
		if c.conn != nil {
			c.conn.Close()
		}
		c.conn, c.reader, c.relay = conn, bufio.NewReader(conn), p
	}
	_ = c.conn.SetDeadline(time.Now().Add(6 * time.Second))
	fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nDeadline-Ms: 3500\r\nContent-Length: %d\r\n%s\r\n%s", path, id, len(body), c.headers, body[:len(body)/2])
	time.Sleep(c.bodyPause)
	fmt.Fprint(c.conn, body[len(body)/2:])
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.lastError = err
		c.closeConnection()
		return 0, "", false, false
	}
	content, err := io.ReadAll(response.Body)
	response.Body.Close()
	if err != nil || response.Close && !c.keepsConnection {
		c.closeConnection()
	}
	return response.StatusCode, string(content), err == nil, response.Header.Get("Server-Signature") != ""
}

func (c *caller) closeConnection() {
	c.conn.Close()
	c.conn, c.relay = nil, nil
}
