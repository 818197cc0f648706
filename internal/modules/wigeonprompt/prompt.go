// Package wigeonprompt estimates the length of prompts and hashes them, in the same way for entry instances and engines.
package wigeonprompt

import (
	"encoding/binary"

	"wigeonshift"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is the number of bytes of text counted as one token.
const BytesPerToken = 4

// BlockBytes is the number of prompt bytes in one block of the prefix index.
const BlockBytes = BytesPerToken * wigeonshift.PrefixBlockTokens

// Tokens returns the estimated number of tokens of a prompt, at least 1.
func Tokens(prompt string) int {
	return max(1, (len(prompt)+BytesPerToken-1)/BytesPerToken)
}

// PrefixHashes returns a hash for each complete block of the prompt. Each hash covers the model and the prompt up to the
// end of the block.
func PrefixHashes(model, prompt string) []wigeonshift.BlockHash {
	count := len(prompt) / BlockBytes
	if count == 0 {
		return nil
	}
	hashes := make([]wigeonshift.BlockHash, count)
	var digest xxhash.Digest
	digest.Reset()
	writeLengthPrefixed(&digest, model)
	for i := range hashes {
		// Writing to a digest never fails.
		_, _ = digest.WriteString(prompt[i*BlockBytes : (i+1)*BlockBytes])
		hashes[i] = wigeonshift.BlockHash(digest.Sum64())
	}
	return hashes
}

// Fingerprint returns a hash of several parts. It includes the length of each part, so that the same text split
// differently gives another fingerprint.
func Fingerprint(parts ...string) wigeonshift.Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range parts {
		writeLengthPrefixed(&digest, part)
	}
	return wigeonshift.Fingerprint(digest.Sum64())
}

// BodyFingerprint returns the Fingerprint of several parts and a body as the last one, without a copy of the body.
func BodyFingerprint(body []byte, parts ...string) wigeonshift.Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range parts {
		writeLengthPrefixed(&digest, part)
	}
	writeLength(&digest, len(body))
	_, _ = digest.Write(body)
	return wigeonshift.Fingerprint(digest.Sum64())
}

func writeLengthPrefixed(digest *xxhash.Digest, part string) {
	writeLength(digest, len(part))
	_, _ = digest.WriteString(part)
}

func writeLength(digest *xxhash.Digest, n int) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(n))
	_, _ = digest.Write(length[:])
}
