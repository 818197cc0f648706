package wigeonendpoint_test

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonendpoint"
	"wigeonshift/internal/standin/wigeonengine"
	"wigeonshift/internal/standin/wigeonfault"
	"wigeonshift/internal/standin/wigeonplain"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
)

var suiteT *testing.T

func TestEndpoint(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeonendpoint")
}

// shortTimeout is a progress timeout that keeps tests of silent endpoints short.
const shortTimeout = 500 * time.Millisecond

// decodeStep makes a stream last long enough to be interrupted.
const decodeStep = 4 * time.Millisecond

// startEngine starts an engine that is stopped at the end of the spec.
func startEngine(opts ...wigeonengine.Option) *wigeonengine.Engine {
	speed := wigeonengine.Speed{DecodeStep: decodeStep, MaxBatch: 8, PrefillChunk: 512}
	e := wigeonengine.New("127.0.0.1:0", append([]wigeonengine.Option{wigeonengine.WithSpeed(speed)}, opts...)...)
	Expect(e.Start(context.Background())).To(Succeed())
	DeferCleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_ = e.Stop(ctx)
	})
	return e
}

// tokenPrefix contains the special characters that occur in tokens of shard owners.
const tokenPrefix = "dev/assistant/local/0#7."

// request returns a request for a completion that takes several decode steps.
func request(token string) wigeonshift.GenerateRequest {
	return wigeonshift.GenerateRequest{
		Token: wigeonshift.AttemptToken(tokenPrefix + token), Model: wigeonengine.DefaultModel,
		Prompt: "which knot holds a seine? " + strings.Repeat("twine ", 200), MaxTokens: 24,
	}
}

// collector collects the text of a stream and counts the calls of onStart.
type collector struct {
	text    strings.Builder
	started int
	// onChunk is called with each chunk.
	onChunk func(wigeonshift.Chunk) error
}

func (c *collector) onStart() { c.started++ }

func (c *collector) sink(chunk wigeonshift.Chunk) error {
	c.text.WriteString(chunk.Text)
	if c.onChunk != nil {
		return c.onChunk(chunk)
	}
	return nil
}

// expectedText returns the complete text that an engine generates for a request.
func expectedText(r wigeonshift.GenerateRequest) string {
	return wigeonengine.CompletionText(r.Model, r.Prompt, r.MaxTokens)
}

var _ = Describe("Generate", func() {
	ctx := context.Background()

	It("streams complete answers over one reused connection", func() {
		e := startEngine()
		var dials atomic.Int32
		d := wigeonendpoint.New(wigeonendpoint.WithDial(func(ctx context.Context, address string) (net.Conn, error) {
			dials.Add(1)
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}))
		for _, token := range []string{"a", "b", "c"} {
			c, r := &collector{}, request(token)
			result, err := d.Endpoint(e.Address()).Generate(ctx, r, c.onStart, c.sink)
			Expect(err).NotTo(HaveOccurred())
			Expect(c.text.String()).To(Equal(expectedText(r)))
			Expect(c.started).To(Equal(1))
			Expect(result.TokensDone).To(Equal(wigeonengine.CompletionTokens(r.Model, r.Prompt, r.MaxTokens)))
		}
		Expect(dials.Load()).To(Equal(int32(1)))
		Expect(e.Stats().DistinctTokens).To(Equal(int64(3)))
		Expect(e.Stats().PrefillTokensCached).To(BeNumerically(">", 0))
	})

	It("returns ErrNotRun if the connection is refused", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := l.Addr().String()
		l.Close()
		c := &collector{}
		_, err = wigeonendpoint.New().Endpoint(address).Generate(ctx, request("a"), c.onStart, c.sink)
		Expect(err).To(MatchError(wigeonshift.ErrNotRun))
		Expect(err).To(MatchError(syscall.ECONNREFUSED))
		Expect(c.started).To(BeZero())
	})

	It("returns ErrNotRun if the endpoint says that the request did not run", func() {
		e := startEngine(wigeonengine.WithFaults(wigeonfault.Faults{RefuseNext: 1}))
		c := &collector{}
		endpoint := wigeonendpoint.New().Endpoint(e.Address())
		_, err := endpoint.Generate(ctx, request("a"), c.onStart, c.sink)
		Expect(err).To(MatchError(wigeonshift.ErrNotRun))
		Expect(c.started).To(Equal(1))
		unknown := request("b")
		unknown.Model = "none"
		_, err = endpoint.Generate(ctx, unknown, c.onStart, c.sink)
		Expect(err).To(MatchError(wigeonshift.ErrNotRun))
		Expect(e.Stats().Executions).To(BeZero())
	})

	It("returns ErrEndpointLost for a crash during a stream, and reuses no stale connection after the restart", func() {
		e := startEngine()
		endpoint := wigeonendpoint.New().Endpoint(e.Address())
		c := &collector{onChunk: func(wigeonshift.Chunk) error {
			e.SetFaults(wigeonfault.Faults{Crash: true, RestartMS: 1})
			return nil
		}}
		idle := &collector{}
		_, err := endpoint.Generate(ctx, request("idle"), nil, idle.sink)
		Expect(err).NotTo(HaveOccurred())
		_, err = endpoint.Generate(ctx, request("a"), nil, c.sink)
		Expect(err).To(MatchError(wigeonshift.ErrEndpointLost))
		Expect(err).NotTo(MatchError(wigeonshift.ErrNotRun))
		Eventually(func() error {
			_, err := endpoint.Load(ctx)
			return err
		}).Should(Succeed())
		e.SetFaults(wigeonfault.Faults{Crash: true, RestartMS: 1})
		Eventually(func() error {
			_, err := wigeonendpoint.New().Endpoint(e.Address()).Load(ctx)
			return err
		}).Should(Succeed())
		_, err = endpoint.Generate(ctx, request("b"), nil, func(wigeonshift.Chunk) error { return nil })
		Expect(err).NotTo(HaveOccurred())
	})

	It("discards and counts an answer for another attempt", func() {
		e := startEngine(wigeonengine.WithFaults(wigeonfault.Faults{CrossedReplies: 1}))
		scope := tally.NewTestScope("", nil)
		c := &collector{}
		_, err := wigeonendpoint.New(wigeonendpoint.WithScope(scope)).Endpoint(e.Address()).
			Generate(ctx, request("a"), c.onStart, c.sink)
		Expect(err).To(MatchError(wigeonshift.ErrAnswerMismatch))
		Expect(c.text.String()).To(BeEmpty())
		Expect(scope.Snapshot().Counters()["endpointErrors+reason=answerMismatch"].Value()).To(Equal(int64(1)))
	})

	It("times out on silent requests and replaces silent connections by new ones", func() {
		e := startEngine()
		endpoint := wigeonendpoint.New(wigeonendpoint.WithFirstTokenTimeout(shortTimeout),
			wigeonendpoint.WithControlTimeout(shortTimeout)).Endpoint(e.Address())
		_, err := endpoint.Generate(ctx, request("a"), nil, (&collector{}).sink)
		Expect(err).NotTo(HaveOccurred())
		Expect(postFaults(e.Address(), `{"silence":"connections"}`)).To(Succeed())
		_, err = endpoint.Generate(ctx, request("b"), nil, (&collector{}).sink)
		Expect(err).To(MatchError(wigeonshift.ErrProgressTimeout))
		_, err = endpoint.Generate(ctx, request("c"), nil, (&collector{}).sink)
		Expect(err).NotTo(HaveOccurred())
		e.SetFaults(wigeonfault.Faults{Silence: wigeonfault.SilenceRequests})
		_, err = endpoint.Generate(ctx, request("d"), nil, (&collector{}).sink)
		Expect(err).To(MatchError(wigeonshift.ErrProgressTimeout))
	})

	It("resumes a stream that went silent without losing or repeating a token", func() {
		e := startEngine()
		endpoint := wigeonendpoint.New(wigeonendpoint.WithChunkTimeout(shortTimeout)).Endpoint(e.Address())
		r, done := request("a"), 0
		c := &collector{}
		c.onChunk = func(chunk wigeonshift.Chunk) error {
			done = chunk.Offset + chunk.Count
			if done == chunk.Count {
				e.SetFaults(wigeonfault.Faults{Silence: wigeonfault.SilenceStreams})
			}
			return nil
		}
		_, err := endpoint.Generate(ctx, r, nil, c.sink)
		Expect(err).To(MatchError(wigeonshift.ErrProgressTimeout))
		e.SetFaults(wigeonfault.Faults{})
		_, err = endpoint.Resume(ctx, r.Token, done, c.sink)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.text.String()).To(Equal(expectedText(r)))
		Expect(e.Stats().Executions).To(Equal(int64(1)))
	})

	It("ends as soon as its context ends, and cancels the stream if the sink fails", func() {
		e := startEngine()
		endpoint := wigeonendpoint.New().Endpoint(e.Address())
		cancelled, cancel := context.WithCancel(ctx)
		_, err := endpoint.Generate(cancelled, request("a"), nil, func(wigeonshift.Chunk) error {
			cancel()
			return nil
		})
		Expect(err).To(MatchError(context.Canceled))
		Expect(err).NotTo(MatchError(wigeonshift.ErrNotRun))
		_, err = endpoint.Generate(cancelled, request("b"), nil, (&collector{}).sink)
		Expect(err).To(MatchError(wigeonshift.ErrNotRun))
		failed := errors.New("caller gone")
		_, err = endpoint.Generate(ctx, request("c"), nil, func(wigeonshift.Chunk) error { return failed })
		Expect(err).To(MatchError(failed))
		_, err = endpoint.Resume(ctx, tokenPrefix+"c", 0, (&collector{}).sink)
		Expect(err).To(MatchError(wigeonshift.ErrEndpointLost))
		Expect(e.Stats().DecodeTokensThrownAway).To(BeNumerically(">", 0))
	})
})

var _ = Describe("State of a stream", func() {
	It("can be paused, moved to another engine and finished there", func() {
		ctx := context.Background()
		from, to := startEngine(), startEngine()
		d := wigeonendpoint.New()
		source, target := d.Endpoint(from.Address()), d.Endpoint(to.Address())
		r, c := request("a"), &collector{}
		c.onChunk = func(chunk wigeonshift.Chunk) error {
			if chunk.Offset == 0 {
				return source.Pause(ctx, r.Token)
			}
			return nil
		}
		result, err := source.Generate(ctx, r, nil, c.sink)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Finish).To(Equal(wigeonshift.FinishPaused))
		state, err := source.ExportKV(ctx, r.Token)
		Expect(err).NotTo(HaveOccurred())
		Expect(target.ImportKV(ctx, tokenPrefix+"moved", state)).To(Succeed())
		Expect(source.Cancel(ctx, r.Token)).To(Succeed())
		Expect(source.Cancel(ctx, r.Token)).To(Succeed())
		result, err = target.Resume(ctx, tokenPrefix+"moved", result.TokensDone, c.sink)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.text.String()).To(Equal(expectedText(r)))
		Expect(result.TokensDone).To(Equal(wigeonengine.CompletionTokens(r.Model, r.Prompt, r.MaxTokens)))
		Expect(to.Stats().PrefillTokensComputed).To(BeZero())
	})
})

var _ = Describe("Orders and reports", func() {
	ctx := context.Background()

	It("returns ErrStaleFence for a stale order, unless the engine ignores fencing", func() {
		e := startEngine(wigeonengine.WithModelLoadTime(0))
		endpoint := wigeonendpoint.New().Endpoint(e.Address())
		order := wigeonshift.Order{ID: "1", Kind: wigeonshift.OrderLoadModel, Subject: "ibis", Fence: 7}
		Expect(endpoint.SendOrder(ctx, order)).To(Succeed())
		order.ID, order.Fence = "2", 6
		Expect(endpoint.SendOrder(ctx, order)).To(MatchError(wigeonshift.ErrStaleFence))
		e.SetFaults(wigeonfault.Faults{IgnoreFencing: true})
		Expect(endpoint.SendOrder(ctx, order)).To(Succeed())
		order.ID, order.Fence, order.Kind = "3", 8, "dance"
		Expect(endpoint.SendOrder(ctx, order)).To(MatchError(wigeonshift.ErrUnsupported))
		r := request("a")
		r.Model = "ibis"
		Eventually(func() error {
			_, err := endpoint.Generate(ctx, r, nil, (&collector{}).sink)
			return err
		}).Should(Succeed())
	})

	It("passes on delayed load reports and cache events with gaps", func() {
		lossy := wigeonengine.CacheSettings{Tokens: 256, EventLoss: 0.5}
		e := startEngine(wigeonengine.WithCache(lossy), wigeonengine.WithSeed(3), wigeonengine.WithLoadLag(time.Hour))
		endpoint := wigeonendpoint.New().Endpoint(e.Address())
		before, err := endpoint.Load(ctx)
		Expect(err).NotTo(HaveOccurred())
		for _, token := range []string{"a", "b", "c", "d", "e", "f"} {
			r := request(token)
			r.Prompt = token + r.Prompt
			_, err := endpoint.Generate(ctx, r, nil, (&collector{}).sink)
			Expect(err).NotTo(HaveOccurred())
		}
		after, err := endpoint.Load(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(after).To(Equal(before))
		batch, err := endpoint.CacheEvents(ctx, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(batch.Incarnation).To(Equal(before.Incarnation))
		last := batch.Events[len(batch.Events)-1].Sequence
		Expect(len(batch.Events)).To(BeNumerically("<", last-1))
	})
})

var _ = Describe("Call", func() {
	ctx := context.Background()
	postCall := func(token string) wigeonshift.ServiceCall {
		return wigeonshift.ServiceCall{
			Token: wigeonshift.AttemptToken(token), Method: "POST", Path: "/issues",
			ContentType: "application/json", Body: []byte(`{"boat":"pelícano","key":"` + token + `"}`), NonIdempotent: true,
		}
	}
	start := func(opts ...wigeonplain.Option) *wigeonplain.Service {
		s := wigeonplain.New("127.0.0.1:0", opts...)
		Expect(s.Start(ctx)).To(Succeed())
		DeferCleanup(func() {
			ctx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
			defer cancel()
			_ = s.Stop(ctx)
		})
		return s
	}

	It("never sends a call twice if the answer is lost, refused or for another attempt", func() {
		s := start(wigeonplain.WithFaults(wigeonfault.Faults{DropReplies: 1}))
		endpoint := wigeonendpoint.New().Endpoint(s.Address())
		_, err := endpoint.Call(ctx, postCall("a"), nil)
		Expect(err).To(MatchError(wigeonshift.ErrEndpointLost))
		Expect(s.Stats().Executions).To(Equal(int64(1)))
		s.SetFaults(wigeonfault.Faults{RefuseNext: 1})
		_, err = endpoint.Call(ctx, postCall("b"), nil)
		Expect(err).To(MatchError(wigeonshift.ErrNotRun))
		s.SetFaults(wigeonfault.Faults{CrossedReplies: 1})
		_, err = endpoint.Call(ctx, postCall("c"), nil)
		Expect(err).To(MatchError(wigeonshift.ErrAnswerMismatch))
		answer, err := endpoint.Call(ctx, postCall("d"), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Status).To(Equal(201))
		Expect(s.Stats().Executions).To(Equal(int64(3)))
		Expect(s.Stats().RepeatedContents).To(BeZero())
	})

	It("returns the answers of reads and error statuses unchanged", func() {
		s := start()
		endpoint := wigeonendpoint.New().Endpoint(s.Address())
		read := wigeonshift.ServiceCall{Token: "a", Method: "GET", Path: "/boats/7/history?season=2"}
		answer, err := endpoint.Call(ctx, read, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer.Body)).To(Equal(wigeonplain.ReadResponse(read.Path)))
		read.Path, read.Method = "/nowhere", "HEAD"
		answer, err = endpoint.Call(ctx, read, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Status).To(Equal(404))
	})

	It("does not send non-idempotent calls over connections that were idle for too long", func() {
		s := start()
		var dials atomic.Int32
		d := wigeonendpoint.New(wigeonendpoint.WithIdleTimeout(time.Minute, 0),
			wigeonendpoint.WithDial(func(ctx context.Context, address string) (net.Conn, error) {
				dials.Add(1)
				return (&net.Dialer{}).DialContext(ctx, "tcp", address)
			}))
		for _, token := range []string{"a", "b", "c"} {
			_, err := d.Endpoint(s.Address()).Call(ctx, postCall(token), nil)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(dials.Load()).To(Equal(int32(3)))
	})
})
