package wigeonquarantine

import (
	"fmt"
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// sharedCrash returns the crash of an endpoint under a request with the given query and headers; all have one content.
func sharedCrash(query, headers wigeonshift.Fingerprint, endpoint string) wigeonshift.Crash {
	c := crash(1000+100*query+headers, endpoint)
	c.Shared = wigeonshift.SharedFingerprints{Content: 1, Query: 10 + query, Headers: 50 + headers}
	return c
}

var _ = Describe("Verdict", func() {
	var r *Record
	var answers *AnswerCounter
	BeforeEach(func() { r, answers = NewRecord(Limit), NewAnswerCounter() })
	judge := func(query, headers wigeonshift.Fingerprint) Verdict {
		c := sharedCrash(query, headers, "")
		return r.Judge(c.Fingerprint, c.Shared, answers)
	}
	addCrashes := func(n int, of func(k wigeonshift.Fingerprint) (query, headers wigeonshift.Fingerprint)) {
		for k := range n {
			query, headers := of(wigeonshift.Fingerprint(k))
			r.Add(sharedCrash(query, headers, fmt.Sprint("e", k, "@", query)))
		}
	}

	It("refuses one request and sends its variants", func() {
		addCrashes(3, func(wigeonshift.Fingerprint) (query, headers wigeonshift.Fingerprint) { return 0, 0 })
		Expect(judge(0, 0)).To(Equal(VerdictRefuse))
		Expect(judge(1, 0)).To(Equal(VerdictSend))
	})

	It("suspects a query or headers if the rest changes", func() {
		addCrashes(3, func(k wigeonshift.Fingerprint) (query, headers wigeonshift.Fingerprint) { return 0, k })
		Expect(judge(0, 9)).To(Equal(VerdictTry))
		Expect(judge(0, 1)).To(Equal(VerdictRefuse), "an endpoint crashed under this very request")
		Expect(judge(9, 9)).To(Equal(VerdictSend))
	})

	It("suspects a content of which two variants crash endpoints", func() {
		addCrashes(3, func(wigeonshift.Fingerprint) (query, headers wigeonshift.Fingerprint) { return 0, 0 })
		addCrashes(3, func(wigeonshift.Fingerprint) (query, headers wigeonshift.Fingerprint) { return 1, 1 })
		Expect(judge(2, 2)).To(Equal(VerdictTry))
	})

	It("sends variants that were answered, but not for headers that are suspected", func() {
		addCrashes(3, func(k wigeonshift.Fingerprint) (query, headers wigeonshift.Fingerprint) { return k, 0 })
		sound := sharedCrash(7, 0, "")
		answers.Add(0, Identifiers(sound.Fingerprint, sound.Shared, nil))
		Expect(judge(7, 0)).To(Equal(VerdictSend))
		Expect(judge(7, 3)).To(Equal(VerdictSend), "its query was answered")
		Expect(judge(8, 0)).To(Equal(VerdictTry))
	})

	// An endpoint that ended for another reason had a sound request of the same content.
	It("doesn't suspect a content of which variants were answered if one variant explains all crashes but one", func() {
		r.Add(sharedCrash(0, 0, "e0@0"))
		r.Add(sharedCrash(0, 0, "e1@0"))
		r.Add(sharedCrash(1, 0, "e2@0"))
		Expect(judge(2, 0)).To(Equal(VerdictTry))
		Expect(r.MayBeOneVariant(sharedCrash(2, 0, "").Shared)).To(BeTrue())
		sound := sharedCrash(3, 0, "")
		answers.Add(0, Identifiers(sound.Fingerprint, sound.Shared, nil))
		Expect(judge(2, 0)).To(Equal(VerdictSend))
		r.Add(sharedCrash(4, 0, "e3@0"))
		r.Add(sharedCrash(5, 0, "e4@0"))
		Expect(judge(2, 0)).To(Equal(VerdictTry))
		Expect(r.MayBeOneVariant(sharedCrash(2, 0, "").Shared)).To(BeFalse())
	})

	It("forgets what was shared when crashes are removed or expire", func() {
		addCrashes(3, func(k wigeonshift.Fingerprint) (query, headers wigeonshift.Fingerprint) { return k, 0 })
		Expect(judge(8, 0)).To(Equal(VerdictTry))
		c := sharedCrash(0, 0, "e0@0")
		r.RemoveCrash(c.Fingerprint, c.Endpoint)
		Expect(judge(8, 0)).To(Equal(VerdictSend))
		r.Add(c)
		Expect(judge(8, 0)).To(Equal(VerdictTry))
		Expect(r.Expire(c.At.Add(quarantineLifetime + time.Second))).To(HaveLen(3))
		Expect(r.variants).To(BeEmpty())
	})

	It("bounds the variants that it keeps", func() {
		for n := range wigeonshift.Fingerprint(2 * maxVariants) {
			r.Add(sharedCrash(n, 0, "e@"+n.String()))
		}
		Expect(r.variants[1]).To(HaveLen(maxVariants))
		last := wigeonshift.Fingerprint(2*maxVariants - 1)
		unindexed := sharedCrash(last, 0, "e@"+last.String())
		Expect(r.Related(unindexed)).To(ConsistOf(unindexed), "it is shared with other instances all the same")
	})
})

var _ = Describe("AnswerCounter", func() {
	It("forgets answers after a while, and sooner when there are many", func() {
		a := NewAnswerCounter()
		a.Add(0, []wigeonshift.Fingerprint{7})
		a.Add(answerMemory+1, []wigeonshift.Fingerprint{8})
		Expect(a.Count(7)).To(Equal(1))
		a.Add(2*answerMemory+2, []wigeonshift.Fingerprint{9})
		Expect(a.Count(7)).To(BeZero())
		Expect(a.Count(8)).To(Equal(1))
		for f := range wigeonshift.Fingerprint(3 * maxAnswered) {
			a.Add(2*answerMemory+3, []wigeonshift.Fingerprint{100 + f})
		}
		Expect(len(a.current) + len(a.previous)).To(BeNumerically("<=", 2*maxAnswered))
	})
})
