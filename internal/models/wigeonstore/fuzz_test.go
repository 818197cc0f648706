package wigeonstore_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"wigeonshift"
	"wigeonshift/internal/models/wigeonstore"
)

// cannedServer answers the first data on a connection with a fixed response and closes the connection.
type cannedServer struct {
	conn     net.Conn
	response []byte
}

func (a *cannedServer) run() {
	defer a.conn.Close()
	_ = a.conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = a.conn.Read(make([]byte, 64<<10))
	_, _ = a.conn.Write(a.response)
}

// FuzzAnswer checks that a commit ends with one of the known errors for any response bytes.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n{\"revisions\":[1]}"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{\"r"))
	f.Add([]byte("HTTP/1.1 503 Busy\r\nContent-Length: 24\r\n\r\n{\"reason\":\"unavailable\"}"))
	f.Add([]byte("HTTP/1.1 412 No\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{\"rea"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n"))
	f.Add([]byte("nonsense"))
	f.Fuzz(func(t *testing.T, response []byte) {
		var wg sync.WaitGroup
		defer wg.Wait()
		store := wigeonstore.NewTransport("http://10.0.0.1:1", wigeonstore.WithDial(func(string) (net.Conn, error) {
			near, far := net.Pipe()
			wg.Go((&cannedServer{conn: far, response: response}).run)
			return near, nil
		}))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := store.Commit(ctx, insert("k", "v"))
		if err == nil {
			return
		}
		for _, known := range []error{
			wigeonshift.ErrNotFound, wigeonshift.ErrConditionFailed, wigeonshift.ErrThrottled, wigeonshift.ErrUnavailable,
			wigeonshift.ErrOutcomeUnknown, wigeonstore.ErrRejected,
		} {
			if errors.Is(err, known) {
				return
			}
		}
		t.Fatalf("commit returned an unexpected error: %v", err)
	})
}
