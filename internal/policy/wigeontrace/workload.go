package wigeontrace

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"wigeonshift"

	"github.com/cespare/xxhash/v2"
)

// kind is one sort of request of a workload.
type kind struct {
	rank        wigeonshift.TierRank
	interactive bool
	// share is the kind's part of the offered load.
	share float64
	// shared is the length of the prefix that requests of one subject share, own what comes after it.
	shared         [2]int
	own            [2]int
	output         [2]int
	deadline       time.Duration
	subjects       int
	model          string
	expectedCached float64
}

// mean is the middle of a range.
func mean(r [2]int) float64 { return float64(r[0]+r[1]) / 2 }

// window is a time in which a kind arrives with a factor of its ordinary rate.
type window struct {
	from, to time.Duration
	factor   float64
}

// workload makes a trace's requests.
type workload struct {
	product       string
	kinds         []kind
	organisations []string
	// weights are the organisations' shares of the requests.
	weights []float64
	engines []Engine
	random  *rand.Rand
}

// cost is the part of all engines' time that one request of a kind takes, in seconds.
func (w *workload) cost(k *kind) float64 {
	prefill, decode := 0.0, 0.0
	for i := range w.engines {
		prefill += w.engines[i].PrefillRate
		decode += w.engines[i].DecodeRate()
	}
	uncached := mean(k.own) + mean(k.shared)*(1-k.expectedCached)
	return uncached/prefill + mean(k.output)/decode
}

// arrivals draws the requests of all kinds for a duration; load is the offered load in ordinary time.
func (w *workload) arrivals(load float64, duration time.Duration, windows map[wigeonshift.TierRank][]window) []Request {
	var requests []Request
	for n := range w.kinds {
		k := &w.kinds[n]
		rate := load * k.share / w.cost(k)
		peak := 1.0
		for _, x := range windows[k.rank] {
			peak = math.Max(peak, x.factor)
		}
		at := 0.0
		for {
			at += w.random.ExpFloat64() / (rate * peak)
			t := time.Duration(at * float64(time.Second))
			if t >= duration {
				break
			}
			if w.random.Float64()*peak > factorAt(windows[k.rank], t) {
				continue
			}
			requests = append(requests, w.request(k, n, t))
		}
	}
	slices.SortStableFunc(requests, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	for i := range requests {
		requests[i].ID = wigeonshift.RequestID(fmt.Sprintf("r%06d", i))
		w.fill(&requests[i])
	}
	return requests
}

// factorAt is the arrival factor of a kind at a time.
func factorAt(windows []window, at time.Duration) float64 {
	for _, x := range windows {
		if at >= x.from && at < x.to {
			return x.factor
		}
	}
	return 1
}

// between draws from a range, evenly in the logarithm.
func (w *workload) between(r [2]int) int {
	if r[1] <= r[0] {
		return r[0]
	}
	lo, hi := math.Log(float64(r[0])), math.Log(float64(r[1]))
	return int(math.Exp(lo + w.random.Float64()*(hi-lo)))
}

// request draws one request of a kind.
func (w *workload) request(k *kind, n int, at time.Duration) Request {
	organisation := w.pick()
	subject := w.subject(k.subjects)
	shared := subjectLength(k, subject)
	own, output := w.between(k.own), w.between(k.output)
	r := Request{
		At: at, Organisation: w.organisations[organisation], Rank: k.rank, Model: k.model, Interactive: k.interactive,
		PromptTokens: shared + own, OutputTokens: output, MaxTokens: int(float64(output) * (1 + w.random.Float64())),
		Deadline: k.deadline, Fingerprint: wigeonshift.Fingerprint(w.random.Uint64() | 1),
	}
	// The hash of the shared part stands first; fill adds the rest once the request has its id.
	name := fmt.Sprintf("%s/%s/%d/%d/%d", w.product, k.model, k.shared, organisation, subject)
	if k.subjects > 0 {
		name = fmt.Sprintf("%s/%s/schema/%d", w.product, k.model, subject)
	}
	r.Prefix = blocks(name, 0, shared/wigeonshift.PrefixBlockTokens)
	_ = n
	return r
}

// fill adds the blocks of the part of the prompt that is the request's own.
func (w *workload) fill(r *Request) {
	whole := r.PromptTokens / wigeonshift.PrefixBlockTokens
	r.Prefix = append(r.Prefix, blocks(w.product+string(r.ID), len(r.Prefix), whole)...)
}

// blocks returns the hashes of a text's blocks from one index up to another.
func blocks(name string, from, to int) []wigeonshift.BlockHash {
	base := xxhash.Sum64String(name)
	hashes := make([]wigeonshift.BlockHash, 0, max(0, to-from))
	for i := from; i < to; i++ {
		hashes = append(hashes, wigeonshift.BlockHash(base+uint64(i)*0x9e3779b97f4a7c15))
	}
	return hashes
}

// pick draws an organisation by weight.
func (w *workload) pick() int {
	x := w.random.Float64()
	for i, weight := range w.weights {
		if x -= weight; x < 0 {
			return i
		}
	}
	return len(w.weights) - 1
}

// subject draws a subject; low numbers are drawn more often.
func (w *workload) subject(n int) int {
	if n <= 1 {
		return 0
	}
	return int(float64(n) * math.Pow(w.random.Float64(), 2))
}

// subjectLength is the length of a subject's shared prefix in whole blocks, the same for all its requests.
func subjectLength(k *kind, subject int) int {
	span := k.shared[1] - k.shared[0]
	length := k.shared[0]
	if span > 0 {
		length += int(uint64(subject+1) * 2654435761 % uint64(span))
	}
	return length / wigeonshift.PrefixBlockTokens * wigeonshift.PrefixBlockTokens
}
