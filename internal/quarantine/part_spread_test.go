package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/crash"
	"lilacvane/internal/poison"
)

// crashUnderParts reports a runner that crashed at one node under a request with these parts, sent half a
// second before.
func (g *group) crashUnderParts(node int, runner string, parts ...poison.Identity) {
	now := time.Now()
	c := crash.Crash{Runner: runner, Requests: []poison.Identity{poison.Content{Path: runner}.Identity()}}
	for _, part := range parts {
		c.Parts = append(c.Parts, poison.Run{Request: part, Sent: now.Add(-500 * time.Millisecond), Ended: now})
	}
	g.nodes[g.order[node]].Crashed(c)
}

// blamed reports whether a node refuses a request that holds these parts.
func blamed(q *Quarantine, holds ...poison.Identity) bool {
	return q.Check(poison.Content{}.Identity(), holds).Verdict == poison.Refused
}

// TestPartIsRefusedAtAllNodes: three nodes see one crash each under requests that share two parts, and a
// sound request with the first of them succeeds at a fourth node between. All nodes refuse requests with
// the other part, and none refuses the first alone. The store is away.
func TestPartIsRefusedAtAllNodes(t *testing.T) {
	first, guilty := poison.PartIdentity("s", "first"), poison.PartIdentity("s", "guilty")
	for _, count := range []int{7, 86, 985} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, count)
				g.calls.Store(0)
				g.bytes.Store(0)
				for number, node := range []int{1, 2, count - 1} {
					g.crashUnderParts(node, fmt.Sprint("r", number), first, guilty)
					synctest.Wait()
					if number == 1 {
						sound := g.nodes[g.order[3]]
						sound.Controlled("s", []string{"first", "c"})
						assert.Assert(t, sound.Succeeded(first))
						synctest.Wait()
					}
					time.Sleep(time.Second)
				}
				for _, address := range g.order {
					assert.Assert(t, blamed(g.nodes[address], first, guilty), "%s of %d", address, count)
					assert.Assert(t, !blamed(g.nodes[address], first), "%s of %d", address, count)
				}
				t.Logf("%d nodes: %d calls, %d bytes", count, g.calls.Load(), g.bytes.Load())
			})
		})
	}
}

// TestPartIsNotRefusedWhereAllRunnersEnd: all runners end at once, three times, with requests that all hold
// a part, and none succeeds between. Nobody refuses the part, however each end is told.
func TestPartIsNotRefusedWhereAllRunnersEnd(t *testing.T) {
	part := poison.PartIdentity("s", "first")
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 12)
		for outage := range 3 {
			for node := range g.order {
				g.crashUnderParts(node, fmt.Sprint("r", outage, "-", node), part)
			}
			synctest.Wait()
			time.Sleep(5 * time.Second)
		}
		for _, address := range g.order {
			assert.Assert(t, !blamed(g.nodes[address], part), "%s", address)
			mark, _ := g.nodes[address].marks.Find(part)
			assert.Assert(t, len(mark.Runners) <= 3, "%s counts %d ends: %v", address, len(mark.Runners), mark.Runners)
		}
	})
}

// TestLaterEndOfARefusedPartWasNotTold: a fourth end under a part that is refused was known only to the nodes that
// counted it. If contents explained the first ones, these refused the part, and the others sent it on.
func TestLaterEndOfARefusedPartWasNotTold(t *testing.T) {
	part := poison.PartIdentity("s", "guilty")
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 12)
		g.guiltyPart(part)
		g.crashUnderParts(6, "r4", part)
		synctest.Wait()
		for _, address := range g.order {
			mark, _ := g.nodes[address].marks.Find(part)
			assert.Equal(t, len(mark.Runners), 4, address)
		}
	})
}

// TestLaterEndOfARefusedContentWasNotTold: a fourth end under a content that is refused was known only to the nodes
// that counted it. It explained a part's end there, and not at others, which refused the part.
func TestLaterEndOfARefusedContentWasNotTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 12)
		for number := range 4 {
			g.ended(5+number, []string{"r1", "r2", "r3", "r4"}[number], request, false)
			time.Sleep(time.Second)
		}
		for _, address := range g.order {
			mark, _ := g.nodes[address].marks.Find(request)
			assert.Equal(t, len(mark.Runners), 4, address)
		}
	})
}

// TestNodesThatKnowOtherEndsComparedEqual: two nodes that refuse the same part by other ends told each other nothing.
func TestNodesThatKnowOtherEndsComparedEqual(t *testing.T) {
	part := poison.PartIdentity("s", "guilty")
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 12)
		g.guiltyPart(part)
		away := g.order[8]
		g.gone[away] = true
		g.crashUnderParts(6, "r4", part)
		synctest.Wait()
		g.gone[away] = false
		g.nodes[away].exchange()
		synctest.Wait()
		mark, _ := g.nodes[away].marks.Find(part)
		assert.Equal(t, len(mark.Runners), 4)
	})
}
