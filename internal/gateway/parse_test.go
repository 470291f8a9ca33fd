package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/api"
	"lilacvane/internal/fault"
	"lilacvane/internal/fleet"
)

func callWith(body string, headers map[string][]string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, pathChat, strings.NewReader(body))
	for name, values := range headers {
		r.Header[http.CanonicalHeaderKey(name)] = values
	}
	return r
}

// Each invalid call is rejected with a typed error that says that the request was not run.
func TestBadCallsAreRefused(t *testing.T) {
	const good = `{"model":"m"}`
	for name, test := range map[string]struct {
		request *http.Request
		code    fault.Code
	}{
		"malformed":        {callWith(`{"model":`, nil), fault.CodeInvalid},
		"no model":         {callWith(`{}`, nil), fault.CodeInvalid},
		"wrong type":       {callWith(`{"model":7}`, nil), fault.CodeInvalid},
		"huge":             {callWith(strings.Repeat(" ", api.MaximumBodyBytes+1), nil), fault.CodeTooLarge},
		"unknown class":    {callWith(good, map[string][]string{api.HeaderClass: {"now"}}), fault.CodeInvalid},
		"duplicate header": {callWith(good, map[string][]string{api.HeaderIdempotencyKey: {"a", "b"}}), fault.CodeInvalid},
		"long key":         {callWith(good, map[string][]string{api.HeaderIdempotencyKey: {strings.Repeat("k", api.MaximumIdempotencyKey+1)}}), fault.CodeInvalid},
		"no number":        {callWith(good, map[string][]string{api.HeaderDeadline: {"soon"}}), fault.CodeInvalid},
		"not a number":     {callWith(good, map[string][]string{api.HeaderDeadline: {"NaN"}}), fault.CodeInvalid},
		"over-long":        {callWith(good, map[string][]string{api.HeaderDeadline: {"1e9"}}), fault.CodeInvalid},
	} {
		_, err := parse(test.request, "id", time.Now())
		assert.Assert(t, fault.IsCode(err, test.code), "%s: %v", name, err)
		assert.Equal(t, fault.OutcomeOf(err), fault.NotDone, name)
	}
}

// Headers and body of a valid call are parsed into the request.
func TestGoodCall(t *testing.T) {
	now := time.Now()
	call, err := parse(callWith(`{"model":"m","stream":true,"messages":[{"role":"user","content":"hello"}]}`,
		map[string][]string{api.HeaderClass: {"urgent"}, api.HeaderDeadline: {"1.5"}, api.HeaderIdempotencyKey: {"k"}}), "id", now)
	assert.NilError(t, err)
	assert.Equal(t, call.class, api.ClassUrgent)
	assert.Equal(t, call.request.StartWithin, 1500*time.Millisecond)
	assert.Equal(t, call.key, "k")
	assert.Assert(t, call.completion.Stream)
}

// TestConversationsShareParts checks that conversations with the same system message share its part, that
// the last message is a part of its own, and that a prompt without messages is one part.
func TestConversationsShareParts(t *testing.T) {
	conversation := func(question string) []fleet.Part {
		return promptParts(api.Completion{Model: "m", Messages: []api.Message{{Role: "system", Content: "be brief"}, {Role: "user", Content: question}}}, 5)
	}
	first, second := conversation("why is it"), conversation("what is it")
	assert.Equal(t, len(first), 2)
	assert.Equal(t, first[0], second[0])
	assert.Equal(t, first[0].Tokens, 2)
	assert.Assert(t, first[1].ID != second[1].ID)
	assert.Equal(t, formatParts(first), first[0].ID+":2,"+first[1].ID+":3")
	assert.Equal(t, len(promptParts(api.Completion{Model: "m", Prompt: "p"}, 1)), 1)
}

// TestOddAnswerLengthsPaidTenants checks that numbers of tokens which would make a request cost less than nothing, or
// overflow, are refused, as are bodies that are nested too deeply.
func TestOddAnswerLengthsPaidTenants(t *testing.T) {
	for _, odd := range []string{
		`"max_tokens":-1000000000`, `"max_tokens":9223372036854775807`, `"max_tokens":1e400`, `"max_tokens":1e18`, `"max_tokens":"1"`, `"x":` + strings.Repeat("[", 1_000_000),
	} {
		_, err := parse(callWith(`{"model":"m",`+odd+`}`, nil), "id", time.Now())
		assert.Check(t, fault.IsCode(err, fault.CodeInvalid), "%.40s: %v", odd, err)
	}
}
