package wigeonconfig

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"time"

	"wigeonshift"
)

// Sizes of generated API key ids and secrets.
const (
	keyIDBytes  = 8
	secretBytes = 24
)

// NewAPIKey returns the stored form of a secret, hashed with a new salt.
func NewAPIKey(secret string) wigeonshift.APIKey {
	salt := make([]byte, saltBytes)
	// rand.Read never returns an error.
	_, _ = rand.Read(salt)
	return wigeonshift.APIKey{Salt: hex.EncodeToString(salt), Hash: hex.EncodeToString(hashSecret(salt, secret))}
}

// GenerateAPIKey generates an API key. Callers send the id and secret in the form of FormatAPIKey; the configuration
// contains only the stored form.
func GenerateAPIKey() (id, secret string, stored wigeonshift.APIKey) {
	raw := make([]byte, keyIDBytes+secretBytes)
	_, _ = rand.Read(raw)
	id, secret = hex.EncodeToString(raw[:keyIDBytes]), hex.EncodeToString(raw[keyIDBytes:])
	return id, secret, NewAPIKey(secret)
}

// FormatAPIKey returns the key in the form that callers send.
func FormatAPIKey(id, secret string) string {
	return id + "." + secret
}

// VerifyAPIKey reports whether a secret matches a stored key and the key has not expired at a time.
func VerifyAPIKey(k wigeonshift.APIKey, secret string, at time.Time) bool {
	salt, err := hex.DecodeString(k.Salt)
	if err != nil {
		return false
	}
	hash, err := hex.DecodeString(k.Hash)
	if err != nil {
		return false
	}
	same := subtle.ConstantTimeCompare(hash, hashSecret(salt, secret)) == 1
	return same && (k.NotAfter.IsZero() || at.Before(k.NotAfter))
}

func hashSecret(salt []byte, secret string) []byte {
	sum := sha256.Sum256(append(salt[:len(salt):len(salt)], secret...))
	return sum[:]
}

// Caller identifies the owner of an API key.
type Caller struct {
	Product      string
	Organisation string
	KeyID        string
}
