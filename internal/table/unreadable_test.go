package table

import (
	"errors"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// TestUnreadableRowWasReportedOnEachRead checks that a row is reported again only once it has changed, and
// that what is remembered of rows is bounded.
func TestUnreadableRowWasReportedOnEachRead(t *testing.T) {
	var rows Unreadable
	reported := 0
	rows.OnReport(func(UnreadableRow) { reported++ })
	row := UnreadableRow{Table: "t", Key: "k", Revision: NewRevision(1, 7), Err: errors.New("odd")}
	for range 100 {
		rows.Report(row)
	}
	assert.Equal(t, reported, 1)
	row.Revision++
	rows.Report(row)
	row.Table = "other"
	rows.Report(row)
	assert.Equal(t, reported, 3)
	for number := range 3 * maxUnreadable {
		rows.Report(UnreadableRow{Key: strconv.Itoa(number)})
	}
	assert.Assert(t, len(rows.reported) <= maxUnreadable)
}
