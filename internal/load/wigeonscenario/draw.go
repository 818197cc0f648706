package wigeonscenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"

	"wigeonshift/internal/modules/wigeonprompt"
)

// maxPathNumber bounds the number drawn for a path.
const maxPathNumber = 500

// Draw is one request of a class.
type Draw struct {
	Class *Class
	// Prompt is a completion's prompt, or the text of a chat's one message.
	Prompt    string
	MaxTokens int
	// Path and Body belong to calls.
	Path string
	Body string
	// Key is the Idempotency-Key, empty for idempotent requests.
	Key string
}

// Source draws the requests of one class in order.
type Source struct {
	class  *Class
	random *rand.Rand
	seed   uint64
	serial int
}

// Source returns the requests of a class; each part of a class has a stream of its own.
func (s *Scenario) Source(class, part int) *Source {
	c := &s.Classes[class]
	id := wigeonprompt.Fingerprint(s.Name, c.Name, strconv.Itoa(class), strconv.Itoa(part))
	return &Source{class: c, random: rand.New(rand.NewPCG(s.Seed, uint64(id))), seed: s.Seed ^ uint64(id)}
}

// Random returns the source's random numbers.
func (s *Source) Random() *rand.Rand {
	return s.random
}

// Next draws a request.
func (s *Source) Next() Draw {
	s.serial++
	d := Draw{Class: s.class}
	if s.class.Kind == KindCall {
		s.drawCall(&d)
		return d
	}
	d.MaxTokens = s.class.Answer.draw(s.random)
	tokens := s.class.Prompt.draw(s.random)
	d.Prompt = s.sharedPrefix() + s.unique(tokens)
	return d
}

func (s *Source) drawCall(d *Draw) {
	number := s.random.IntN(maxPathNumber)
	d.Path = s.class.Call.Path
	if strings.Contains(d.Path, "%d") {
		d.Path = fmt.Sprintf(d.Path, number)
	}
	if s.class.Call.NonIdempotent {
		d.Key = fmt.Sprintf("%x-%d", s.seed, s.serial)
		d.Body = fmt.Sprintf(`{"boat":%d,"quantity":%d,"key":%q}`, number, 1+s.random.IntN(9), d.Key)
	}
}

// sharedPrefix draws one of the class's prefixes; an organisation's classes of one name share them.
func (s *Source) sharedPrefix() string {
	if s.class.Shared.Prefixes == 0 {
		return ""
	}
	number := s.random.IntN(s.class.Shared.Prefixes)
	seed := wigeonprompt.Fingerprint(s.class.Organisation, s.class.Name, strconv.Itoa(number))
	return words(rand.New(rand.NewPCG(uint64(seed), 0)), s.class.Shared.Tokens)
}

// unique returns text that no other request has, unless it is very short.
func (s *Source) unique(tokens int) string {
	return words(s.random, tokens)
}

// draw returns a length of at least Min and at most Max.
func (l Lengths) draw(random *rand.Rand) int {
	low, high := math.Log(float64(l.Min)), math.Log(float64(l.Max)+1)
	n := int(math.Exp(low + random.Float64()*(high-low)))
	return min(max(n, l.Min), l.Max)
}

// words returns random text of a number of tokens.
func words(random *rand.Rand, tokens int) string {
	const letters = "abcdefghijklmnopqrstuvwxyzaeioun"
	text := make([]byte, tokens*wigeonprompt.BytesPerToken)
	bits, left := uint64(0), 0
	for i := range text {
		if left == 0 {
			bits, left = random.Uint64(), 12
		}
		text[i] = letters[bits%uint64(len(letters))]
		bits >>= 5
		left--
	}
	return string(text)
}
