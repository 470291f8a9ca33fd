package limit

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/tenant"
)

var (
	strict  = tenant.Tolerance{Window: time.Second}
	limited = []*tenant.Tenant{{Name: "t", Limit: tenant.Limit{Rate: 100, Burst: 100}}}
)

// begin returns a divider that continues from a record, with its first write confirmed.
func begin(record *Record, now time.Time) *Divider {
	return NewDivider(Begin(record), 0, strict, now)
}

// divideOnce lets a divider compute and write its next record.
func divideOnce(d *Divider, now time.Time) {
	if d.Next(limited, now) != nil {
		d.Confirmed()
	}
}

// TestLateReportGivesNothingBack: an old report that reaches a new divider late says that its
// node has nothing. The divider must not take that as returning the part, which the node may
// still have in force.
func TestLateReportGivesNothingBack(t *testing.T) {
	now := time.Unix(1000, 0)
	late := Report{Node: "a", Process: "p", Address: "a", Spare: 1}
	old := begin(NewRecord(), now)
	old.Report(late, now)
	divideOnce(old, now)
	grant := old.Report(late, now)
	assert.Equal(t, grant.Shares[0].Part, Whole)

	d := begin(old.record, now)
	d.Report(late, now)
	for _, node := range []string{"b", "c", "d"} {
		d.Report(Report{Node: node, Process: "p" + node, Address: node, Spare: 2}, now)
	}
	for range 5 {
		divideOnce(d, now)
		now = now.Add(100 * time.Millisecond)
	}
	assert.Equal(t, d.record.Tenants["t"].Nodes.at("a").Bound, Whole)
	acked := late
	acked.Version = d.record.Version
	d.Report(acked, now)
	divideOnce(d, now)
	assert.Assert(t, d.record.Tenants["t"].Nodes.at("a").Bound < Whole)
}

// TestNothingIsToldOfARowBeingWritten: nodes get what the last confirmed row says until the next
// one is confirmed.
func TestNothingIsToldOfARowBeingWritten(t *testing.T) {
	now := time.Unix(1000, 0)
	report := Report{Node: "a", Process: "p", Address: "a", Spare: 1}
	d := begin(NewRecord(), now)
	d.Report(report, now)
	assert.Assert(t, d.Next(limited, now) != nil)
	assert.Equal(t, len(d.Report(report, now).Shares), 0)
	d.Confirmed()
	assert.Equal(t, d.Report(report, now).Shares[0].Part, Whole)

	// A node whose shares are unchanged must not get the version of a row that may never be
	// written: another divider's row would have the same version.
	written := d.record.Version
	report.Version = written
	now = now.Add(reserveDelay)
	d.Report(report, now)
	assert.Assert(t, d.Next(limited, now) != nil)
	kept := Report{Node: "b", Process: "q", Address: "b", Spare: 1, Version: written}
	assert.Equal(t, d.Report(kept, now).Version, written)
}

// TestNearLendersAreAskedFirst: a node learns which lenders are in its region and asks these
// first, in rotation, then the others.
func TestNearLendersAreAskedFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDivider(Begin(NewRecord()), 0, tenant.Tolerance{Window: time.Second}, now)
	regions := map[string]string{"n1": "north", "n2": "north", "s1": "south", "x": ""}
	for node, region := range regions {
		d.Report(Report{Node: node, Process: "p" + node, Address: node, Region: region, Spare: 1}, now)
	}
	limited := &tenant.Tenant{Name: "t", Limit: tenant.Limit{Rate: 10, Burst: 10}}
	assert.Assert(t, d.Next([]*tenant.Tenant{limited}, now) != nil)
	d.Confirmed()
	for node, region := range regions {
		grant := d.Report(Report{Node: node, Process: "p" + node, Address: node, Region: region, Spare: 1}, now)
		keeper := NewKeeper(tenant.Tolerance{Window: time.Second}, func() time.Time { return now })
		keeper.Apply(grant, now)
		near := 0
		for _, lender := range grant.Shares[0].Lenders {
			if region != "" && regions[lender] == region {
				near++
			}
		}
		assert.Equal(t, grant.Shares[0].Near, near)
		first := make(map[string]bool)
		for range 6 {
			lenders, _ := keeper.Lenders(limited, 1, 0)
			assert.Equal(t, len(lenders), lenderCount)
			first[lenders[0]] = true
			for i, lender := range lenders[:near] {
				assert.Equal(t, regions[lender], region, "%d", i)
			}
		}
		if near > 0 {
			assert.Equal(t, len(first), near, "each near lender is the first in turn")
		}
	}
}

// TestNearCountOutOfRange: an out-of-range count of near lenders does no harm.
func TestNearCountOutOfRange(t *testing.T) {
	limited := &tenant.Tenant{Name: "t", Limit: tenant.Limit{Rate: 10, Burst: 10}}
	for _, near := range []int{-3, 9} {
		keeper := NewKeeper(tenant.Tolerance{Window: time.Second}, time.Now)
		keeper.Apply(Grant{Version: 1, Shares: []Share{{Tenant: "t", Part: 1, Lenders: []string{"a", "b"}, Near: near}}}, time.Now())
		lenders, _ := keeper.Lenders(limited, 1, 0)
		assert.Equal(t, len(lenders), 2)
	}
}

// TestEachRegionHasALender: a region with few of the nodes still gets a lender, and another one
// if that is lost. Where regions are unknown, the nodes with the most spare capacity lend.
func TestEachRegionHasALender(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDivider(Begin(NewRecord()), 0, tenant.Tolerance{Window: time.Second}, now)
	report := func(node, region string) {
		d.Report(Report{Node: node, Process: "p" + node, Address: node, Region: region, Spare: 1}, now)
	}
	const many = 40
	reportNorth := func() {
		for i := range many {
			report("n"+strconv.Itoa(i), "north")
		}
	}
	reportNorth()
	report("s1", "south")
	report("s2", "south")
	var limited []*tenant.Tenant
	for i := range 8 {
		limited = append(limited, &tenant.Tenant{Name: tenant.Name("t" + strconv.Itoa(i)), Limit: tenant.Limit{Rate: 10, Burst: 10}})
	}
	divide := func() {
		if d.Next(limited, now) != nil {
			d.Confirmed()
		}
	}
	divide()
	for _, one := range limited {
		lenders := d.Lenders(one.Name)
		assert.Assert(t, slices.Contains(lenders, "s1") || slices.Contains(lenders, "s2"), "%s: %v", one.Name, lenders)
	}
	for range 60 {
		now = now.Add(time.Second)
		reportNorth()
		report("s2", "south")
		divide()
	}
	for _, one := range limited {
		lenders := d.Lenders(one.Name)
		assert.Assert(t, slices.Contains(lenders, "s2") && !slices.Contains(lenders, "s1"), "%s: %v", one.Name, lenders)
	}
}
