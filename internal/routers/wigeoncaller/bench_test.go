package wigeoncaller_test

import (
	"context"
	"net"
	"testing"

	"wigeonshift"
	"wigeonshift/internal/routers/wigeoncaller"
	"wigeonshift/internal/services/wigeonendpoint"
	"wigeonshift/internal/services/wigeonentry"
	"wigeonshift/internal/standin/wigeonplain"

	"github.com/valyala/fasthttp"
)

const benchBody = `{"model":"m","prompt":"one two three four","max_tokens":4}`

func benchEntry(address string, dialer wigeonshift.EndpointDialer) *wigeonentry.Service {
	return wigeonentry.New(wigeonshift.Instance{ID: "i", Region: "r"}, fixedSource{testConfiguration()}, grantBroker{address},
		dialer, &memoryClaims{})
}

var memoryEngine = fixedDialer{&fakeEngine{}}

// BenchmarkEntry measures a small completion from the parsed request to the response, without HTTP.
func BenchmarkEntry(b *testing.B) {
	entry := benchEntry("a", memoryEngine)
	r := wigeonentry.Request{Product: "p", Organisation: "o", Generate: &wigeonentry.Generate{Model: "m", Prompt: "one two three four", MaxTokens: 4}}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if result := entry.Do(context.Background(), r, discardSink{}); result.Refusal != nil {
				b.Fatal(result.Refusal)
			}
		}
	})
}

type discardSink struct{}

func (discardSink) Write(context.Context, string) error { return nil }

// benchHTTP measures a request to the server over loopback, including the client.
func benchHTTP(b *testing.B, entry *wigeonentry.Service, method, path, body string) {
	server := wigeoncaller.New(entry, authenticate)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	if err := server.Start(context.Background(), l); err != nil {
		b.Fatal(err)
	}
	benchClient(b, l.Addr().String(), method, path, body)
	if err := server.Stop(context.Background()); err != nil {
		b.Fatal(err)
	}
}

// benchClient measures a request to an address.
func benchClient(b *testing.B, address, method, path, body string) {
	client := &fasthttp.HostClient{Addr: address, MaxConns: 1024}
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		request.SetRequestURI("http://" + address + path)
		request.Header.SetMethod(method)
		request.Header.Set("Authorization", "Bearer k.secret")
		request.SetBodyString(body)
		for pb.Next() {
			if err := client.Do(request, response); err != nil || response.StatusCode() != fasthttp.StatusOK {
				b.Fatal(err, response.String())
			}
		}
	})
	b.StopTimer()
	client.CloseIdleConnections()
}

// BenchmarkWhole measures a small completion over HTTP.
func BenchmarkWhole(b *testing.B) {
	benchHTTP(b, benchEntry("a", memoryEngine), "POST", "/v1/completions", benchBody)
}

// BenchmarkStream measures a small streamed completion over HTTP.
func BenchmarkStream(b *testing.B) {
	benchHTTP(b, benchEntry("a", memoryEngine), "POST", "/v1/completions", benchBody[:len(benchBody)-1]+`,"stream":true}`)
}

// BenchmarkPlain measures a small call to the stand-in plain service, both directly and through the server.
func BenchmarkPlain(b *testing.B) {
	service := wigeonplain.New("127.0.0.1:0")
	if err := service.Start(context.Background()); err != nil {
		b.Fatal(err)
	}
	b.Run("direct", func(b *testing.B) { benchClient(b, service.Address(), "GET", "/boats/7", "") })
	b.Run("through", func(b *testing.B) {
		dialer := wigeonendpoint.New()
		benchHTTP(b, benchEntry(service.Address(), dialer), "GET", "/v1/services/store/boats/7", "")
		dialer.CloseIdle()
	})
	if err := service.Stop(context.Background()); err != nil {
		b.Fatal(err)
	}
}
