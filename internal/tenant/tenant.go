// Package tenant identifies callers: it holds tenants, the keys by which their requests are
// recognized, and the limits that operators set for them. It does no I/O. Keys are kept only as
// digests, so that neither a log line nor a copy of the tables in memory reveals one.
package tenant

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/place"
)

// Name identifies a tenant.
type Name string

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// ParseDigest parses a digest from hexadecimal digits.
func ParseDigest(text string) (Digest, error) {
	var digest Digest
	content, err := hex.DecodeString(text)
	if err != nil || len(content) != len(digest) {
		return digest, fault.New(fault.CodeInvalid, stepRead, "digest: not %d hexadecimal digits", 2*len(digest))
	}
	copy(digest[:], content)
	return digest, nil
}

// String returns the digest in hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Unit is what a limit counts.
type Unit uint8

// The units of limits.
const (
	// Requests counts each request as one.
	Requests Unit = iota
	// Tokens counts the tokens of a request's prompt plus the maximum number of tokens of its
	// answer.
	Tokens
)

// String returns the unit's name.
func (u Unit) String() string {
	if u == Tokens {
		return "tokens"
	}
	return "requests"
}

// Limit is what a tenant may use across all nodes, in units of Unit.
type Limit struct {
	Unit Unit
	// Rate is in units per second; zero means no limit.
	Rate float64
	// Burst is what may be used at once in addition, in units.
	Burst float64
	// PlainCost is the cost of a request without token counts if Unit is Tokens.
	PlainCost float64
}

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return l.Rate > 0 }

// Cost returns the cost of a request with the given number of tokens; counted is false for a
// request without token counts.
func (l Limit) Cost(tokens int, counted bool) float64 {
	switch {
	case l.Unit == Requests:
		return 1
	case !counted:
		return l.PlainCost
	default:
		return float64(tokens)
	}
}

// Tolerance is by how much the usage across all nodes may exceed a limit, and the sliding window
// over which usage is measured.
type Tolerance struct {
	Window time.Duration
	// Share is the tolerated fraction of the limit, Slack the units beyond that.
	Share float64
	Slack float64
}

const (
	// reserveShare is the fraction of a window's total that nodes keep in reserve for when they
	// cannot reach any other node.
	reserveShare = 0.1
	// startupShare is the fraction that is available immediately after all nodes restart: about
	// what a tenant uses in one second in which all its clients reconnect.
	startupShare = 0.08
	// bucketRateShare is the bucket's rate relative to the limit's. Together with the reserve it
	// exceeds the limit's rate.
	bucketRateShare = 0.9
	// minBurstShare is the minimum fraction of a bucket that may be used at once: a bucket
	// without any capacity would admit nothing.
	minBurstShare = 0.1
)

// Bucket is a token bucket: usage in any window is at most Capacity plus Rate times the window.
type Bucket struct {
	// Rate is in units per second, Capacity in units.
	Rate     float64
	Capacity float64
}

// Budget splits what a limit admits in any window, including its tolerance, by how it is used.
// Reserve and Start are in units.
type Budget struct {
	Bucket Bucket
	// Reserve is admitted in any window in addition to the bucket.
	Reserve float64
	// Start is the number of initial tokens that an empty bucket may get, at most once per
	// window.
	Start float64
}

// Budget computes the budget of the limit under a tolerance.
func (l Limit) Budget(t Tolerance) Budget {
	window := t.Window.Seconds()
	total := (l.Rate*window+l.Burst)*(1+t.Share) + t.Slack
	remaining := (1 - reserveShare - startupShare) * total
	capacity := max(remaining-bucketRateShare*l.Rate*window, minBurstShare*remaining)
	return Budget{
		Bucket: Bucket{Rate: (remaining - capacity) / window, Capacity: capacity}, Reserve: reserveShare * total, Start: startupShare * total,
	}
}

// Tenant is a tenant with its keys, limit and priority.
type Tenant struct {
	Name Name
	// Priority overrides that of routes; 0 is served first.
	Priority int
	Limit    Limit
	// Homes are the only regions in which the tenant's requests are served.
	Homes place.Homes
	// Keys are the digests of the tenant's keys.
	Keys []Digest
}

// Directory looks up tenants by key, in a time that does not depend on their number. It must not
// be modified once it is shared.
type Directory struct {
	byKey  map[Digest]*Tenant
	byName map[Name]*Tenant
}

const stepRead = "read tenants"

// NewDirectory returns a directory of tenants. The error names the first invalid tenant and the
// field at fault.
func NewDirectory(tenants []Tenant) (*Directory, error) {
	d := &Directory{byKey: make(map[Digest]*Tenant), byName: make(map[Name]*Tenant, len(tenants))}
	for _, t := range tenants {
		if err := d.Add(t); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// Clone returns a copy that can be extended. The clone of a nil Directory is empty.
func (d *Directory) Clone() *Directory {
	if d == nil {
		return &Directory{byKey: make(map[Digest]*Tenant), byName: make(map[Name]*Tenant)}
	}
	return &Directory{byKey: maps.Clone(d.byKey), byName: maps.Clone(d.byName)}
}

// Add adds a tenant. If it is invalid, the error names the field at fault and the directory is left
// unchanged.
func (d *Directory) Add(t Tenant) error {
	if problem := t.validate(); problem != "" {
		return invalid(t.Name, problem)
	}
	if d.byName[t.Name] != nil {
		return invalid(t.Name, "name: used twice")
	}
	for i, key := range t.Keys {
		if slices.Contains(t.Keys[:i], key) {
			return invalid(t.Name, fmt.Sprintf("keys[%d]: there twice", i))
		}
		if owner := d.byKey[key]; owner != nil {
			return invalid(t.Name, fmt.Sprintf("keys[%d]: also a key of tenant %q", i, owner.Name))
		}
	}
	d.byName[t.Name] = &t
	for _, key := range t.Keys {
		d.byKey[key] = &t
	}
	return nil
}

// invalid returns the error of an invalid tenant.
func invalid(name Name, problem string) error {
	return fault.New(fault.CodeInvalid, stepRead, "tenant %q: %s", name, problem)
}

// MaximumName is the maximum length of a tenant's name in bytes, as it is sent in a header.
const MaximumName = 128

// validate returns what is wrong with the tenant; empty if nothing is.
func (t *Tenant) validate() string {
	switch {
	case t.Name == "" || len(t.Name) > MaximumName:
		return fmt.Sprintf("name: must have 1 to %d bytes", MaximumName)
	case !isPrintableASCII(string(t.Name)):
		return "name: must be printable ASCII, as it travels in a header"
	case t.Priority < 0:
		return "priority: must not be negative"
	case !isFiniteNonNegative(t.Limit.Rate):
		return "limit.rate: must be a finite number, not negative"
	case !isFiniteNonNegative(t.Limit.Burst):
		return "limit.burst: must be a finite number, not negative"
	case !isFiniteNonNegative(t.Limit.PlainCost):
		return "limit.plainCost: must be a finite number, not negative"
	default:
		return ""
	}
}

func isPrintableASCII(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

func isFiniteNonNegative(value float64) bool { return value >= 0 && !math.IsInf(value, 0) }

// Resolve returns the tenant that holds a key; false if there is none.
func (d *Directory) Resolve(key string) (*Tenant, bool) {
	found := d.byKey[DigestOf(key)]
	return found, found != nil
}

// Find returns a tenant by its name; false if there is none.
func (d *Directory) Find(name Name) (*Tenant, bool) {
	if d == nil {
		return nil, false
	}
	found := d.byName[name]
	return found, found != nil
}

// Names lists the names of all tenants in sorted order.
func (d *Directory) Names() []Name {
	if d == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(d.byName))
}
