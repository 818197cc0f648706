package wigeonconfig

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"time"

	"wigeonshift"
)

// Sizes of generated API keys.
const (
	keyIDBytes  = 8
	secretBytes = 24
)

// NewAPIKey returns the stored form of a secret, with a fresh salt.
func NewAPIKey(secret string) wigeonshift.APIKey {
	salt := make([]byte, saltBytes)
	// Read never fails; see crypto/rand.
	_, _ = rand.Read(salt)
	return wigeonshift.APIKey{Salt: hex.EncodeToString(salt), Hash: hex.EncodeToString(hashSecret(salt, secret))}
}

// GenerateAPIKey makes a fresh key. The caller presents id and secret joined by FormatAPIKey; only the stored form
// goes into the configuration.
func GenerateAPIKey() (id, secret string, stored wigeonshift.APIKey) {
	raw := make([]byte, keyIDBytes+secretBytes)
	_, _ = rand.Read(raw)
	id, secret = hex.EncodeToString(raw[:keyIDBytes]), hex.EncodeToString(raw[keyIDBytes:])
	return id, secret, NewAPIKey(secret)
}

// FormatAPIKey returns the key as callers present it.
func FormatAPIKey(id, secret string) string {
	return id + "." + secret
}

// VerifyAPIKey reports whether a secret belongs to a stored key that is valid at a time.
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

// Caller is who presented an API key.
type Caller struct {
	Product      string
	Organisation string
	KeyID        string
}
