// Package customer holds the customers of one version of the configuration: their names, the digests of their API keys,
// their priorities and their rate limits.
//
// A Registry belongs to one version of the configuration, is immutable and is replaced as a whole. Keys are kept only as
// digests, so that neither a log line nor a message between instances can contain one. The package does no I/O.
package customer

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"unicode"
)

// KeyDigest is the SHA-256 digest of an API key.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// MarshalText encodes the digest in hexadecimal.
func (d KeyDigest) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(d[:])), nil }

// UnmarshalText accepts the texts that MarshalText writes.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(d) {
		return fmt.Errorf("digest of a key has %d characters instead of %d", len(text), hex.EncodedLen(len(d)))
	}
	_, err := hex.Decode(d[:], text)
	return err
}

// Customer is one customer. Values are immutable.
type Customer struct {
	Name string `json:"name"`
	// Keys are the digests of the customer's API keys.
	Keys []KeyDigest `json:"keys"`
	// Priority takes the place of the priority of the route; nil means that the route's applies.
	Priority *int `json:"priority,omitempty"`
	// Rate is the number of requests a second that the customer may send to all instances together, beside Burst; 0 means
	// no limit.
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
}

// Limited reports whether the customer has a rate limit; a nil customer has none.
func (c *Customer) Limited() bool { return c != nil && c.Rate > 0 }

// Registry finds customers by their keys. A nil registry stands for a configuration without customers, in which
// requests need no key.
type Registry struct {
	customers []Customer
	byKey     map[KeyDigest]*Customer
	byName    map[string]*Customer
}

// NewRegistry returns a registry that takes ownership of the customers. It returns an error if two customers have the
// same name or hold the same key, or if a name cannot be sent in a header.
func NewRegistry(customers []Customer) (*Registry, error) {
	r := &Registry{customers: customers, byKey: make(map[KeyDigest]*Customer), byName: make(map[string]*Customer, len(customers))}
	for i := range customers {
		c := &customers[i]
		if c.Name == "" || strings.TrimSpace(c.Name) != c.Name || strings.ContainsFunc(c.Name, unicode.IsControl) {
			return nil, fmt.Errorf("customer has the unusable name %.64q", c.Name)
		}
		if _, found := r.byName[c.Name]; found {
			return nil, fmt.Errorf("two customers have the name %.64q", c.Name)
		}
		r.byName[c.Name] = c
		for _, digest := range c.Keys {
			if other := r.byKey[digest]; other != nil && other != c {
				return nil, fmt.Errorf("customers %.64q and %.64q hold the same key", other.Name, c.Name)
			}
			r.byKey[digest] = c
		}
	}
	return r, nil
}

// ByKey returns the customer that holds the key; nil if there is none or the key is empty. The time that it takes does not
// depend on how much of the key matches, because only its digest is compared.
func (r *Registry) ByKey(key string) *Customer {
	if key == "" {
		return nil
	}
	return r.byKey[DigestOf(key)]
}

// ByName returns the customer with the name; nil if there is none, or for a nil registry.
func (r *Registry) ByName(name string) *Customer {
	if r == nil {
		return nil
	}
	return r.byName[name]
}

// All returns all customers in the order of the configuration. The slice must not be changed.
func (r *Registry) All() []Customer {
	if r == nil {
		return nil
	}
	return r.customers
}
