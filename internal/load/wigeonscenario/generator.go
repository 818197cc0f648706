package wigeonscenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"

	"wigeonshift/internal/modules/wigeonprompt"
)

// pathNumberCount is the number of different values that replace %d in the path of a call.
const pathNumberCount = 500

// Request is one generated request of a class.
type Request struct {
	Class *Class
	// Prompt is the prompt of a completion, or the text of the only message of a chat.
	Prompt    string
	MaxTokens int
	// Path and Body are set for calls of plain services only.
	Path string
	Body string
	// IdempotencyKey is the value of the Idempotency-Key header. It is empty for idempotent requests.
	IdempotencyKey string
}

// Generator generates the requests of one part of a class. Generators of the same scenario, class and part generate the
// same requests.
type Generator struct {
	class    *Class
	random   *rand.Rand
	seed     uint64
	sequence int
}

// NewGenerator returns a generator for the class with the given index. Each part of a class, such as one caller, has
// its own random numbers.
func (s *Scenario) NewGenerator(class, part int) *Generator {
	c := &s.Classes[class]
	id := wigeonprompt.Fingerprint(s.Name, c.Name, strconv.Itoa(class), strconv.Itoa(part))
	return &Generator{class: c, random: rand.New(rand.NewPCG(s.Seed, uint64(id))), seed: s.Seed ^ uint64(id)}
}

// Random returns the random numbers of the generator. The timing of the requests uses them too.
func (g *Generator) Random() *rand.Rand {
	return g.random
}

// Next generates the next request.
func (g *Generator) Next() Request {
	g.sequence++
	r := Request{Class: g.class}
	if g.class.Kind == KindCall {
		g.fillCall(&r)
		return r
	}
	r.MaxTokens = g.class.Answer.sample(g.random)
	tokens := g.class.Prompt.sample(g.random)
	r.Prompt = g.sharedPrefix() + g.uniqueText(tokens)
	return r
}

// fillCall sets what only a call of a plain service has: the path, the body and the idempotency key.
func (g *Generator) fillCall(r *Request) {
	number := g.random.IntN(pathNumberCount)
	r.Path = g.class.Call.Path
	if strings.Contains(r.Path, "%d") {
		r.Path = fmt.Sprintf(r.Path, number)
	}
	if g.class.Call.NonIdempotent {
		r.IdempotencyKey = fmt.Sprintf("%x-%d", g.seed, g.sequence)
		r.Body = fmt.Sprintf(`{"boat":%d,"quantity":%d,"key":%q}`, number, 1+g.random.IntN(9), r.IdempotencyKey)
	}
}

// sharedPrefix returns one of the class's prefixes at random. Classes of an organisation that have the same name share
// their prefixes.
func (g *Generator) sharedPrefix() string {
	if g.class.Shared.Prefixes == 0 {
		return ""
	}
	number := g.random.IntN(g.class.Shared.Prefixes)
	seed := wigeonprompt.Fingerprint(g.class.Organisation, g.class.Name, strconv.Itoa(number))
	return randomText(rand.New(rand.NewPCG(uint64(seed), 0)), g.class.Shared.Tokens)
}

// uniqueText returns random text that no other request has, unless it is very short.
func (g *Generator) uniqueText(tokens int) string {
	return randomText(g.random, tokens)
}

// sample returns a random length from Min to Max, both included.
func (l Lengths) sample(random *rand.Rand) int {
	low, high := math.Log(float64(l.Min)), math.Log(float64(l.Max)+1)
	n := int(math.Exp(low + random.Float64()*(high-low)))
	return min(max(n, l.Min), l.Max)
}

// randomText returns random text with the given number of tokens.
func randomText(random *rand.Rand, tokens int) string {
	const letters = "abcdefghijklmnopqrstuvwxyzaeioun"
	text := make([]byte, tokens*wigeonprompt.BytesPerToken)
	bits, lettersLeft := uint64(0), 0
	for i := range text {
		if lettersLeft == 0 {
			// 64 random bits are enough for 12 letters of 5 bits each.
			bits, lettersLeft = random.Uint64(), 12
		}
		text[i] = letters[bits%uint64(len(letters))]
		bits >>= 5
		lettersLeft--
	}
	return string(text)
}
