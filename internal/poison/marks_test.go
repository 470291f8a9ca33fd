package poison

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func finding(number, ends int) Finding {
	f := Finding{Request: numbered(number)}
	for end := range ends {
		f.Runners = append(f.Runners, fmt.Sprint("r", end))
	}
	return f
}

// TestMarksGrowAndAreLifted: a suspected request is refused from its third end on, at first
// provisionally.
func TestMarksGrowAndAreLifted(t *testing.T) {
	marks := NewMarks()
	assert.Assert(t, marks.Empty())
	assert.Equal(t, len(marks.Put([]Finding{finding(0, Suspected)}, start)), 1)
	assert.Equal(t, len(marks.Put([]Finding{finding(0, Suspected)}, start)), 0, "no news")
	mark, known := marks.Find(numbered(0))
	assert.Assert(t, known && !mark.Refused())
	later := start.Add(time.Minute)
	assert.Equal(t, len(marks.Put([]Finding{{Request: numbered(0), Runners: []string{"r0", "other"}}}, later)), 1)
	assert.Equal(t, len(marks.Put([]Finding{finding(0, 3)}, later)), 0, "no news")
	mark, _ = marks.Find(numbered(0))
	assert.Assert(t, mark.Refused() && mark.Provisional(later) && !mark.Provisional(later.Add(Provisional)))
	marks.Drop(numbered(0))
	assert.Assert(t, marks.Empty())

	marks.Put([]Finding{finding(0, 3)}, start)
	expired := start.Add(MarkLifetime + time.Millisecond)
	assert.Equal(t, len(marks.Put([]Finding{finding(0, 3)}, expired)), 1, "an expired mark is a new one")
	mark, _ = marks.Find(numbered(0))
	assert.Assert(t, !mark.Expired(expired))
}

// TestSpareMarks: what has expired goes, and what has the fewest ends beyond the bound.
func TestSpareMarks(t *testing.T) {
	marks := NewMarks()
	marks.Put([]Finding{finding(0, 5)}, start)
	for number := range MostMarks + 2 {
		marks.Put([]Finding{finding(1+number, 2)}, start.Add(time.Second))
	}
	marks.Put([]Finding{finding(10_000, 3)}, start.Add(time.Second))
	assert.Equal(t, len(marks.Spare(start.Add(time.Second))), 4)
	for _, request := range marks.Spare(start.Add(time.Second)) {
		mark, _ := marks.Find(request)
		assert.Equal(t, len(mark.Runners), 2)
	}
	assert.Equal(t, len(marks.Spare(start.Add(MarkLifetime+time.Millisecond))), 4, "one has expired, three are too many")
	assert.Equal(t, len(marks.Spare(start.Add(2*MarkLifetime))), MostMarks+4)
	for _, request := range marks.Spare(start.Add(2 * MarkLifetime)) {
		marks.Drop(request)
	}
	assert.Assert(t, marks.Empty())
}

// BenchmarkFind is what a request pays while anything is marked, beside its digest.
func BenchmarkFind(b *testing.B) {
	marks := NewMarks()
	for number := range MostMarks {
		marks.Put([]Finding{finding(number, 3)}, start)
	}
	for b.Loop() {
		marks.Find(numbered(7))
	}
}

// BenchmarkEmpty is what a request pays while nothing is marked.
func BenchmarkEmpty(b *testing.B) {
	marks := NewMarks()
	for b.Loop() {
		marks.Empty()
	}
}
