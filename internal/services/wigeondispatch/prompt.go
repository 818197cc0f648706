package wigeondispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// keptPromptTime is how long an endpoint is expected to keep a part of a prompt after its last use.
	keptPromptTime = 10 * time.Second
	// maxKeptParts limits the parts that are remembered for each endpoint.
	maxKeptParts = 1024
	// homeMaxLoadShare is the share of its slots up to which the home of a prompt may be used by instances of other groups. Their
	// reports of its load are old, so that it would get too many requests beyond it.
	homeMaxLoadShare = 0.5
	// minDistantHomeShare is the share of its prompt in shared parts from which a request may go to a home in another group. With
	// less to save, the old reports of that endpoint's load do more harm.
	minDistantHomeShare = 0.25
)

// promptKey identifies the start of a prompt up to the end of one of its parts.
type promptKey uint64

// newPromptKeys returns the keys of the parts of a prompt. Each depends on all parts up to it, because an endpoint can use a
// part that it keeps only after the same parts.
func newPromptKeys(j *Job) []promptKey {
	if len(j.PromptParts) == 0 {
		return nil
	}
	keys := make([]promptKey, 0, len(j.PromptParts))
	h := xxhash.New()
	for _, part := range j.PromptParts {
		_, _ = h.WriteString(part.ID) // A hash never fails to write.
		_, _ = h.WriteString("/")
		keys = append(keys, promptKey(h.Sum64()))
	}
	return keys
}

// keptPrompts holds the parts of prompts that an endpoint keeps, as this instance expects from the requests that it sent there.
// A wrong expectation costs the time to read a part and nothing else.
type keptPrompts struct {
	// usedAt holds the time of the last use of each part.
	usedAt map[promptKey]time.Duration
}

// record records that a request with these parts was sent to the endpoint.
func (k *keptPrompts) record(keys []promptKey, at time.Duration) {
	if len(keys) == 0 {
		return
	}
	if k.usedAt == nil {
		k.usedAt = map[promptKey]time.Duration{}
	}
	if len(k.usedAt)+len(keys) > maxKeptParts {
		k.expire(at)
	}
	for _, key := range keys {
		k.usedAt[key] = at
	}
}

// expire forgets the parts that are no longer expected to be kept, and all if most still are.
func (k *keptPrompts) expire(at time.Duration) {
	for key, usedAt := range k.usedAt {
		if at-usedAt > keptPromptTime {
			delete(k.usedAt, key)
		}
	}
	if len(k.usedAt) > maxKeptParts/2 {
		clear(k.usedAt)
	}
}

// expireKeptPrompts forgets what endpoints are no longer expected to keep, so that the parts remembered for all endpoints are
// those of the requests of twice keptPromptTime.
func (s *State) expireKeptPrompts() {
	if s.now-s.promptsExpiredAt < keptPromptTime {
		return
	}
	s.promptsExpiredAt = s.now
	for _, e := range s.endpoints {
		e.kept.expire(s.now)
	}
}

// tokens returns the number of tokens at the start of a request's prompt that the endpoint is expected to keep.
func (k *keptPrompts) tokens(j *Job, at time.Duration) int {
	sum := 0
	for n, key := range j.promptKeys {
		usedAt, known := k.usedAt[key]
		if !known || at-usedAt > keptPromptTime {
			break
		}
		sum += j.PromptParts[n].Tokens
	}
	return min(sum, j.PromptTokens)
}

// keptTokens returns the number of tokens at the start of a request's prompt that an endpoint is expected to keep, or was when the
// request was last sent there.
func (s *State) keptTokens(e *endpoint, j *Job) int {
	if e == j.lastEndpoint {
		return j.keptTokens
	}
	return e.kept.tokens(j, s.now)
}

// sharedParts returns the number of parts at the start of a request's prompt that other requests are expected to have too. The
// last part of several belongs to the request or its session alone.
func (j *Job) sharedParts() int {
	if len(j.promptKeys) < 2 {
		return len(j.promptKeys)
	}
	return len(j.promptKeys) - 1
}

// mayUseDistantHome reports whether a request has enough shared parts to go to a home in another group.
func (j *Job) mayUseDistantHome() bool {
	return float64(j.sharedTokens()) >= minDistantHomeShare*float64(j.PromptTokens)
}

// sharedTokens returns the number of tokens in the shared parts of a request's prompt.
func (j *Job) sharedTokens() int {
	sum := 0
	for _, part := range j.PromptParts[:j.sharedParts()] {
		sum += part.Tokens
	}
	return min(sum, j.PromptTokens)
}

// homeDistance orders the endpoints for the shared parts of a request's prompt; the nearest is their home. It is a weighted
// rendezvous hash: an endpoint is the home of a share of all prompts that grows with its speed.
func (e *endpoint) homeDistance(key promptKey) float64 {
	return -math.Log(uniform(e.hash^uint64(key))) * e.coarseDecodeStep()
}

// uniform maps a number to one between 0 and 1, by the last steps of the SplitMix64 generator. Similar numbers give unrelated
// results.
func uniform(x uint64) float64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	// The upper 53 bits fit into a float64.
	return (float64(x>>11) + 0.5) / (1 << 53)
}

// coarseDecodeStep returns the time for one output token, rounded to a power of two, so that instances with slightly different
// measurements agree.
func (e *endpoint) coarseDecodeStep() float64 {
	return math.Exp2(math.Round(math.Log2(float64(max(e.decodeStep, 1)))))
}

// home returns the endpoint of a service where all instances send requests with the same shared parts of the prompt unless it is
// busier than others, so that the parts are read once. It is nil if a request has none.
func (p *pool) home(j *Job) *endpoint {
	if len(j.promptKeys) == 0 {
		return nil
	}
	if j.homeGeneration == p.generation {
		return j.home
	}
	key := j.promptKeys[j.sharedParts()-1]
	j.home, j.homeGeneration = nil, p.generation
	least := math.Inf(1)
	for _, e := range p.endpoints {
		if e.isLeaving() {
			continue
		}
		if distance := e.homeDistance(key); distance < least {
			j.home, least = e, distance
		}
	}
	return j.home
}

// promptSaving returns the cost that an endpoint is expected to save because it keeps the start of a request's prompt, in
// nanoseconds. It is the time to read that start for each slot, because reading delays the requests in all of them. The home saves
// the shared parts even if it doesn't keep them yet, because later requests with the same parts are sent there too.
func (e *endpoint) promptSaving(j *Job, home *endpoint, at time.Duration) float64 {
	tokens := float64(e.kept.tokens(j, at))
	if e == home {
		tokens = max(tokens, float64(j.sharedTokens()))
	}
	return tokens * float64(e.slots()) * float64(e.prefill)
}
