package poison

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func finding(number, crashes int) Finding {
	f := Finding{Request: testIdentity(number)}
	for crash := range crashes {
		f.Runners = append(f.Runners, fmt.Sprint("r", crash))
	}
	return f
}

// TestMarkLifecycle: a suspected request is refused from its third crash on, at first
// provisionally.
func TestMarkLifecycle(t *testing.T) {
	marks := NewMarks()
	assert.Assert(t, marks.Empty())
	assert.Equal(t, len(marks.Put([]Finding{finding(0, SuspectThreshold)}, start)), 1)
	assert.Equal(t, len(marks.Put([]Finding{finding(0, SuspectThreshold)}, start)), 0, "already known")
	mark, known := marks.Find(testIdentity(0))
	assert.Assert(t, known && !mark.Refused())
	later := start.Add(time.Minute)
	assert.Equal(t, len(marks.Put([]Finding{{Request: testIdentity(0), Runners: []string{"r0", "other"}}}, later)), 1)
	assert.Equal(t, len(marks.Put([]Finding{finding(0, 2)}, later)), 0, "already known")
	assert.Equal(t, len(marks.Put([]Finding{finding(0, 3)}, later)), 1, "one more end, which may explain one of a part")
	assert.Equal(t, len(marks.Put([]Finding{finding(0, 3)}, later)), 0, "already known")
	mark, _ = marks.Find(testIdentity(0))
	assert.Assert(t, mark.Refused() && mark.Provisional(later) && !mark.Provisional(later.Add(ProvisionalPeriod)))
	marks.Drop(testIdentity(0))
	assert.Assert(t, marks.Empty())

	marks.Put([]Finding{finding(0, 3)}, start)
	expired := start.Add(MarkLifetime + time.Millisecond)
	assert.Equal(t, len(marks.Put([]Finding{finding(0, 3)}, expired)), 1, "an expired mark is a new one")
	mark, _ = marks.Find(testIdentity(0))
	assert.Assert(t, !mark.Expired(expired))
}

// TestEvictableMarks: expired marks are evictable, and beyond the bound those with the fewest
// crashes.
func TestEvictableMarks(t *testing.T) {
	marks := NewMarks()
	marks.Put([]Finding{finding(0, 5)}, start)
	for number := range MaxMarks + 2 {
		marks.Put([]Finding{finding(1+number, 2)}, start.Add(time.Second))
	}
	marks.Put([]Finding{finding(10_000, 3)}, start.Add(time.Second))
	assert.Equal(t, len(marks.Evictable(start.Add(time.Second))), 4)
	for _, request := range marks.Evictable(start.Add(time.Second)) {
		mark, _ := marks.Find(request)
		assert.Equal(t, len(mark.Runners), 2)
	}
	assert.Equal(t, len(marks.Evictable(start.Add(MarkLifetime+time.Millisecond))), 4, "one has expired, three are too many")
	assert.Equal(t, len(marks.Evictable(start.Add(2*MarkLifetime))), MaxMarks+4)
	for _, request := range marks.Evictable(start.Add(2 * MarkLifetime)) {
		marks.Drop(request)
	}
	assert.Assert(t, marks.Empty())
}

// BenchmarkFind measures the cost per request, besides its digest, while there are marks.
func BenchmarkFind(b *testing.B) {
	marks := NewMarks()
	for number := range MaxMarks {
		marks.Put([]Finding{finding(number, 3)}, start)
	}
	for b.Loop() {
		marks.Find(testIdentity(7))
	}
}

// BenchmarkEmpty measures the cost per request while there are no marks.
func BenchmarkEmpty(b *testing.B) {
	marks := NewMarks()
	for b.Loop() {
		marks.Empty()
	}
}

// TestRefusalOfALateNodeWasAdopted: a node to which reports took long counted ends that others know to have been
// at the same time. They may not refuse the request by its word; where their times leave it open, they do.
func TestRefusalOfALateNodeWasAdopted(t *testing.T) {
	content := Content{Path: "/x"}.Identity()
	ended := func(ends ...time.Duration) Finding {
		finding := Finding{Request: content}
		for number, end := range ends {
			finding.add([]string{"r1", "r2", "r3"}[number], runFrom(content, end-30*time.Millisecond, end))
		}
		return finding
	}
	late := ended(0, 70*time.Millisecond, 140*time.Millisecond).Adopted()
	for name, test := range map[string]struct {
		known Finding
		want  Verdict
	}{
		"at the same time": {ended(0, 5*time.Millisecond, 10*time.Millisecond), Held},
		"left open":        {ended(0, 45*time.Millisecond, 90*time.Millisecond), Refused},
	} {
		t.Run(name, func(t *testing.T) {
			for _, order := range [][]Finding{{test.known, late}, {late, test.known}} {
				marks := NewMarks()
				marks.Put(order, start)
				assert.Equal(t, marks.Check([]Identity{content}, start).Verdict, test.want)
			}
		})
	}
}
