package test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/fault"
	"lilacvane/internal/lab/storestub"
	"lilacvane/internal/operator"
)

// TestStoppingNodeTookOnOperatorsChange: operators send changes to a node that stops while the store
// does not answer. Each author is told what became of the change, also of one sent late.
func TestStoppingNodeTookOnOperatorsChange(t *testing.T) {
	t.Parallel()
	w, nodes := startStopWorld(t, longStop, 2, 1)
	assert.NilError(t, w.SetStoreFaults(storestub.Faults{Down: storestub.Silent}))
	sent := []time.Duration{0, time.Second, 2500 * time.Millisecond, 2900 * time.Millisecond}
	results := make([]chan error, len(sent))
	signal := time.Now()
	assert.NilError(t, nodes[0].Terminate())
	for index, after := range sent {
		results[index] = make(chan error, 1)
		go func() {
			time.Sleep(time.Until(signal.Add(after)))
			submission := operator.Submission{Operation: fmt.Sprintf("late-%d", index), Author: "test", Apply: model("beta", 1)}
			_, err := nodes[0].Client().Submit(t.Context(), submission)
			results[index] <- err
		}()
	}
	for index, after := range sent {
		err := <-results[index]
		answered := fault.IsCode(err, fault.CodeStoreUnavailable) || fault.IsCode(err, fault.CodeDraining)
		assert.Check(t, answered, "sent %s after the signal, %s after it: %v", after, time.Since(signal).Round(time.Millisecond), err)
	}
	assert.NilError(t, nodes[0].Wait(waitTimeout))
}
