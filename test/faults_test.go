package test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/api"
	"lilacvane/internal/fault"
	"lilacvane/internal/lab/faultproxy"
	"lilacvane/internal/lab/journal"
	"lilacvane/internal/lab/runnerstub"
	"lilacvane/internal/lab/storestub"
	"lilacvane/internal/lab/world"
	"lilacvane/platform/protocol"
)

// startLoaded starts a world whose runners all hold the model alpha.
func startLoaded(t *testing.T, runners, nodes int) (*world.World, []*world.Node) {
	t.Helper()
	w := newWorld(t, nil)
	startRunners(t, w, runners)
	startMailers(t, w, 2)
	started := startNodes(t, w, nodes)
	apply(t, started[0], append(model("alpha", runners), readyPolicy("alpha", runners))...)
	waitKnown(t, "alpha", started...)
	waitUntil(t, "all runners hold the model", func() error {
		if got := len(runnersHolding(t, started[0], "alpha")); got != runners {
			return fmt.Errorf("%d hold it", got)
		}
		return nil
	})
	waitUntil(t, "the model is ready", func() error {
		if got := send(t.Context(), started[0], clientRequest{Path: "/draft/warm", Model: "alpha", Events: 1}); !got.Complete {
			return fmt.Errorf("%+v", got)
		}
		return nil
	})
	return w, started
}

// runsOfRequest returns how often runners ran a request.
func runsOfRequest(h history, id string) int {
	count := 0
	for _, record := range h.records {
		if record.Event == journal.EventRun && record.Request == id {
			count++
		}
	}
	return count
}

// TestResumedStreamIsWhole: streams break off in the middle of an event. A resumable stream
// reaches its client complete, each event once, with the headers of its first runner; one
// that is not resumable ends early and visibly so.
func TestResumedStreamIsWhole(t *testing.T) {
	t.Parallel()
	w, nodes := startLoaded(t, 3, 1)
	// All runners alike, as a runner that breaks off more often than another gets no more
	// streams.
	for _, runner := range []string{"runner-1", "runner-2", "runner-3"} {
		assert.NilError(t, w.SetRunnerFaults(runner, runnerstub.Faults{BreakShare: 0.5}))
	}
	broken := 0
	for range 12 {
		id := newID()
		got := send(t.Context(), nodes[0], clientRequest{ID: id, Path: "/draft/x", Model: "alpha", Events: 9})
		assert.Assert(t, !got.Complete || got.Body == expectedEvents(id, 9), "%+v", got)
		assert.Assert(t, got.Complete || strings.HasPrefix(expectedEvents(id, 9), got.Body), "%+v", got)
		id = newID()
		got = send(t.Context(), nodes[0], clientRequest{ID: id, Path: "/reply/x", Model: "alpha", Events: 9})
		if !got.Complete {
			broken++
		}
		assert.Assert(t, !got.Complete || got.Status != http.StatusOK || got.Body == expectedEvents(id, 9), "%+v", got)
		assert.Assert(t, runsOfRequest(readHistory(t, w), id) <= 1, "a request that may not be repeated ran again")
	}
	t.Logf("%d of 12 streams that may not be resumed broke off", broken)
}

// TestRestingStreamIsNotBrokenOff: a runner pauses in the middle of streams for longer than
// it should. The streams are broken off only to continue at another runner that holds the
// model. Without one, their clients get the remainder late.
func TestRestingStreamIsNotBrokenOff(t *testing.T) {
	t.Parallel()
	rests := runnerstub.Faults{RestMs: 2500}
	for _, runners := range []int{1, 2} {
		w, nodes := startLoaded(t, runners, 1)
		assert.NilError(t, w.SetRunnerFaults("runner-1", rests))
		for range 2 {
			id := newID()
			got := send(t.Context(), nodes[0], clientRequest{ID: id, Path: "/draft/x", Model: "alpha", Events: 9})
			assert.Assert(t, got.Complete, "%+v", got)
			assert.Equal(t, got.Body, expectedEvents(id, 9))
		}
	}
}

// TestUnsafeRequestsRunOnce: runners lose answers, fail, break connections and send extra
// answers. A request that must not be repeated runs at most once, and a refusal as not run
// is true.
func TestUnsafeRequestsRunOnce(t *testing.T) {
	t.Parallel()
	w, nodes := startLoaded(t, 1, 2)
	for _, faults := range []runnerstub.Faults{
		{AnswerLostShare: 0.5}, {ErrorShare: 0.5}, {ShedShare: 0.5}, {Extra: true}, {Unframed: true}, {Early: true}, {},
	} {
		for _, id := range []string{"mailer-1", "mailer-2"} {
			assert.NilError(t, w.SetRunnerFaults(id, faults))
		}
		client := &http.Client{}
		for number := range 12 {
			id := newID()
			got := sendWith(t.Context(), client, nodes[number%2], clientRequest{ID: id, Path: "/send/x", Method: http.MethodPost, Body: []byte(strings.Repeat("b", 3000))})
			runs := runsOfRequest(readHistory(t, w), id)
			assert.Assert(t, runs <= 1, "%+v: ran %d times", faults, runs)
			if got.Status == http.StatusServiceUnavailable || got.Status == http.StatusTooManyRequests {
				assert.Equal(t, runs, 0, "%+v: refused as not run, but ran: %+v", faults, got)
				assert.Assert(t, got.RetryAfter != "")
			}
			if got.Status == http.StatusOK {
				assert.Assert(t, got.Complete && strings.Contains(got.Body, id), "%+v: %+v", faults, got)
			}
		}
		client.CloseIdleConnections()
	}
}

// TestSafeRequestsSurviveBadRunners: one of two runners does not answer, fails or rejects
// requests. Requests that may be repeated are served by the other one.
func TestSafeRequestsSurviveBadRunners(t *testing.T) {
	t.Parallel()
	w, nodes := startLoaded(t, 1, 1)
	for _, faults := range []runnerstub.Faults{{ErrorShare: 1}, {MuteShare: 1}, {ShedShare: 1}} {
		assert.NilError(t, w.SetRunnerFaults("mailer-1", faults))
		for range 5 {
			got := send(t.Context(), nodes[0], clientRequest{Path: "/read/x", Deadline: 3 * time.Second})
			assert.Equal(t, got.Status, http.StatusOK, "%+v: %+v", faults, got)
		}
	}
}

// TestClientThatLeavesEndsTheWork: a client that disconnects while its request waits,
// before the first event, or in the middle of a stream ends the work for it.
func TestClientThatLeavesEndsTheWork(t *testing.T) {
	t.Parallel()
	w, nodes := startLoaded(t, 1, 1)
	assert.NilError(t, w.SetRunnerFaults("runner-1", runnerstub.Faults{SlowFactor: 20}))
	id := newID()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan clientAnswer, 1)
	go func() {
		done <- send(ctx, nodes[0], clientRequest{ID: id, Path: "/draft/x", Model: "alpha", Events: 500})
	}()
	waitUntil(t, "the request runs", func() error {
		if runsOfRequest(readHistory(t, w), id) == 0 {
			return fault.New(fault.CodeNotFound, "test", "not yet")
		}
		return nil
	})
	cancel()
	assert.Assert(t, !(<-done).Complete)
	waitUntil(t, "the runner cancels the request", func() error {
		for _, record := range readHistory(t, w).records {
			if record.Event == journal.EventCanceled && record.Request == id {
				return nil
			}
		}
		return fault.New(fault.CodeNotFound, "test", "not yet")
	})
	// A request that waits for a model that never loads leaves nothing behind.
	waiting, leave := context.WithCancel(t.Context())
	go func() { done <- send(waiting, nodes[0], clientRequest{Path: "/draft/x", Model: "unknown"}) }()
	waitQueued(t, nodes[0], 1)
	leave()
	<-done
	waitNoneWaiting(t, nodes[0])
}

// TestTimeoutOfRouteIsFinal: a request that exceeds its route's time-out gets its final
// answer, and its runner stops.
func TestTimeoutOfRouteIsFinal(t *testing.T) {
	t.Parallel()
	w, nodes := startLoaded(t, 1, 1)
	routes := world.DefaultRoutes()
	for index := range routes {
		routes[index].TimeoutMs = 300
	}
	assert.NilError(t, w.Configure(routes))
	for _, mailer := range []string{"mailer-1", "mailer-2"} {
		assert.NilError(t, w.SetRunnerFaults(mailer, runnerstub.Faults{MuteShare: 1}))
	}
	waitUntil(t, "the time-out is active", func() error {
		got := send(t.Context(), nodes[0], clientRequest{Path: "/send/x", Deadline: 10 * time.Second})
		if got.Status != http.StatusGatewayTimeout {
			return fmt.Errorf("%+v", got)
		}
		return nil
	})
	got := send(t.Context(), nodes[0], clientRequest{Path: "/draft/x", Model: "alpha", Events: 5000})
	assert.Assert(t, !got.Complete, "a stream outlasted its route's time-out: %d events", got.Events)
}

// TestReusedAddressRunsNothingForeign: a runner is replaced at its address by one of
// another service, and the list still contains the old one. No request of one service runs
// at the other.
func TestReusedAddressRunsNothingForeign(t *testing.T) {
	t.Parallel()
	w, nodes := startLoaded(t, 1, 1)
	foreign := w.Runners["runner-1"]
	row := protocol.Row{Table: protocol.RunnerTable, Key: "mailer-gone", Value: []byte(fmt.Sprintf(
		`{"svc":%q,"address":%q,"az":"zone-a","slots":8,"state":"ready"}`, world.MailService, foreign.Proxy.Address()))}
	assert.NilError(t, w.PutRows(row))
	for range 20 {
		id := newID()
		got := send(t.Context(), nodes[0], clientRequest{ID: id, Path: "/send/x"})
		assert.Assert(t, got.Status == http.StatusOK || got.Status == http.StatusServiceUnavailable, "%+v", got)
		for _, record := range readHistory(t, w).records {
			assert.Assert(t, record.Request != id || record.Event != journal.EventRun || record.Runner != "runner-1", "%+v", record)
		}
	}
}

// TestServingGoesOnWithoutTheStore: while the store is down for longer than the lease,
// loaded models are served and no node gives orders. Once it is back, models that are not
// loaded are loaded again.
func TestServingGoesOnWithoutTheStore(t *testing.T) {
	t.Parallel()
	w, nodes := startLoaded(t, 2, 3)
	apply(t, nodes[0], model("beta", 1)...)
	waitKnown(t, "beta", nodes...)
	for _, down := range []storestub.Rejection{storestub.Silent, storestub.Busy, storestub.Reset} {
		assert.NilError(t, w.SetStoreFaults(storestub.Faults{Down: down}))
		time.Sleep(2500 * time.Millisecond) // longer than the lease
		began := time.Now()
		for _, node := range nodes {
			got := send(t.Context(), node, clientRequest{Path: "/draft/x", Model: "alpha", Events: 3})
			assert.Assert(t, got.Complete && got.Status == http.StatusOK, "%s: %+v", down, got)
			got = send(t.Context(), node, clientRequest{Path: "/draft/x", Model: "beta", Events: 3, Deadline: 700 * time.Millisecond})
			assert.Equal(t, got.Status, http.StatusServiceUnavailable, "%s: %+v", down, got)
		}
		for _, record := range readHistory(t, w).records {
			assert.Assert(t, record.Event != journal.EventLoad || record.Time.Before(began), "%s: %+v", down, record)
		}
		assert.NilError(t, w.SetStoreFaults(storestub.Faults{}))
	}
	// The client has less time left than the route allows, as one that retries, so it is
	// not sent back while no lease holder acts yet.
	got := send(t.Context(), nodes[1], clientRequest{Path: "/draft/x", Model: "beta", Events: 3, Deadline: 15 * time.Second})
	assert.Assert(t, got.Complete && got.Status == http.StatusOK, "%+v", got)
}

// TestRunnersMissingAfterOutageAreUsed: the runner list is empty after an outage of the
// store. Runners that still serve are used as a last resort.
func TestRunnersMissingAfterOutageAreUsed(t *testing.T) {
	t.Parallel()
	w, nodes := startLoaded(t, 1, 1)
	nodes[0].StoreProxy.Set(faultproxy.Silence)
	time.Sleep(3200 * time.Millisecond) // longer than the gap after which the list is in doubt
	var gone []protocol.Row
	for id := range w.Runners {
		gone = append(gone, protocol.Row{Table: protocol.RunnerTable, Key: id, Deleted: true})
	}
	assert.NilError(t, w.PutRows(gone...))
	assert.NilError(t, w.ForgetHistory())
	nodes[0].StoreProxy.Reset()
	nodes[0].StoreProxy.Heal()
	waitUntil(t, "the list is read", func() error {
		if !hasLineWith(readLog(t, w, nodes[0]), "runners listed", `"runners":0`, `"doubtful":true`) {
			return fault.New(fault.CodeNotFound, "test", "not yet")
		}
		return nil
	})
	got := send(t.Context(), nodes[0], clientRequest{Path: "/read/x"})
	assert.Equal(t, got.Status, http.StatusOK)
}

// TestSettingsAreReloaded: a change of the settings file becomes active without a restart,
// with a signal or without one.
func TestSettingsAreReloaded(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	nodes := startNodes(t, w, 1)
	var s settingsType
	w.Adjust(&s)
	content := readFile(t, nodes[0].SettingsPath())
	writeTo(t, nodes[0].SettingsPath(), strings.Replace(content, "level: debug", "level: info", 1))
	waitUntil(t, "the settings are active", func() error {
		if !hasLineWith(readLog(t, w, nodes[0]), "settings in force") {
			return fault.New(fault.CodeNotFound, "test", "not yet")
		}
		return nil
	})
}

// TestDrainedNodeComesBack: a planned stop of a node removes it from the list of the entry,
// and the end of the stop brings it back without a restart.
func TestDrainedNodeComesBack(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	nodes := startNodes(t, w, 2)
	drain := api.NewObject(api.KindDrain, "node", api.Drain{Target: api.DrainNode, Name: nodes[1].Name})
	apply(t, nodes[0], drain)
	waitUntil(t, "the node is not ready", func() error {
		response, err := http.Get("http://" + nodes[1].Ready + "/readyz")
		if err != nil {
			return err
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusServiceUnavailable {
			return fmt.Errorf("%s", response.Status)
		}
		return nil
	})
	submitEventually(t, nodes[0], drain, true)
	assert.NilError(t, nodes[1].WaitReady())
}

// TestForeignRowNamesNoRunner: another writer puts invalid rows among those of the runners,
// and overwrites one of them. Nothing is sent there, all other rows stay valid, and the
// overwritten runner counts again once it has written its row again.
func TestForeignRowNamesNoRunner(t *testing.T) {
	t.Parallel()
	w, nodes := startLoaded(t, 2, 2)
	row := func(key, value string) protocol.Row {
		return protocol.Row{Table: protocol.RunnerTable, Key: key, Value: []byte(value)}
	}
	assert.NilError(t, w.PutRows(
		row("foreign-1", "\xff\x00not JSON"), row("foreign-2", "null"), row("foreign-3", `{"svc":7}`), row("foreign-4", `{"svc":"engines"}`),
		row("runner-1", `{"svc":"engines","address":"127.0.0.1:1","az":"zone-a","slots":8,"state":"zombie"}`),
	))
	waitUntil(t, "only the other runner counts", func() error {
		for _, node := range nodes {
			if got := runnersHolding(t, node, "alpha"); len(got) != 1 || got[0] != "runner-2" {
				return fmt.Errorf("%v hold it at %s", got, node.Name)
			}
		}
		return nil
	})
	for number := range 12 {
		id := newID()
		got := send(t.Context(), nodes[number%2], clientRequest{ID: id, Path: "/reply/x", Model: "alpha", Events: 3})
		assert.Assert(t, got.Complete && got.Status == http.StatusOK, "%+v", got)
		for _, record := range readHistory(t, w).records {
			assert.Assert(t, record.Request != id || record.Runner == "runner-2", "%+v", record)
		}
	}
	assert.NilError(t, w.DrainRunner("runner-1"))
	waitUntil(t, "the runner's own row counts", func() error {
		runners, err := nodes[0].Client().Runners(t.Context(), "runner-1")
		if err != nil || len(runners) != 1 {
			return fmt.Errorf("%v %w", runners, err)
		}
		return nil
	})
}
