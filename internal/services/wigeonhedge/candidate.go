package wigeonhedge

import (
	"errors"
	"math/bits"

	"wigeonshift"
)

// ErrNotRepeatable reports that a request must not run twice, so that it can't be hedged.
var ErrNotRepeatable = errors.New("request must not run twice")

// Request is what decides whether a request may be hedged, and to which class it belongs.
type Request struct {
	Kind wigeonshift.RouteKind
	// Resumable is set for streams that another endpoint can continue.
	Resumable      bool
	Service, Route string
	PromptTokens   int
}

// Candidate is a request that may be hedged. NewCandidate is the only way to one, so that there is none for a request that must not
// run twice. The zero value belongs to no class, and has no delay.
type Candidate struct{ class class }

// IsValid reports whether the candidate comes from NewCandidate.
func (c Candidate) IsValid() bool { return c.class != class{} }

// class identifies requests whose answers take about as long.
type class struct {
	service, route string
	// size is 1 for prompts of up to smallPromptTokens, and grows by one for each factor of four.
	size int
}

const (
	// smallPromptTokens is the largest prompt of the lowest size class.
	smallPromptTokens = 255
	// sizeClassBits is the binary logarithm of the factor between size classes.
	sizeClassBits = 2
	// maxSizeClass is the class of all prompts from 256 Ki tokens on.
	maxSizeClass = 6
)

// NewCandidate returns the candidate for a request, and ErrNotRepeatable for one that is neither idempotent nor a resumable stream.
func NewCandidate(r Request) (Candidate, error) {
	isRepeatable := r.Kind == wigeonshift.RouteIdempotent || r.Kind == wigeonshift.RouteStreaming && r.Resumable
	if !isRepeatable {
		return Candidate{}, ErrNotRepeatable
	}
	return Candidate{class: class{service: r.Service, route: r.Route, size: sizeClass(r.PromptTokens)}}, nil
}

func sizeClass(promptTokens int) int {
	excess := bits.Len(uint(max(promptTokens, 0) / (smallPromptTokens + 1)))
	return min(1+(excess+sizeClassBits-1)/sizeClassBits, maxSizeClass)
}
