package test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"lilacvane/internal/fault"
)

// TestColdRequestIsServed: a request for a sleeping model is served, streamed
// and whole, by any node.
func TestColdRequestIsServed(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startEngines(t, w, 2, 1000)
	nodes := startNodes(t, w, 2)
	apply(t, nodes[0], model("alpha", 1, 300)...)
	streamed := call{Model: "alpha", Prompt: "first words", Tokens: 8}
	assertServed(t, streamed, ask(t.Context(), nodes[1], streamed, nil))
	whole := call{Model: "alpha", Prompt: "second words", Tokens: 8, Whole: true}
	assertServed(t, whole, ask(t.Context(), nodes[0], whole, nil))
	readHistory(t, w).assertMemory(t)
}

// TestRefusalsAreTyped: what cannot be served is refused at once, with a code,
// and truthfully as not run.
func TestRefusalsAreTyped(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	nodes := startNodes(t, w, 1)
	unknown := ask(t.Context(), nodes[0], call{Model: "nobody", Prompt: "x", Tokens: 1}, nil)
	assert.Equal(t, unknown.Status, http.StatusNotFound)
	assert.Equal(t, unknown.Code, fault.CodeUnknownModel)
	assert.Equal(t, unknown.Ran, "no")
	apply(t, nodes[0], model("none", 0, 300)...)
	none := ask(t.Context(), nodes[0], call{Model: "none", Prompt: "x", Tokens: 1}, nil)
	assert.Equal(t, none.Code, fault.CodeNoReplica)
	assert.Equal(t, none.Ran, "no")
	assert.Assert(t, none.Retry != "")
}
