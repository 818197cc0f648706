package wigeoncaller_test

import (
	"context"
	"net"
	"testing"

	"wigeonshift"
	"wigeonshift/internal/routers/wigeoncaller"
	"wigeonshift/internal/services/wigeonentry"

	"github.com/valyala/fasthttp"
)

const benchBody = `{"model":"m","prompt":"one two three four","max_tokens":4}`

func benchEntry() *wigeonentry.Service {
	return wigeonentry.New(wigeonshift.Instance{ID: "i", Region: "r"}, fixedSource{testConfiguration()}, grantBroker{},
		oneDialer{&wordEngine{}}, &memoryClaims{})
}

// BenchmarkEntry measures a small completion from the parsed request to the answer, without HTTP.
func BenchmarkEntry(b *testing.B) {
	entry := benchEntry()
	r := wigeonentry.Request{Product: "p", Organisation: "o", Generate: &wigeonentry.Generate{Model: "m", Prompt: "one two three four", MaxTokens: 4}}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if result := entry.Do(context.Background(), r, discard{}); result.Refusal != nil {
				b.Fatal(result.Refusal)
			}
		}
	})
}

type discard struct{}

func (discard) Write(context.Context, string) error { return nil }

// benchHTTP measures a request over loopback, client included.
func benchHTTP(b *testing.B, body string) {
	server := wigeoncaller.New(benchEntry(), authenticate)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	if err := server.Start(context.Background(), l); err != nil {
		b.Fatal(err)
	}
	client := &fasthttp.HostClient{Addr: l.Addr().String(), MaxConns: 1024}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		request, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		request.SetRequestURI("http://" + client.Addr + "/v1/completions")
		request.Header.SetMethod(fasthttp.MethodPost)
		request.Header.Set("Authorization", "Bearer k.secret")
		request.SetBodyString(body)
		for pb.Next() {
			if err := client.Do(request, answer); err != nil || answer.StatusCode() != fasthttp.StatusOK {
				b.Fatal(err, answer.String())
			}
		}
	})
	client.CloseIdleConnections()
	if err := server.Stop(context.Background()); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkWhole measures a small completion over HTTP.
func BenchmarkWhole(b *testing.B) { benchHTTP(b, benchBody) }

// BenchmarkStream measures a small streamed completion over HTTP.
func BenchmarkStream(b *testing.B) { benchHTTP(b, benchBody[:len(benchBody)-1]+`,"stream":true}`) }
