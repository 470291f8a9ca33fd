package test

import (
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/world"
	"lilacvane/platform/protocol"
)

// trap is a listener to which no request may go. It counts connections.
type trap struct {
	net.Listener
	connections atomic.Int64
}

func newTrap(t *testing.T) *trap {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	caught := &trap{Listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			caught.connections.Add(1)
			_ = conn.Close()
		}
	}()
	return caught
}

// port returns the port of the trap.
func (c *trap) port() int { return c.Addr().(*net.TCPAddr).Port }

// standIn is a number in a row that is replaced by one that no Go number holds.
const standIn = 987654321

// encodeRow encodes the value of a row, and replaces a part of its text.
func encodeRow(value any, old, replacement string) string {
	encoded, err := json.Marshal(value)
	if err != nil {
		// Tests only encode plain values.
		panic(err)
	}
	return strings.Replace(string(encoded), old, replacement, 1)
}

// oddRunners returns values of rows of runners of which no node may use one, made from a sound runner.
func oddRunners(sound protocol.ListedRunner) []string {
	const largest = 700 << 10
	number := strconv.Itoa(standIn)
	odd := func(old, replacement string, change func(*protocol.ListedRunner)) string {
		changed := sound
		change(&changed)
		return encodeRow(changed, old, replacement)
	}
	asIs := func(*protocol.ListedRunner) {}
	unnamed := encodeRow(protocol.LoadedModel{}, "", "")
	return []string{
		odd("", "", func(r *protocol.ListedRunner) { r.Slots = 1e18 }), odd("", "", func(r *protocol.ListedRunner) { r.Slots = -1 }),
		odd("", "", func(r *protocol.ListedRunner) { r.Sequence = math.MaxUint64 }),
		odd(number, "1e400", func(r *protocol.ListedRunner) { r.Slots = standIn }), odd(number, "1e400", func(r *protocol.ListedRunner) { r.ColdLeftMs = standIn }),
		odd("{", `{"x":`+strings.Repeat("[", 10_001)+strings.Repeat("]", 10_001)+",", asIs), odd("{", `{"x":`+strings.Repeat("[", largest), asIs),
		odd("", "", func(r *protocol.ListedRunner) { r.Build = strings.Repeat("x", largest) }),
		odd(unnamed, strings.Repeat("{},", largest/3)+"{}", func(r *protocol.ListedRunner) { r.Models = make([]protocol.LoadedModel, 1) }),
		odd(strconv.Quote(sound.Service), "{}", asIs), "\xff\xfe", "null", "[]", "7", "",
	}
}

// oddRunnerRows returns rows of runners of which no node may use one. Most would lead to the trap.
func oddRunnerRows(caught *trap) []protocol.Row {
	sound := protocol.ListedRunner{
		Service: world.EngineService, Address: caught.Addr().String(), Zone: "zone-a", Slots: 8, State: protocol.StateReady,
		Models: []protocol.LoadedModel{{Name: "alpha"}, {Name: "beta"}},
	}
	values := oddRunners(sound)
	for _, host := range []string{
		fmt.Sprintf("localhost:%d", caught.port()), fmt.Sprintf("0.0.0.0:%d", caught.port()),
		"127.0.0.1:0", "127.0.0.1:99999", "127.0.0.1:http", ":80", "127.0.0.1", "runner.invalid:80", "[::1", "2001:db8::1:80",
	} {
		for _, service := range []string{world.EngineService, world.MailService} {
			elsewhere := sound
			elsewhere.Address, elsewhere.Service = host, service
			values = append(values, encodeRow(elsewhere, "", ""))
		}
	}
	var rows []protocol.Row
	for number, value := range values {
		rows = append(rows, protocol.Row{Table: protocol.RunnerTable, Key: fmt.Sprintf("odd-%02d", number), Value: []byte(value)})
	}
	whole := []byte(encodeRow(sound, "", ""))
	for _, key := range []string{strings.Repeat("k", 201), "odd key", "odd\r\nkey: x", "runner-1@7", "odd-\u00e9"} {
		rows = append(rows, protocol.Row{Table: protocol.RunnerTable, Key: key, Value: whole})
	}
	return rows
}

// oddConfiguration returns a configuration whose weights add up to more than a number holds.
func oddConfiguration() string {
	routes := world.DefaultRoutes()[:1]
	routes[0].Split = []protocol.Split{{Service: world.EngineService, Weight: 1 << 62}, {Service: world.MailService, Weight: 1 << 62}}
	return encodeRow(protocol.Configuration{
		Version: 900, Routes: routes, Services: []protocol.Service{{Name: world.EngineService}, {Name: world.MailService}},
	}, "", "")
}

// oddOtherRows returns rows that are not read as what their tables hold.
func oddOtherRows() []protocol.Row {
	row := func(table, key, value string) protocol.Row {
		return protocol.Row{Table: table, Key: key, Value: []byte(value)}
	}
	deep := strings.Repeat("[", 100_000)
	return []protocol.Row{
		row(protocol.OperatorTable, protocol.ConfigurationKey, deep),
		row(protocol.OperatorTable, protocol.ConfigurationKey, oddConfiguration()),
		row(protocol.OperatorTable, protocol.EvacuationPrefix, "x"), row(protocol.OperatorTable, "other", deep),
		row(protocol.ObjectTable, "log/00000000000000000001", "\xff"), row(protocol.ObjectTable, "log/9", deep), row(protocol.ObjectTable, "object/Model/odd", `{"generation":-1}`),
		row(protocol.PoisonTable, "odd", deep), row(protocol.PoisonTable, strings.Repeat("ab", 32), strings.Repeat("\x81", 1000)),
		row(protocol.LimitTable, "division", "\xff"), row(protocol.ClaimTable, "claim/odd", deep), row(protocol.LeaseTable, "odd", deep), row(protocol.LeaseTable, "control."+world.EngineService, deep),
	}
}

// TestOddRowsEndedNodes: other writers leave odd rows among those of runners and in all other tables, again and
// again. Nodes live, requests go to runners alone, later changes are followed, a node that starts beside the rows
// serves too, and each row is logged once.
func TestOddRowsEndedNodes(t *testing.T) {
	t.Parallel()
	w, nodes := startLoaded(t, 2, 2)
	caught := newTrap(t)
	for range 2 {
		for _, row := range append(oddRunnerRows(caught), oddOtherRows()...) {
			assert.NilError(t, w.PutRows(row))
		}
		serveBesideOddRows(t, w, nodes)
	}
	// A node that starts has no last valid configuration.
	assert.NilError(t, w.Configure(world.DefaultRoutes()))
	started, err := w.LaunchNode("node-3", "zone-a")
	assert.NilError(t, err)
	assert.NilError(t, started.WaitReady())
	nodes = append(nodes, started)
	startRunner(t, w, "runner-3", "zone-a")
	apply(t, nodes[1], append(model("beta", 1), readyPolicy("beta", 1))...)
	waitKnown(t, "beta", nodes...)
	serveBesideOddRows(t, w, nodes)
	odd := clientRequest{Path: "/draft/x", Model: "beta/\xff\xfe", Events: 1, Deadline: 500e6}
	for _, node := range nodes {
		send(t.Context(), node, odd)
		got := send(t.Context(), node, clientRequest{Path: "/draft/x", Model: "beta", Events: 3})
		assert.Assert(t, got.Complete && got.Status == http.StatusOK, "%s: %+v", node.Name, got)
	}
	assert.NilError(t, w.DrainRunner("runner-1"))
	waitUntil(t, "a later change is followed", func() error {
		for _, node := range nodes {
			if !hasLineWith(readLog(t, w, node), "runners leaving", "runner-1") {
				return fmt.Errorf("%s does not know it", node.Name)
			}
		}
		return nil
	})
	assert.Equal(t, caught.connections.Load(), int64(0), "connections to what odd rows name")
	for _, node := range nodes {
		assert.Assert(t, !node.Current().Ended(), node.Name)
		checkOddRowLines(t, readLog(t, w, node))
		assert.Assert(t, strings.Contains(getBody(t, "http://"+node.Metrics+"/metrics"), `lilacvane_rows_unreadable_total{table="runners"}`))
	}
}

// serveBesideOddRows checks that all nodes serve and list no other than the runners that were started.
func serveBesideOddRows(t *testing.T, w *world.World, nodes []*world.Node) {
	t.Helper()
	for _, node := range nodes {
		for range 6 {
			got := send(t.Context(), node, clientRequest{Path: "/draft/x", Model: "alpha", Events: 3})
			assert.Assert(t, got.Complete && got.Status == http.StatusOK, "%s: %+v", node.Name, got)
			got = send(t.Context(), node, clientRequest{Path: "/read/x"})
			assert.Equal(t, got.Status, http.StatusOK, "%s: %+v", node.Name, got)
		}
		runners, err := node.Client().Runners(t.Context(), "")
		assert.NilError(t, err)
		for _, runner := range runners {
			assert.Assert(t, w.Runners[strings.Split(runner.Runner, "@")[0]] != nil, "%s lists %.60q", node.Name, runner.Runner)
		}
	}
}

// checkOddRowLines checks that no revision of a row is logged twice and that no line is long.
func checkOddRowLines(t *testing.T, log string) {
	t.Helper()
	seen := make(map[string]bool)
	for line := range strings.SplitSeq(log, "\n") {
		if !strings.Contains(line, `"row unreadable"`) {
			continue
		}
		_, row, _ := strings.Cut(line, `"table":`)
		assert.Check(t, !seen[row], "%.200s is logged twice", line)
		assert.Check(t, len(line) < 4<<10, "a line of %d bytes", len(line))
		seen[row] = true
	}
	assert.Check(t, len(seen) > 20, "%d odd rows are logged", len(seen))
}
