// Package poison detects requests that crash the runners that run them. It identifies all
// attempts of one request by their content, counts the runners that ended while running it, and
// keeps the set of contents that are no longer run. It does no I/O: the caller passes in the
// time, and nothing is sent from here.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"lilacvane/internal/backend"
	"lilacvane/internal/body"
	"lilacvane/internal/fault"
)

// Identity identifies the content of a request: all attempts of one request have the same
// identity, at every node. It is a cryptographic digest, so that nobody can craft a request with
// the identity of another.
type Identity [sha256.Size]byte

// Content is what two attempts of the same request have in common. Headers are left out, except
// for the caller's identity, because clients may set others anew for each attempt.
type Content struct {
	Method string
	Host   string
	// Path is the path without the query.
	Path string
	// Query only counts if there is no body: with one, clients may use the query to distinguish
	// attempts.
	Query string
	// Caller is the tenant, or else the key that came with the request; empty if there is
	// neither.
	Caller string
	// Unit is what runs the request, if the node and not the client chose it: a new version of a
	// model may handle what the previous one did not.
	Unit backend.Unit
	Body body.Body
}

// Identity returns the content's digest.
func (c Content) Identity() Identity {
	query := c.Query
	if c.Body.Len() > 0 {
		query = ""
	}
	digest := sha256.New()
	for _, part := range []string{c.Method, c.Host, c.Path, query, c.Caller, c.Unit.Model, c.Unit.Adapter} {
		// The length prefix keeps adjacent parts unambiguous.
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		digest.Write(length[:])
		digest.Write([]byte(part))
	}
	// Writing to a digest does not fail.
	_, _ = c.Body.WriteTo(digest)
	return Identity(digest.Sum(nil))
}

// ParseIdentity parses an identity from hexadecimal digits.
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

// shortBytes is how many bytes of an identity are enough to distinguish requests in logs.
const shortBytes = 8

// Short returns the beginning of the identity in hexadecimal digits, for logs.
func (i Identity) Short() string { return hex.EncodeToString(i[:shortBytes]) }
