package wigeonquarantine

import (
	"fmt"
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Parts of prompts, as features of requests.
const (
	deadly wigeonshift.Fingerprint = 1_000_001 + iota
	popular
	other
)

// partCrash returns the crash of an endpoint, some time after the first one, under a request with the given parts. No two of them
// have anything else in common.
func partCrash(endpoint int, after time.Duration, parts ...wigeonshift.Fingerprint) wigeonshift.Crash {
	unique := wigeonshift.Fingerprint(10_000*(endpoint+1)) + parts[0]%100 + wigeonshift.Fingerprint(after)<<20
	return wigeonshift.Crash{
		Fingerprint: unique, Shared: wigeonshift.SharedFingerprints{Content: unique + 1, Query: unique + 2, Headers: unique + 3},
		Features: parts, Endpoint: fmt.Sprint("e", endpoint, "@1"), At: day.Add(after),
	}
}

var _ = Describe("A cause of crashes", func() {
	var r *Record
	BeforeEach(func() { r = NewRecord(Limit) })
	// crash adds crashes of endpoints, one each second, under requests with the given parts.
	crash := func(first, n int, parts ...wigeonshift.Fingerprint) {
		for k := first; k < first+n; k++ {
			Expect(r.Add(partCrash(k, time.Duration(k)*time.Second, parts...))).To(BeTrue())
		}
	}
	answer := func(after time.Duration, features ...wigeonshift.Fingerprint) {
		for _, feature := range features {
			r.AddAnswer(wigeonshift.FeatureAnswer{Feature: feature, At: day.Add(after)})
		}
	}
	judge := func(parts ...wigeonshift.Fingerprint) Verdict {
		verdict, _ := r.JudgeFeatures(Identifiers(1, wigeonshift.SharedFingerprints{Content: 2, Query: 3, Headers: 4}, parts))
		return verdict
	}

	It("is a part that was at four crashes and never answered, whatever else the requests have", func() {
		crash(0, 3, deadly)
		Expect(judge(deadly)).To(Equal(VerdictSend))
		crash(3, 1, deadly)
		Expect(judge(deadly)).To(Equal(VerdictRefuse))
		Expect(judge(other, deadly)).To(Equal(VerdictRefuse))
		Expect(judge(other)).To(Equal(VerdictSend))
	})

	It("isn't a part that was answered before the crashes, or since, while another one was at all of them", func() {
		answer(-time.Second, popular)
		crash(0, 6, popular, deadly)
		Expect(judge(popular, deadly)).To(Equal(VerdictRefuse))
		Expect(judge(popular, other)).To(Equal(VerdictSend))
		r = NewRecord(Limit)
		crash(0, 6, popular, deadly)
		answer(10*time.Second, popular)
		Expect(judge(popular, deadly)).To(Equal(VerdictRefuse))
		Expect(judge(popular, other)).To(Equal(VerdictSend))
	})

	It("is tried in requests that have only one of two parts, as long as neither was answered", func() {
		crash(0, 4, popular, deadly)
		Expect(judge(popular, deadly)).To(Equal(VerdictRefuse), "it has both, so whichever is the cause")
		Expect(judge(popular)).To(Equal(VerdictTry))
		answer(10*time.Second, popular)
		Expect(judge(popular)).To(Equal(VerdictSend))
		Expect(judge(deadly)).To(Equal(VerdictRefuse))
	})

	It("is the part with another crash of its own if both were at the others", func() {
		crash(0, 4, popular, deadly)
		crash(4, 1, popular)
		Expect(judge(popular)).To(Equal(VerdictRefuse))
		Expect(judge(deadly)).To(Equal(VerdictTry), "it was never answered")
		answer(10*time.Second, deadly)
		Expect(judge(deadly)).To(Equal(VerdictSend))
	})

	It("is found beside parts of requests that ran on the same endpoints", func() {
		for k := range 6 {
			at := time.Duration(k) * time.Second
			r.Add(partCrash(k, at, deadly))
			if k > 0 {
				r.Add(partCrash(k, at, other))
			}
		}
		Expect(judge(deadly)).To(Equal(VerdictRefuse))
		Expect(judge(other)).To(Equal(VerdictTry), "it was never answered")
		answer(10*time.Second, other)
		Expect(judge(other)).To(Equal(VerdictSend))
	})

	It("may be one of two", func() {
		crash(0, 4, popular, deadly)
		crash(4, 4, popular, other)
		answer(10*time.Second, popular)
		Expect(judge(deadly)).To(Equal(VerdictRefuse))
		Expect(judge(other)).To(Equal(VerdictRefuse))
		Expect(judge(popular)).To(Equal(VerdictSend))
	})

	It("isn't a part that was beside two others which were never answered", func() {
		answer(-time.Second, popular)
		crash(0, 5, popular, deadly)
		crash(5, 5, popular, other)
		Expect(judge(popular)).To(Equal(VerdictSend))
		Expect(judge(popular, deadly)).To(Equal(VerdictRefuse))
		Expect(judge(popular, other)).To(Equal(VerdictRefuse))
	})

	// The endpoints of one rack end together, under everything that they ran.
	It("isn't certain if all endpoints ended at once", func() {
		for k := range 6 {
			r.Add(partCrash(k, time.Duration(k)*time.Millisecond, popular))
		}
		Expect(judge(popular)).To(Equal(VerdictTry))
		answer(time.Second, popular)
		Expect(judge(popular)).To(Equal(VerdictSend))
	})

	It("is refused after more crashes if it was answered before them", func() {
		answer(-time.Second, deadly)
		crash(0, answeredCauseLimit-1, deadly)
		Expect(judge(deadly)).To(Equal(VerdictTry))
		crash(answeredCauseLimit-1, 1, deadly)
		Expect(judge(deadly)).To(Equal(VerdictRefuse))
	})

	It("is only tried where a part is used otherwise than at the crashes", func() {
		const atService, ofOrganisation = 2_000_001, 2_000_002
		crash(0, 4, deadly, atService, ofOrganisation)
		Expect(judge(deadly, atService, ofOrganisation)).To(Equal(VerdictRefuse))
		Expect(judge(deadly, atService, 2_000_003)).To(Equal(VerdictTry), "another organisation")
		Expect(judge(deadly, 2_000_004, ofOrganisation)).To(Equal(VerdictTry), "another service")
		answer(10*time.Second, deadly, atService)
		Expect(judge(deadly, atService, ofOrganisation)).To(Equal(VerdictRefuse))
		Expect(judge(deadly, atService, 2_000_003)).To(Equal(VerdictSend))
	})

	// A caller could have a part refused that others use, by sending its own request with it.
	It("isn't a part if one content was at all crashes too", func() {
		for k := range 4 {
			c := partCrash(k, time.Duration(k)*time.Second, popular)
			c.Shared.Content = 99
			r.Add(c)
		}
		verdict, _ := r.JudgeFeatures(Identifiers(1, wigeonshift.SharedFingerprints{Content: 99}, []wigeonshift.Fingerprint{popular}))
		Expect(verdict).To(Equal(VerdictRefuse))
		Expect(judge(popular)).To(Equal(VerdictTry))
	})

	It("explains crashes that would make a content suspected", func() {
		sound := wigeonshift.SharedFingerprints{Content: 7, Query: 8, Headers: 9}
		for k := range 4 {
			c := partCrash(k, time.Duration(k)*time.Second, deadly)
			c.Shared.Content = sound.Content
			r.Add(c)
		}
		answer(10*time.Second, sound.Content)
		Expect(r.Judge(5, sound, NewAnswerCounter())).To(Equal(VerdictSend))
	})

	It("is kept longer than other crashes, and forgotten then", func() {
		crash(0, 4, deadly)
		crash(5, 1, other)
		Expect(r.Expire(day.Add(time.Hour))).To(HaveLen(1))
		Expect(judge(deadly)).To(Equal(VerdictRefuse))
		Expect(r.Expire(day.Add(quarantineLifetime + time.Minute))).To(HaveLen(4))
		Expect(r.requestsWith).To(BeEmpty())
		Expect(judge(deadly)).To(Equal(VerdictSend))
	})

	It("is found among parts without end", func() {
		for k := range 4 {
			at := time.Duration(k) * time.Second
			r.Add(partCrash(k, at, deadly))
			for n := range 500 {
				r.Add(partCrash(k, at, wigeonshift.Fingerprint(5_000_000+500*k+n)))
			}
		}
		Expect(judge(deadly)).To(Equal(VerdictRefuse))
		Expect(r.Causes()).To(HaveLen(1))
	})

	It("remembers nothing of requests without crashes", func() {
		crash(0, 2, popular)
		for n := range wigeonshift.Fingerprint(1000) {
			r.NeedsAnswer(9_000_000+n, day)
		}
		Expect(len(r.evidence)).To(BeNumerically("<=", len(r.requestsWith)))
	})

	It("needs answers once two endpoints crashed, and no more than one for each crash", func() {
		crash(0, 1, popular)
		Expect(r.NeedsAnswer(popular, day.Add(time.Second))).To(BeFalse())
		crash(1, 1, popular)
		Expect(r.NeedsAnswer(popular, day.Add(-time.Second))).To(BeTrue(), "none was known")
		answer(-time.Second, popular)
		Expect(r.NeedsAnswer(popular, day.Add(-time.Millisecond))).To(BeFalse(), "before the first crash")
		Expect(r.NeedsAnswer(popular, day.Add(2*time.Second))).To(BeTrue())
		answer(2*time.Second, popular)
		Expect(r.NeedsAnswer(popular, day.Add(3*time.Second))).To(BeFalse())
	})

	It("is cleared by an operator, with what explains the same crashes", func() {
		const atService = 2_000_001
		crash(0, 4, deadly, atService)
		Expect(judge(deadly, atService)).To(Equal(VerdictRefuse))
		writes, err := r.ClearingWrites(deadly, day.Add(time.Minute))
		Expect(err).NotTo(HaveOccurred())
		Expect(writes).To(HaveLen(2))
		for _, w := range writes {
			Expect(r.addRow(wigeonshift.TableRow{Key: w.Key, Value: w.Value})).To(Succeed())
		}
		Expect(judge(deadly, atService)).To(Equal(VerdictSend))
	})

	It("is read from the rows of the table", func() {
		crash(0, 4, deadly)
		rows := []wigeonshift.TableRow{{Key: "?"}, {Key: AnswerKey(other), Value: []byte("?")}}
		for _, c := range r.All() {
			rows = append(rows, rowOf(Default, c))
		}
		read, unreadable := RecordOf(rows)
		Expect(unreadable).To(Equal(2))
		Expect(read.Causes()).To(Equal(r.Causes()))
	})
})

var _ = Describe("A quarantined request", func() {
	It("is cleared by an operator", func() {
		r := NewRecord(Limit)
		for _, endpoint := range []string{"a@1", "b@1", "c@1"} {
			r.Add(crash(7, endpoint))
		}
		Expect(r.QuarantinedRequests()).To(ConsistOf(wigeonshift.Fingerprint(7)))
		Expect(r.ClearingWrites(7, day)).To(HaveLen(3))
		Expect(r.ClearingWrites(8, day)).To(BeEmpty())
	})
})

var _ = Describe("The index of features", func() {
	It("is bounded over all requests, and the crashes stay", func() {
		const parts = 63
		r := NewRecord(Limit)
		for n := range 2 * maxIndexedFeatures / parts {
			c := wigeonshift.Crash{Fingerprint: wigeonshift.Fingerprint(n + 1), Endpoint: "e", At: time.Unix(int64(n), 0)}
			for k := range parts {
				c.Features = append(c.Features, wigeonshift.Fingerprint(1_000_000+n*parts+k))
			}
			Expect(r.Add(c)).To(BeTrue())
		}
		Expect(len(r.requestsWith)).To(And(BeNumerically("<=", maxIndexedFeatures), BeNumerically(">", maxIndexedFeatures-2*parts)))
		Expect(r.crashes).To(HaveLen(2 * maxIndexedFeatures / parts))
		Expect(r.Crashes(1)[0].Features).To(BeEmpty(), "the first request")
		for _, c := range r.All() {
			r.Remove(c.Fingerprint)
		}
		Expect(r.requestsWith).To(BeEmpty())
		Expect(r.indexed).To(BeEmpty())
		Expect(r.indexedFeatures).To(BeZero())
	})
})
