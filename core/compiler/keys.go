package compiler

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
)

const (
	// SaltSize is the size of the salt of a batch, in bytes.
	SaltSize = 16
	// KeyHashSize is the size of the hash of a key in a batch, in bytes.
	KeyHashSize = 16
	// MaxKeySize is the maximum size of a key, in bytes.
	MaxKeySize = 512
)

// NewSalt returns a random salt.
func NewSalt() []byte {
	salt := make([]byte, SaltSize)
	_, _ = rand.Read(salt) // never returns an error
	return salt
}

// CheckKey returns an error if key cannot be sent as a token in a header field. The error does not contain the key.
func CheckKey(key string) error {
	if key == "" {
		return errors.New("is empty")
	}
	if len(key) > MaxKeySize {
		return errors.New("is too long")
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return errors.New("has a character other than printable ASCII without spaces")
		}
	}
	return nil
}

// DigestKey returns the digest of a key that edits carry. It does not depend on the salt, which is known only when the edit
// is applied.
func DigestKey(key string) []byte {
	digest := sha256.Sum256([]byte(key))
	return digest[:]
}

// HashDigest returns the hash of a key in a batch with the given salt.
func HashDigest(salt, digest []byte) []byte {
	mac := hmac.New(sha256.New, salt)
	mac.Write(digest)
	return mac.Sum(nil)[:KeyHashSize]
}

// hashKey returns the hash of a key in a batch with the given salt.
func hashKey(salt []byte, key string) [KeyHashSize]byte {
	return [KeyHashSize]byte(HashDigest(salt, DigestKey(key)))
}
