package quarantine

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"lilacvane/internal/crash"
	"lilacvane/internal/poison"
	"lilacvane/internal/wire"
)

// TestNewsOfManyEndsDrownedTheNodes: each change of a mark was a call to each neighbor, also while earlier ones
// were not answered. A neighbor gets one report at a time, and the next one holds all that came meanwhile.
func TestNewsOfManyEndsDrownedTheNodes(t *testing.T) {
	const requests = 50
	synctest.Test(t, func(t *testing.T) {
		q := testQuarantine(&tableStub{rows: make(map[string]bool), down: true})
		defer q.close()
		var mutex sync.Mutex
		reports, marks := make(map[string]int), make(map[string]map[poison.Identity]bool)
		answer := make(chan struct{})
		q.SendReport = func(_ context.Context, address string, report wire.PoisonReport) (wire.PoisonAnswer, error) {
			if len(report.Marks) == 0 {
				return wire.PoisonAnswer{}, nil
			}
			mutex.Lock()
			reports[address]++
			if marks[address] == nil {
				marks[address] = make(map[poison.Identity]bool)
			}
			for _, mark := range report.Marks {
				marks[address][mark.Request] = true
			}
			mutex.Unlock()
			<-answer
			return wire.PoisonAnswer{}, nil
		}
		neighbors := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}
		q.SetNodes(len(neighbors)+1, nil, neighbors)
		for number := range requests {
			request := poison.Content{Path: fmt.Sprint(number)}.Identity()
			for _, runner := range []string{"r1", "r2"} {
				q.Crashed(crash.Crash{Runner: fmt.Sprint(runner, " ", number), Requests: []poison.Identity{request}})
			}
			if number == 0 {
				synctest.Wait()
			}
		}
		synctest.Wait()
		for _, address := range neighbors {
			assert.Equal(t, reports[address], 1, address)
		}
		close(answer)
		synctest.Wait()
		for _, address := range neighbors {
			assert.Equal(t, reports[address], 2, address)
			assert.Equal(t, len(marks[address]), requests, address)
		}
		assert.Equal(t, len(q.outboxes), 0)
	})
}
