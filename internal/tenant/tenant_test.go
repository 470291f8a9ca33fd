package tenant

import (
	"math"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/fault"
)

func keys(texts ...string) []Digest {
	var digests []Digest
	for _, text := range texts {
		digests = append(digests, DigestOf(text))
	}
	return digests
}

// TestKeysResolveToTheirTenant: each of a tenant's keys resolves to that tenant; other keys resolve
// to none.
func TestKeysResolveToTheirTenant(t *testing.T) {
	directory, err := NewDirectory([]Tenant{{Name: "a", Keys: keys("one", "two")}, {Name: "b", Keys: keys("\x00\xff", "three")}})
	assert.NilError(t, err)
	for key, name := range map[string]Name{"one": "a", "two": "a", "\x00\xff": "b", "three": "b", "": "", "One": "", "one ": ""} {
		found, known := directory.Resolve(key)
		assert.Equal(t, known, name != "", "%q", key)
		if known {
			assert.Equal(t, found.Name, name)
		}
	}
}

// TestInvalidTenantsAreNamed: the error for an invalid tenant names the tenant and the field.
func TestInvalidTenantsAreNamed(t *testing.T) {
	for text, tenants := range map[string][]Tenant{
		`tenant "a": name: used twice`:                            {{Name: "a"}, {Name: "a"}},
		`tenant "b": keys[1]: also a key of tenant "a"`:           {{Name: "a", Keys: keys("k")}, {Name: "b", Keys: keys("l", "k")}},
		`tenant "a": keys[1]: there twice`:                        {{Name: "a", Keys: keys("k", "k")}},
		`tenant "": name: must have 1 to 128 bytes`:               {{}},
		`tenant "a\nb": name: must be printable ASCII`:            {{Name: "a\nb"}},
		`tenant "a": priority: must not be negative`:              {{Name: "a", Priority: -1}},
		`tenant "a": limit.rate: must be a finite number`:         {{Name: "a", Limit: Limit{Rate: -1}}},
		`tenant "b": limit.burst: must be a finite number`:        {{Name: "b", Limit: Limit{Burst: math.Inf(1)}}},
		`tenant "c": limit.plainCost: must be a finite number`:    {{Name: "c", Limit: Limit{PlainCost: math.NaN()}}},
		`tenant "d": limit.rate: must be a finite number, not ne`: {{Name: "d", Limit: Limit{Rate: math.NaN()}}},
	} {
		_, err := NewDirectory(tenants)
		assert.ErrorContains(t, err, text)
		assert.Assert(t, fault.IsCode(err, fault.CodeInvalid))
	}
}

// TestBudgetKeepsWithinTolerance: the parts of a budget add up to the limit with its tolerance,
// and a limit without a burst still admits requests.
func TestBudgetKeepsWithinTolerance(t *testing.T) {
	tolerance := Tolerance{Window: 8 * time.Second, Share: 0.1, Slack: 1000}
	for _, limit := range []Limit{{Rate: 100, Burst: 100}, {Rate: 100}, {Rate: 1, Burst: 1e6}, {Rate: 1e6, Burst: 1}} {
		budget := limit.Budget(tolerance)
		total := (limit.Rate*8+limit.Burst)*1.1 + 1000
		assert.Assert(t, math.Abs(budget.Bucket.Capacity+8*budget.Bucket.Rate+budget.Reserve+budget.Start-total) < 1e-6*total)
		assert.Assert(t, budget.Bucket.Capacity > 0 && budget.Bucket.Rate > 0 && budget.Reserve > 0 && budget.Start > 0)
	}
	limit := Limit{Rate: 100, Burst: 100}
	budget := limit.Budget(tolerance)
	assert.Assert(t, 8*budget.Bucket.Rate+budget.Reserve > 8*limit.Rate, "the sustained rate is below the limit")
}

// TestCosts: the cost of a request depends on the unit of its tenant's limit.
func TestCosts(t *testing.T) {
	assert.Equal(t, Limit{PlainCost: 200}.Cost(5000, true), 1.0)
	assert.Equal(t, Limit{Unit: Tokens, PlainCost: 200}.Cost(5000, true), 5000.0)
	assert.Equal(t, Limit{Unit: Tokens, PlainCost: 200}.Cost(0, false), 200.0)
}

// BenchmarkResolve shows that the lookup time does not depend on the number of tenants.
func BenchmarkResolve(b *testing.B) {
	for _, count := range []int{16, 16_000} {
		tenants := make([]Tenant, count)
		for i := range tenants {
			tenants[i] = Tenant{Name: Name("t" + strconv.Itoa(i)), Keys: keys("key-" + strconv.Itoa(i))}
		}
		directory, err := NewDirectory(tenants)
		assert.NilError(b, err)
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			for b.Loop() {
				directory.Resolve("key-7")
			}
		})
	}
}
