package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// fingerprintBytes is the length of a Fingerprint. It makes collisions impractical, also for callers who search for them.
const fingerprintBytes = 16

// Fingerprint identifies requests that are the same to a replica, whoever received them. It is the beginning of a
// SHA-256 hash, so that all instances and all builds compute the same value.
type Fingerprint [fingerprintBytes]byte

// NewFingerprint returns the fingerprint of a request with the given fields, whose order and number matter.
func NewFingerprint(fields ...[]byte) Fingerprint {
	hash := sha256.New()
	var length [8]byte
	for _, field := range fields {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		hash.Write(length[:]) // a Hash returns no errors
		hash.Write(field)
	}
	return Fingerprint(hash.Sum(nil)[:fingerprintBytes])
}

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText encodes the fingerprint in hexadecimal digits.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText accepts what MarshalText writes.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(fingerprintBytes) {
		return fmt.Errorf("fingerprint has %d digits; it must have %d", len(text), hex.EncodedLen(fingerprintBytes))
	}
	_, err := hex.Decode(f[:], text)
	return err
}
