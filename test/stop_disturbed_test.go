package test

import (
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/storestub"
	"lilacvane/internal/lab/world"
)

// TestDisturbedStopCutOffRequests: something else happens while a node stops. Requests end as in any
// other stop.
func TestDisturbedStopCutOffRequests(t *testing.T) {
	t.Parallel()
	storeFaults := func(faults storestub.Faults) func(*testing.T, *world.World, []*world.Node) {
		return func(t *testing.T, w *world.World, _ []*world.Node) {
			assert.Check(t, w.SetStoreFaults(faults) == nil)
		}
	}
	for name, disturb := range map[string]func(*testing.T, *world.World, []*world.Node){
		"second SIGTERM": func(t *testing.T, _ *world.World, nodes []*world.Node) { assert.Check(t, nodes[0].Terminate() == nil) },
		"SIGINT":         func(t *testing.T, _ *world.World, nodes []*world.Node) { assert.Check(t, nodes[0].Interrupt() == nil) },
		"SIGHUP":         func(t *testing.T, _ *world.World, nodes []*world.Node) { assert.Check(t, nodes[0].Reload() == nil) },
		"settings with a shorter grace": func(t *testing.T, _ *world.World, nodes []*world.Node) {
			content := readFile(t, nodes[0].SettingsPath())
			changed := strings.NewReplacer("grace: 8s", "grace: 2s", "notice: 3s", "notice: 1s").Replace(content)
			assert.Check(t, changed != content, "%s", content)
			assert.Check(t, os.WriteFile(nodes[0].SettingsPath(), []byte(changed), 0o600) == nil)
		},
		"slow store":         storeFaults(storestub.Faults{DelayMs: 1000}),
		"store away":         storeFaults(storestub.Faults{Down: storestub.Silent}),
		"other node is gone": func(_ *testing.T, _ *world.World, nodes []*world.Node) { nodes[1].Kill() },
		"other node hangs":   func(t *testing.T, _ *world.World, nodes []*world.Node) { assert.Check(t, nodes[1].Freeze() == nil) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, nodes := startStopWorld(t, longStop, 2, 3)
			var requests []slowRequest
			for _, path := range []string{"/draft/x", "/reply/x"} {
				requests = append(requests,
					slowRequest{name: "begun before the signal", path: path, events: endlessEvents, dial: -time.Second, send: -time.Second},
					slowRequest{name: "sent in the notice", path: path, events: endlessEvents, dial: 100 * time.Millisecond, send: 2 * time.Second},
					slowRequest{name: "short, sent in the notice", path: path, events: 100, dial: 100 * time.Millisecond, send: 2500 * time.Millisecond},
					slowRequest{name: "body that ends soon after the notice", path: path, events: endlessEvents, dial: 500 * time.Millisecond, send: 600 * time.Millisecond, bodyEnd: 3500 * time.Millisecond},
					slowRequest{name: "body that ends late", path: path, events: endlessEvents, dial: 2500 * time.Millisecond, send: 2600 * time.Millisecond, bodyEnd: 6 * time.Second},
				)
			}
			// The signal is sent 2 s after the begin of the check.
			disturbed := time.AfterFunc(2500*time.Millisecond, func() { disturb(t, w, nodes) })
			defer disturbed.Stop()
			checkStop(t, w, nodes[0], requests, longStop)
		})
	}
}
