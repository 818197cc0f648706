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

// inBubble runs a batch without its server in virtual time.
func inBubble(speed Speed, body func(g Gomega, e *Engine), opts ...Option) {
	synctest.Test(suiteT, func(t *testing.T) {
		e := New("", append([]Option{WithSpeed(speed)}, opts...)...)
		e.wg.Go(e.run)
		e.wg.Go(e.runSweep)
		body(NewWithT(t), e)
		_ = e.Stop(context.Background())
	})
}

// begin starts a completion that gives exactly one of several lengths; it returns the sequence.
func begin(g Gomega, e *Engine, token, prompt string, maxTokens int) *sequence {
	s, _, f := e.start(wigeonshift.GenerateRequest{
		Token: wigeonshift.AttemptToken(token), Model: DefaultModel, Prompt: prompt, MaxTokens: maxTokens,
	})
	g.Expect(f).To(BeNil())
	return s
}

// until waits for a sequence to reach a phase and returns the virtual time since start.
func until(s *sequence, e *Engine, wanted phase, start time.Time) time.Duration {
	for {
		e.mu.Lock()
		now := s.phase
		e.mu.Unlock()
		if now == wanted {
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

	It("slows down with each sequence and lets the others wait", func() {
		inBubble(decode, func(g Gomega, e *Engine) {
			start := time.Now()
			alone := begin(g, e, "a", "a", 3)
			g.Expect(alone.answer.total).To(Equal(3))
			// The first token comes with the prompt, and each further one after a step.
			g.Expect(until(alone, e, phaseDone, start)).To(BeNumerically("~", 2*step, time.Millisecond))
			start = time.Now()
			first, second, third := begin(g, e, "b", "b", 3), begin(g, e, "c", "c", 3), begin(g, e, "d", "d", 3)
			g.Expect(until(first, e, phaseDone, start)).To(BeNumerically("~", 3*step, time.Millisecond))
			until(second, e, phaseDone, start)
			g.Expect(until(third, e, phaseDone, start)).To(BeNumerically("~", 5*step, 2*time.Millisecond))
		})
	})

	It("works on long prompts in pieces between the decode steps", func() {
		inBubble(prefill, func(g Gomega, e *Engine) {
			start := time.Now()
			question := begin(g, e, "q", "knot", 3)
			plan := begin(g, e, "p", long, 3)
			g.Expect(until(question, e, phaseDone, start)).To(BeNumerically("<", 400*time.Millisecond))
			g.Expect(until(plan, e, phaseDone, start)).To(BeNumerically(">=", time.Second))
		})
	})

	It("takes cached blocks at no cost and counts what it computes again", func() {
		small := CacheSettings{Tokens: 1024}
		inBubble(prefill, func(g Gomega, e *Engine) {
			start := time.Now()
			first := until(begin(g, e, "a", long, 1), e, phaseDone, start)
			start = time.Now()
			second := until(begin(g, e, "b", long, 1), e, phaseDone, start)
			g.Expect(second).To(BeNumerically("<", first/10))
			g.Expect(e.Stats().PrefillTokensCached).To(Equal(int64(15 * wigeonshift.PrefixBlockTokens)))
			until(begin(g, e, "c", strings.Repeat("mesh", 1024), 1), e, phaseDone, start)
			until(begin(g, e, "d", long, 1), e, phaseDone, start)
			g.Expect(e.Stats().PrefillTokensRepeated).To(Equal(int64(15 * wigeonshift.PrefixBlockTokens)))
			g.Expect(e.Stats().RepeatedContents).To(Equal(int64(2)))
		}, WithCache(small))
	})

	It("shows events late", func() {
		inBubble(prefill, func(g Gomega, e *Engine) {
			until(begin(g, e, "a", long, 1), e, phaseDone, time.Now())
			g.Expect(e.cacheEvents(0, time.Now()).Events).To(BeEmpty())
			time.Sleep(DefaultCache.EventDelay)
			events := e.cacheEvents(0, time.Now()).Events
			g.Expect(events).To(HaveLen(1))
			g.Expect(events[0].Blocks).To(Equal(wigeonprompt.PrefixHashes(DefaultModel, long)))
		})
	})

	It("straggles by its factor", func() {
		inBubble(decode, func(g Gomega, e *Engine) {
			start := time.Now()
			g.Expect(until(begin(g, e, "a", "a", 3), e, phaseDone, start)).To(BeNumerically("~", 8*step, time.Millisecond))
		}, WithFaults(wigeonfault.Faults{SlowdownFactor: 4}))
	})

	It("keeps a paused sequence out of the batch and drops what nobody comes back for", func() {
		inBubble(decode, func(g Gomega, e *Engine) {
			s := begin(g, e, "a", "a", 8)
			until(s, e, phaseDecode, time.Now())
			g.Expect(e.pause("a")).To(BeNil())
			produced := s.produced
			time.Sleep(time.Second)
			g.Expect(s.produced).To(Equal(produced))
			_, _, f := e.resume("a", produced)
			g.Expect(f).To(BeNil())
			until(s, e, phaseDone, time.Now())
			abandoned := begin(g, e, "b", "b", 8)
			until(abandoned, e, phaseDecode, time.Now())
			g.Expect(e.pause("b")).To(BeNil())
			time.Sleep(3 * time.Minute)
			g.Expect(e.pause("b")).To(Equal(failUnknownStream))
			g.Expect(e.Stats().PrefillTokensThrownAway).To(Equal(int64(1)))
		}, WithRetention(time.Minute, 2*time.Minute))
	})

	It("refuses a token that it has seen", func() {
		inBubble(decode, func(g Gomega, e *Engine) {
			begin(g, e, "a", "a", 1)
			_, _, f := e.start(wigeonshift.GenerateRequest{Token: "a", Model: DefaultModel, Prompt: "b"})
			g.Expect(f).To(Equal(failDuplicate))
			g.Expect(e.Stats().DuplicateTokens).To(Equal(int64(1)))
		})
	})
})

var _ = Describe("Answer", func() {
	It("is the same in any pieces and differs by prompt", func() {
		a := newAnswer("m", "which knot?", 50)
		Expect(a.total).To(And(BeNumerically("<=", 50), BeNumerically(">=", 38)))
		for cut := range a.total {
			Expect(a.text(0, cut) + a.text(cut, -1)).To(Equal(Answer("m", "which knot?", 50)))
		}
		Expect(Answer("m", "which mesh?", 50)).NotTo(Equal(Answer("m", "which knot?", 50)))
		Expect(wigeonprompt.Tokens(Answer("m", "p", 9))).To(Equal(AnswerTokens("m", "p", 9)))
	})
})
