// Package wigeonscript is a stand-in for a server whose responses a test writes byte by byte.
package wigeonscript

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"wigeonshift/internal/modules/wigeonclock"
)

// Server answers the first request of each connection with the same text and closes the connection.
type Server struct {
	// Answer is the whole text of a response.
	Answer string
	// EndsWithAnswer makes the server listen no more when it closes the first connection, like a process that crashes.
	EndsWithAnswer bool
	// Silence is how long the server stays silent before it closes a connection.
	Silence time.Duration

	listener net.Listener
}

// Start listens on a loopback address and returns it.
func (s *Server) Start() (string, error) {
	var err error
	if s.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return "", err
	}
	go s.run()
	return s.listener.Addr().String(), nil
}

// Stop stops listening. It may be called after the server has ended by itself.
func (s *Server) Stop() { _ = s.listener.Close() }

func (s *Server) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.answer(c)
	}
}

// answer ignores errors, because the client may close the connection at any time.
func (s *Server) answer(c net.Conn) {
	if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		_, _ = io.WriteString(c, s.Answer)
	}
	wigeonclock.Sleep(context.Background(), s.Silence)
	if s.EndsWithAnswer {
		s.Stop()
	}
	_ = c.Close()
}
