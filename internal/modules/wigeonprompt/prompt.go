// Package wigeonprompt measures and identifies prompts, alike for entry instances and engines.
package wigeonprompt

import (
	"encoding/binary"

	"wigeonshift"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is the length of the text that counts as one token.
const BytesPerToken = 4

// BlockBytes is the length of the text in one block of the prefix index.
const BlockBytes = BytesPerToken * wigeonshift.PrefixBlockTokens

// Tokens returns the estimated length of a prompt in tokens; at least 1.
func Tokens(prompt string) int {
	return max(1, (len(prompt)+BytesPerToken-1)/BytesPerToken)
}

// PrefixHashes returns the hashes of the prompt's whole blocks from the start. Each covers the model and all text
// up to the block's end.
func PrefixHashes(model, prompt string) []wigeonshift.BlockHash {
	count := len(prompt) / BlockBytes
	if count == 0 {
		return nil
	}
	hashes := make([]wigeonshift.BlockHash, count)
	var digest xxhash.Digest
	digest.Reset()
	writePart(&digest, model)
	for i := range hashes {
		// WriteString and Write of a digest never fail.
		_, _ = digest.WriteString(prompt[i*BlockBytes : (i+1)*BlockBytes])
		hashes[i] = wigeonshift.BlockHash(digest.Sum64())
	}
	return hashes
}

// Fingerprint identifies content that is made of parts. The lengths of the parts count, so that text can't move
// from one part to the next unnoticed.
func Fingerprint(parts ...string) wigeonshift.Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range parts {
		writePart(&digest, part)
	}
	return wigeonshift.Fingerprint(digest.Sum64())
}

func writePart(digest *xxhash.Digest, part string) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = digest.Write(length[:])
	_, _ = digest.WriteString(part)
}
