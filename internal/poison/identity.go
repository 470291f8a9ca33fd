// Package poison recognizes requests that end the runners that run them: it knows the tries
// of one request by their content, counts the runners that ended under it, and keeps which
// contents are not run any more. It is pure: time is passed in, and nothing is sent from here.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"lilacvane/internal/backend"
	"lilacvane/internal/fault"
)

// Identity stands for the content of a request: all tries of one have the same, at every
// node. It is a cryptographic digest, so that nobody can give a request that of another.
type Identity [sha256.Size]byte

// Content is what makes two tries the same request. Headers are left out but for the caller,
// as clients may set others anew for each try.
type Content struct {
	Method string
	Host   string
	// Path is without the query.
	Path string
	// Query counts only where there is no body: with one, clients may use it to tell their
	// tries apart.
	Query string
	// Caller is the tenant, or else the key that came with the request; empty for none.
	Caller string
	// Unit is what runs it, where the node and not the client chose that: a new version of a
	// model may bear what the last one did not.
	Unit backend.Unit
	Body []byte
}

// Identity returns the content's digest.
func (c Content) Identity() Identity {
	query := c.Query
	if len(c.Body) > 0 {
		query = ""
	}
	digest := sha256.New()
	for _, part := range []string{c.Method, c.Host, c.Path, query, c.Caller, c.Unit.Model, c.Unit.Adapter} {
		// The length keeps parts from running into each other.
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		digest.Write(length[:])
		digest.Write([]byte(part))
	}
	digest.Write(c.Body)
	return Identity(digest.Sum(nil))
}

// ParseIdentity reads an identity in hexadecimal digits.
func ParseIdentity(text string) (Identity, error) {
	var identity Identity
	content, err := hex.DecodeString(text)
	if err != nil || len(content) != len(identity) {
		return identity, fault.New(fault.CodeInvalid, "parse identity", "not %d hexadecimal digits", 2*len(identity))
	}
	copy(identity[:], content)
	return identity, nil
}

// String returns the identity in hexadecimal digits.
func (i Identity) String() string { return hex.EncodeToString(i[:]) }

// shortBytes is how much of an identity tells requests apart in logs.
const shortBytes = 8

// Short returns the beginning of the identity in hexadecimal digits, for logs.
func (i Identity) Short() string { return hex.EncodeToString(i[:shortBytes]) }
