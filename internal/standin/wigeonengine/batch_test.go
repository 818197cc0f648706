package wigeonengine

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonprompt"
	"wigeonshift/internal/standin/wigeonfault"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var suiteT *testing.T

func TestEngine(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeonengine")
}

// withRunningEngine runs body with an engine in a synctest bubble, with virtual time and without the HTTP server.
func withRunningEngine(speed Speed, body func(g Gomega, e *Engine), opts ...Option) {
	synctest.Test(suiteT, func(t *testing.T) {
		e := New("", append([]Option{WithSpeed(speed)}, opts...)...)
		e.wg.Go(e.run)
		e.wg.Go(e.runSweep)
		body(NewWithT(t), e)
		_ = e.Stop(context.Background())
	})
}

// enqueueCompletion queues a completion and returns its sequence. The completion may be shorter than maxTokens, because
// its length depends on the request.
func enqueueCompletion(g Gomega, e *Engine, token, prompt string, maxTokens int) *sequence {
	s, _, f := e.enqueue(wigeonshift.GenerateRequest{
		Token: wigeonshift.AttemptToken(token), Model: DefaultModel, Prompt: prompt, MaxTokens: maxTokens,
	})
	g.Expect(f).To(BeNil())
	return s
}

// waitForPhase waits until a sequence reaches a phase and returns the virtual time since start.
func waitForPhase(s *sequence, e *Engine, wanted phase, start time.Time) time.Duration {
	for {
		e.mu.Lock()
		current := s.phase
		e.mu.Unlock()
		if current == wanted {
			return time.Since(start)
		}
		time.Sleep(100 * time.Microsecond)
	}
}

var _ = Describe("The batch", func() {
	const step = 10 * time.Millisecond
	decode := Speed{DecodeStep: step, BatchSlowdown: 0.5, MaxBatch: 2, PrefillChunk: 64}
	prefill := Speed{PrefillTokensPerSecond: 1000, DecodeStep: step, MaxBatch: 8, PrefillChunk: 100}
	long := strings.Repeat("knot", 1000)

	It("slows down with each sequence and queues sequences beyond MaxBatch", func() {
		withRunningEngine(decode, func(g Gomega, e *Engine) {
			start := time.Now()
			alone := enqueueCompletion(g, e, "a", "a", 3)
			g.Expect(alone.completion.tokenCount).To(Equal(3))
			// Prefill generates the first token, and each decode step generates one more.
			g.Expect(waitForPhase(alone, e, phaseDone, start)).To(BeNumerically("~", 2*step, time.Millisecond))
			start = time.Now()
			first, second, third := enqueueCompletion(g, e, "b", "b", 3), enqueueCompletion(g, e, "c", "c", 3), enqueueCompletion(g, e, "d", "d", 3)
			g.Expect(waitForPhase(first, e, phaseDone, start)).To(BeNumerically("~", 3*step, time.Millisecond))
			waitForPhase(second, e, phaseDone, start)
			g.Expect(waitForPhase(third, e, phaseDone, start)).To(BeNumerically("~", 5*step, 2*time.Millisecond))
		})
	})

	It("splits the prefill of long prompts into chunks between decode steps", func() {
		withRunningEngine(prefill, func(g Gomega, e *Engine) {
			start := time.Now()
			question := enqueueCompletion(g, e, "q", "knot", 3)
			plan := enqueueCompletion(g, e, "p", long, 3)
			g.Expect(waitForPhase(question, e, phaseDone, start)).To(BeNumerically("<", 400*time.Millisecond))
			g.Expect(waitForPhase(plan, e, phaseDone, start)).To(BeNumerically(">=", time.Second))
		})
	})

	It("skips the prefill of cached blocks and counts repeated prefill", func() {
		small := CacheSettings{Tokens: 1024}
		withRunningEngine(prefill, func(g Gomega, e *Engine) {
			start := time.Now()
			first := waitForPhase(enqueueCompletion(g, e, "a", long, 1), e, phaseDone, start)
			start = time.Now()
			second := waitForPhase(enqueueCompletion(g, e, "b", long, 1), e, phaseDone, start)
			g.Expect(second).To(BeNumerically("<", first/10))
			g.Expect(e.Stats().PrefillTokensCached).To(Equal(int64(15 * wigeonshift.PrefixBlockTokens)))
			waitForPhase(enqueueCompletion(g, e, "c", strings.Repeat("mesh", 1024), 1), e, phaseDone, start)
			waitForPhase(enqueueCompletion(g, e, "d", long, 1), e, phaseDone, start)
			g.Expect(e.Stats().PrefillTokensRepeated).To(Equal(int64(15 * wigeonshift.PrefixBlockTokens)))
			g.Expect(e.Stats().RepeatedContents).To(Equal(int64(2)))
		}, WithCache(small))
	})

	It("delays cache events", func() {
		withRunningEngine(prefill, func(g Gomega, e *Engine) {
			waitForPhase(enqueueCompletion(g, e, "a", long, 1), e, phaseDone, time.Now())
			g.Expect(e.cacheEvents(0, time.Now()).Events).To(BeEmpty())
			time.Sleep(DefaultCache.EventDelay)
			events := e.cacheEvents(0, time.Now()).Events
			g.Expect(events).To(HaveLen(1))
			g.Expect(events[0].Blocks).To(Equal(wigeonprompt.PrefixHashes(DefaultModel, long)))
		})
	})

	It("multiplies step durations by the slowdown factor", func() {
		withRunningEngine(decode, func(g Gomega, e *Engine) {
			start := time.Now()
			g.Expect(waitForPhase(enqueueCompletion(g, e, "a", "a", 3), e, phaseDone, start)).To(BeNumerically("~", 8*step, time.Millisecond))
		}, WithFaults(wigeonfault.Faults{SlowdownFactor: 4}))
	})

	It("keeps a paused sequence out of the batch and drops it after its retention time", func() {
		withRunningEngine(decode, func(g Gomega, e *Engine) {
			s := enqueueCompletion(g, e, "a", "a", 8)
			waitForPhase(s, e, phaseDecode, time.Now())
			g.Expect(e.pause("a")).To(BeNil())
			produced := s.producedTokens
			time.Sleep(time.Second)
			g.Expect(s.producedTokens).To(Equal(produced))
			_, _, f := e.resume("a", produced)
			g.Expect(f).To(BeNil())
			waitForPhase(s, e, phaseDone, time.Now())
			expired := enqueueCompletion(g, e, "b", "b", 8)
			waitForPhase(expired, e, phaseDecode, time.Now())
			g.Expect(e.pause("b")).To(BeNil())
			time.Sleep(3 * time.Minute)
			g.Expect(e.pause("b")).To(Equal(failUnknownStream))
			g.Expect(e.Stats().PrefillTokensThrownAway).To(Equal(int64(1)))
		}, WithRetention(time.Minute, 2*time.Minute))
	})

	It("refuses an attempt token that was used before", func() {
		withRunningEngine(decode, func(g Gomega, e *Engine) {
			enqueueCompletion(g, e, "a", "a", 1)
			_, _, f := e.enqueue(wigeonshift.GenerateRequest{Token: "a", Model: DefaultModel, Prompt: "b"})
			g.Expect(f).To(Equal(failDuplicateToken))
			g.Expect(e.Stats().DuplicateTokens).To(Equal(int64(1)))
		})
	})
})

var _ = Describe("CompletionText", func() {
	It("generates the same text in any chunks and differs by prompt", func() {
		a := newCompletion("m", "which knot?", 50)
		Expect(a.tokenCount).To(And(BeNumerically("<=", 50), BeNumerically(">=", 38)))
		for cut := range a.tokenCount {
			Expect(a.text(0, cut) + a.text(cut, -1)).To(Equal(CompletionText("m", "which knot?", 50)))
		}
		Expect(CompletionText("m", "which mesh?", 50)).NotTo(Equal(CompletionText("m", "which knot?", 50)))
		Expect(wigeonprompt.Tokens(CompletionText("m", "p", 9))).To(Equal(CompletionTokens("m", "p", 9)))
	})
})
