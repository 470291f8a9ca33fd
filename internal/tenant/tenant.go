// Package tenant tells who a caller is: tenants, the keys by which their requests
// are recognized, and the limits that operators gave them. It is pure. Keys are kept
// as digests only, so that neither a log line nor a copy of memory's tables shows one.
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

// Digest stands for a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// ParseDigest reads a digest in hexadecimal digits.
func ParseDigest(text string) (Digest, error) {
	var digest Digest
	content, err := hex.DecodeString(text)
	if err != nil || len(content) != len(digest) {
		return digest, fault.New(fault.CodeInvalid, stepDirectory, "digest: not %d hexadecimal digits", 2*len(digest))
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
	// Tokens counts the tokens of a request's prompt and, at most, of its answer.
	Tokens
)

// String returns the unit's name.
func (u Unit) String() string {
	if u == Tokens {
		return "tokens"
	}
	return "requests"
}

// Limit is what a tenant may use over all nodes together, in units of Unit.
type Limit struct {
	Unit Unit
	// Rate is units a second; zero is no limit.
	Rate float64
	// Burst is what may be used on top at once.
	Burst float64
	// PlainCost is what a request without token counts costs when Unit is Tokens.
	PlainCost float64
}

// Limited reports whether there is a limit at all.
func (l Limit) Limited() bool { return l.Rate > 0 }

// Cost is what a request costs, given its token counts; counted is false for a
// request that has none.
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

// Tolerance is by how much the use counted over all nodes may pass a limit, and over
// which sliding window it is counted.
type Tolerance struct {
	Window time.Duration
	// Share is the part of the limit, Slack the units beyond that.
	Share float64
	Slack float64
}

const (
	// reserveShare is the part of what may be used in a window that nodes have in reserve
	// for when they reach nobody.
	reserveShare = 0.1
	// startShare is the part that is there at once when all nodes are started again: about
	// what a tenant uses in a second in which all its clients come back.
	startShare = 0.08
	// bucketRate is the rate of the bucket against the limit's. Together with the reserve
	// that is more than the limit's.
	bucketRate = 0.9
	// leastBurst is the least part of a bucket that may be used at once: one without would
	// admit nothing.
	leastBurst = 0.1
)

// Bucket is a token bucket: what is used in any window is at most Capacity plus Rate
// times the window.
type Bucket struct {
	// Rate is units a second, Capacity units.
	Rate     float64
	Capacity float64
}

// Budget is what a limit lets through in any window, its tolerance included, divided by
// how it is used. Reserve and Start are units.
type Budget struct {
	Bucket Bucket
	// Reserve is so much in any window.
	Reserve float64
	// Start is what a bucket that begins empty may be given, at most once in a window.
	Start float64
}

// Budget divides what the limit lets through.
func (l Limit) Budget(t Tolerance) Budget {
	window := t.Window.Seconds()
	total := (l.Rate*window+l.Burst)*(1+t.Share) + t.Slack
	rest := (1 - reserveShare - startShare) * total
	capacity := max(rest-bucketRate*l.Rate*window, leastBurst*rest)
	return Budget{
		Bucket: Bucket{Rate: (rest - capacity) / window, Capacity: capacity}, Reserve: reserveShare * total, Start: startShare * total,
	}
}

// Tenant is one tenant.
type Tenant struct {
	Name Name
	// Priority goes before that of routes; 0 is served first.
	Priority int
	Limit    Limit
	// Homes are the regions in which alone its requests are served.
	Homes place.Homes
	// Keys are the digests of its keys.
	Keys []Digest
}

// Directory finds the tenant that holds a key, in a time that does not grow with
// their number. It is not changed once it is shared.
type Directory struct {
	byKey  map[Digest]*Tenant
	byName map[Name]*Tenant
}

const stepDirectory = "read tenants"

// NewDirectory returns a directory of tenants. The error names the first tenant that
// cannot be used and its field.
func NewDirectory(tenants []Tenant) (*Directory, error) {
	d := &Directory{byKey: make(map[Digest]*Tenant), byName: make(map[Name]*Tenant, len(tenants))}
	for _, t := range tenants {
		if err := d.Add(t); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// Clone returns a copy that can be added to; that of nil is empty.
func (d *Directory) Clone() *Directory {
	if d == nil {
		return &Directory{byKey: make(map[Digest]*Tenant), byName: make(map[Name]*Tenant)}
	}
	return &Directory{byKey: maps.Clone(d.byKey), byName: maps.Clone(d.byName)}
}

// Add adds a tenant. The directory is as before when it cannot be added.
func (d *Directory) Add(t Tenant) error {
	if problem := t.problem(); problem != "" {
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

func invalid(name Name, problem string) error {
	return fault.New(fault.CodeInvalid, stepDirectory, "tenant %q: %s", name, problem)
}

// MaximumName is the longest name of a tenant, in bytes: it travels in a header.
const MaximumName = 128

func (t *Tenant) problem() string {
	switch {
	case t.Name == "" || len(t.Name) > MaximumName:
		return fmt.Sprintf("name: must have 1 to %d bytes", MaximumName)
	case !printable(string(t.Name)):
		return "name: must be printable ASCII, as it travels in a header"
	case t.Priority < 0:
		return "priority: must not be negative"
	case !finite(t.Limit.Rate):
		return "limit.rate: must be a finite number, not negative"
	case !finite(t.Limit.Burst):
		return "limit.burst: must be a finite number, not negative"
	case !finite(t.Limit.PlainCost):
		return "limit.plainCost: must be a finite number, not negative"
	default:
		return ""
	}
}

func printable(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

func finite(value float64) bool { return value >= 0 && !math.IsInf(value, 0) }

// Resolve returns the tenant that holds a key.
func (d *Directory) Resolve(key string) (*Tenant, bool) {
	found := d.byKey[DigestOf(key)]
	return found, found != nil
}

// Find returns a tenant by its name.
func (d *Directory) Find(name Name) (*Tenant, bool) {
	if d == nil {
		return nil, false
	}
	found := d.byName[name]
	return found, found != nil
}

// Names lists the tenants' names in order.
func (d *Directory) Names() []Name {
	if d == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(d.byName))
}
