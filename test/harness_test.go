package test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"lilacvane/internal/api"
	"lilacvane/internal/fault"
	"lilacvane/internal/lab/world"
	"lilacvane/internal/operator"
	"lilacvane/internal/settings"
)

// patience bounds every wait; verdicts never depend on how long one took.
const patience = 60 * time.Second

var zones = []string{"zone-a", "zone-b", "zone-c"}

// fast shortens the intervals of failure detection, so that tests are quick.
func fast(s *settings.Settings) {
	s.Membership = settings.Membership{ProbeInterval: 200 * time.Millisecond, ProbeTimeout: 200 * time.Millisecond, SuspectFor: time.Second}
	s.Configuration.PollInterval = 300 * time.Millisecond
	s.Runners = settings.Runners{PollInterval: 500 * time.Millisecond, MachineInterval: 200 * time.Millisecond}
	s.Claims.Shards = 4
	s.Sleep.FixedKeepAlive = 2 * time.Second
	s.Log.Level = "debug"
}

// newWorld starts a platform; processes end with the test.
func newWorld(t *testing.T, adjust func(*world.Options)) *world.World {
	t.Helper()
	options := world.Options{
		Directory: t.TempDir(), Programs: programs, Region: "region-1", TimeZone: "UTC", Proxied: true, Adjust: fast,
		LoadsPerSecond: 50, Concurrency: 20, MiBPerSecond: 2000, MachineLag: 200 * time.Millisecond, TableRate: 2000,
	}
	if adjust != nil {
		adjust(&options)
	}
	w, err := world.New(options)
	assert.NilError(t, err)
	t.Cleanup(func() {
		w.Close()
		if t.Failed() {
			showLogs(t, options.Directory)
		}
	})
	return w
}

// showLogs prints the last lines of each process's log.
func showLogs(t *testing.T, directory string) {
	const lines = 15
	entries, err := os.ReadDir(directory)
	if err != nil {
		return
	}
	for _, entry := range entries {
		if !strings.HasSuffix(entry.Name(), ".log") {
			continue
		}
		content, _ := os.ReadFile(directory + "/" + entry.Name())
		all := strings.Split(strings.TrimSpace(string(content)), "\n")
		t.Logf("%s:\n%s", entry.Name(), strings.Join(all[max(0, len(all)-lines):], "\n"))
	}
}

func startNodes(t *testing.T, w *world.World, count int) []*world.Node {
	t.Helper()
	var nodes []*world.Node
	for index := range count {
		node, err := w.LaunchNode(fmt.Sprintf("node-%d", index+1), zones[index%len(zones)])
		assert.NilError(t, err)
		nodes = append(nodes, node)
	}
	for _, node := range nodes {
		assert.NilError(t, node.WaitReady())
	}
	waitUntil(t, "all nodes see each other", func() error {
		for _, node := range nodes {
			status, err := node.Client().Status(t.Context())
			if err != nil {
				return err
			}
			alive := 0
			for _, member := range status.Members {
				if member.State.String() == "alive" {
					alive++
				}
			}
			if alive != count {
				return fmt.Errorf("%s sees %d members", node.Name, alive)
			}
		}
		return nil
	})
	return nodes
}

func startEngines(t *testing.T, w *world.World, count int, memoryMiB int64) {
	t.Helper()
	for index := range count {
		_, err := w.StartEngine(world.EngineOptions{
			Name: fmt.Sprintf("runner-%d", index+1), Zone: zones[index%len(zones)],
			MemoryMiB: memoryMiB, Slots: 8, TokenTime: 10 * time.Millisecond,
		})
		assert.NilError(t, err)
	}
}

// waitUntil polls a condition.
func waitUntil(t *testing.T, what string, condition func() error) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := condition(); err != nil {
			return poll.Continue("%s: %v", what, err)
		}
		return poll.Success()
	}, poll.WithTimeout(patience), poll.WithDelay(50*time.Millisecond))
}

// model returns a Model with its only Version.
func model(name string, replicas int, memoryMiB int64) []api.Object {
	version := name + "-v1"
	return []api.Object{
		api.NewObject(api.KindVersion, version, api.Version{Model: name, Checkpoint: version, MemoryMiB: memoryMiB}),
		api.NewObject(api.KindModel, name, api.Model{ActiveVersion: version, Replicas: replicas}),
	}
}

func apply(t *testing.T, node *world.Node, objects ...api.Object) uint64 {
	t.Helper()
	result, err := node.Client().Submit(t.Context(), operator.Submission{Operation: "test-" + rand.Text(), Author: "test", Apply: objects})
	assert.NilError(t, err)
	return result.Revision
}

// setReplicas changes a model's replicas, whatever its generation.
func setReplicas(ctx context.Context, node *world.Node, name string, replicas int) error {
	object, err := node.Client().Get(ctx, api.KindModel, name)
	if err != nil {
		return err
	}
	changed := api.NewObject(api.KindModel, name, api.Model{ActiveVersion: name + "-v1", Replicas: replicas})
	changed.Generation = object.Generation
	_, err = node.Client().Submit(ctx, operator.Submission{Operation: "test-" + rand.Text(), Author: "test", Apply: []api.Object{changed}})
	return err
}

// waitGranted waits until a model has its grants at every node given.
func waitGranted(t *testing.T, name string, replicas int, nodes ...*world.Node) {
	t.Helper()
	waitUntil(t, name+" is granted", func() error {
		for _, node := range nodes {
			grant, err := grantOf(t.Context(), node, name)
			if err != nil {
				return err
			}
			if len(grant.Items) != replicas {
				return fmt.Errorf("%d items at %s", len(grant.Items), node.Name)
			}
		}
		return nil
	})
}

func grantOf(ctx context.Context, node *world.Node, name string) (api.Grant, error) {
	object, err := node.Client().Get(ctx, api.KindGrant, name)
	if err != nil {
		return api.Grant{}, err
	}
	return api.Decode[api.Grant](object)
}

// call is one request of a test.
type call struct {
	Model    string
	Prompt   string
	Tokens   int
	Key      string
	Class    string
	Deadline time.Duration
	// Whole asks for the answer in one piece instead of a stream.
	Whole bool
}

// outcome is the final outcome of a request as its caller saw it.
type outcome struct {
	ID     string
	Status int
	Code   fault.Code
	Ran    string
	Text   string
	// Served: the answer came to its marked end. Broken: the connection ended
	// without a final outcome.
	Served bool
	Broken bool
	Retry  string
	// Tokens counts the parts seen so far.
	Tokens int
}

// expected is the text the emulated engines answer a prompt with.
func expected(prompt string, tokens int) string {
	var text strings.Builder
	for index := range tokens {
		fmt.Fprintf(&text, "%s-%d ", strings.Fields(prompt)[0], index)
	}
	return text.String()
}

// ask sends a request and reads it to its final outcome. Progress, if not nil,
// hears of every part.
func ask(ctx context.Context, node *world.Node, c call, progress func(outcome)) outcome {
	body, _ := json.Marshal(api.Completion{Model: c.Model, Prompt: c.Prompt, Stream: !c.Whole, MaxTokens: c.Tokens})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.Callers+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return outcome{Broken: true}
	}
	setHeader := func(name, value string) {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	setHeader(api.HeaderIdempotencyKey, c.Key)
	setHeader(api.HeaderClass, c.Class)
	if c.Deadline > 0 {
		setHeader(api.HeaderDeadline, strconv.FormatFloat(c.Deadline.Seconds(), 'f', 3, 64))
	}
	// One connection for each request: a broken one is never tried again behind
	// the test's back.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return outcome{Broken: true}
	}
	defer response.Body.Close()
	result := outcome{ID: response.Header.Get(api.HeaderRequest), Status: response.StatusCode, Retry: response.Header.Get(api.HeaderRetryAfter)}
	if response.StatusCode != http.StatusOK {
		var refusal fault.Body
		if json.NewDecoder(response.Body).Decode(&refusal) != nil {
			result.Broken = true
		}
		result.Code, result.Ran = refusal.Error.Code, refusal.Error.Ran
		return result
	}
	if c.Whole {
		return readWhole(response, result)
	}
	return readEvents(response, result, progress)
}

type part struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *fault.BodyError `json:"error"`
}

func readWhole(response *http.Response, result outcome) outcome {
	var whole part
	if json.NewDecoder(response.Body).Decode(&whole) != nil || len(whole.Choices) == 0 {
		result.Broken = true
		return result
	}
	result.Text = whole.Choices[0].Text
	result.Served = true
	return result
}

func readEvents(response *http.Response, result outcome, progress func(outcome)) outcome {
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		content, isEvent := strings.CutPrefix(scanner.Text(), "data: ")
		if !isEvent {
			continue
		}
		if content == "[DONE]" {
			result.Served = true
			return result
		}
		var event part
		if json.Unmarshal([]byte(content), &event) != nil {
			break
		}
		if event.Error != nil {
			result.Code, result.Ran = event.Error.Code, event.Error.Ran
			return result
		}
		result.Text += event.Choices[0].Text
		result.Tokens++
		if progress != nil {
			progress(result)
		}
	}
	result.Broken = true
	return result
}

// assertServed checks that a caller got the whole answer to its own request.
func assertServed(t *testing.T, c call, got outcome) {
	t.Helper()
	assert.Assert(t, got.Served, "%+v: %+v", c, got)
	assert.Equal(t, got.Text, expected(c.Prompt, c.Tokens))
}

// submitEventually applies or deletes one object, trying again while the store
// or the node cannot take it.
func submitEventually(t *testing.T, node *world.Node, object api.Object, remove bool) {
	t.Helper()
	operation := "test-" + rand.Text()
	waitUntil(t, "a change is accepted", func() error {
		submission := operator.Submission{Operation: operation, Author: "test", Apply: []api.Object{object}}
		if remove {
			current, err := node.Client().Get(t.Context(), object.Kind, object.Name)
			if err != nil {
				return err
			}
			submission = operator.Submission{Operation: operation, Author: "test", Delete: []api.Object{current}}
		}
		_, err := node.Client().Submit(t.Context(), submission)
		return err
	})
}
