// Package gateway is the callers' API: chat and completion calls over HTTP, answered in one piece
// or as server-sent events.
package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"lilacvane/internal/api"
	"lilacvane/internal/body"
	"lilacvane/internal/dispatch"
	"lilacvane/internal/fault"
	"lilacvane/internal/fleet"
	"lilacvane/internal/inbound"
	"lilacvane/internal/memory"
)

const (
	stepParse          = "read request"
	promptPrefixLength = 256
	// maximumAnswerTokens bounds the number of tokens that a caller may ask for, so that sums of token
	// counts are exact.
	maximumAnswerTokens = 1 << 30
	// parseCopies is how many times the memory of a body its parsing takes: as it arrives, in one piece, and
	// as texts.
	parseCopies = 3
)

// parsedCall is a call as parsed from its HTTP request.
type parsedCall struct {
	request    dispatch.Request
	completion api.Completion
	class      api.Class
	// key is the idempotency key. It is empty if the call may be repeated.
	key string
}

// parse parses and validates a call. Errors name the invalid part.
func parse(r *http.Request, id string, now time.Time) (parsedCall, error) {
	var call parsedCall
	if err := rejectRepeatedHeaders(r.Header); err != nil {
		return call, err
	}
	received, err := inbound.ReadBody(r, api.MaximumBodyBytes, parseCopies)
	if err != nil {
		return call, err
	}
	content := received.Bytes()
	if err := json.Unmarshal(content, &call.completion); err != nil {
		return call, fault.New(fault.CodeInvalid, stepParse, "body: %v", err)
	}
	if call.completion.Model == "" {
		return call, fault.New(fault.CodeInvalid, stepParse, "body: model is missing")
	}
	if call.completion.MaxTokens < 0 || call.completion.MaxTokens > maximumAnswerTokens {
		return call, fault.New(fault.CodeInvalid, stepParse, "body: max_tokens must be 0 to %d", maximumAnswerTokens)
	}
	class, ok := api.ParseClass(r.Header.Get(api.HeaderClass))
	if !ok {
		return call, fault.New(fault.CodeInvalid, stepParse, "%s must be urgent, interactive, ordinary or patient", api.HeaderClass)
	}
	startWithin, err := parseDeadline(r.Header.Get(api.HeaderDeadline))
	if err != nil {
		return call, err
	}
	key := r.Header.Get(api.HeaderIdempotencyKey)
	if len(key) > api.MaximumIdempotencyKey {
		return call, fault.New(fault.CodeInvalid, stepParse, "%s has more than %d bytes", api.HeaderIdempotencyKey, api.MaximumIdempotencyKey)
	}
	call.class, call.key = class, key
	call.request = dispatch.Request{
		ID: id, Method: http.MethodPost, Target: r.URL.Path, Path: r.URL.Path, Host: r.Host, Body: body.New(content), Arrived: now, Read: time.Now(),
		Header: http.Header{"Content-Type": {"application/json"}}, StartWithin: startWithin,
		Key: bearerToken(r.Header), Counts: dispatch.CountsGiven,
	}
	describePrompt(&call)
	// The request keeps the body alone.
	call.completion.Prompt, call.completion.Messages = "", nil
	inbound.Give(r, (parseCopies-1)*memory.Bytes(len(content)))
	return call, nil
}

// headerAuthorization carries the caller's key, as is usual for model servers.
const headerAuthorization = "Authorization"

// bearerToken returns the key of the Authorization header, or an empty string if there is none.
func bearerToken(header http.Header) string {
	scheme, key, _ := strings.Cut(header.Get(headerAuthorization), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// defaultAnswerTokens is the assumed length of an answer without a limit.
const defaultAnswerTokens = 256

// describePrompt estimates the token counts of the prompt and the answer. It also identifies the parts of
// the prompt, which route requests with the same beginning to the same runner, and by which requests
// that crash runners are recognized.
func describePrompt(call *parsedCall) {
	words := len(strings.Fields(call.completion.Prompt))
	for _, message := range call.completion.Messages {
		words += len(strings.Fields(message.Content))
	}
	call.request.TokensIn = max(words, 1)
	call.request.TokensOut = call.completion.MaxTokens
	if call.request.TokensOut == 0 {
		call.request.TokensOut = defaultAnswerTokens
	}
	call.request.Prompt = promptParts(call.completion, call.request.TokensIn)
}

// promptParts returns the parts of a prompt: the messages of a conversation, or else all of it as one part
// by its beginning.
func promptParts(completion api.Completion, tokens int) []fleet.Part {
	if len(completion.Messages) < 2 {
		return []fleet.Part{newPart(promptPrefix(completion), tokens)}
	}
	messages := completion.Messages[:min(len(completion.Messages), maxPromptParts)]
	parts := make([]fleet.Part, 0, len(messages))
	for _, message := range messages {
		parts = append(parts, newPart(message.Role+"\x00"+message.Content, max(len(strings.Fields(message.Content)), 1)))
	}
	return parts
}

// maxPromptParts bounds the parts of a prompt: a runner's caches are told apart by the first ones.
const maxPromptParts = 64

// newPart returns the part with this text.
func newPart(text string, tokens int) fleet.Part {
	return fleet.Part{ID: strconv.FormatUint(xxhash.Sum64String(text), 16), Tokens: tokens}
}

// formatParts returns the parts of a prompt as runners read them.
func formatParts(parts []fleet.Part) string {
	texts := make([]string, 0, len(parts))
	for _, part := range parts {
		texts = append(texts, part.ID+":"+strconv.Itoa(part.Tokens))
	}
	return strings.Join(texts, ",")
}

// rejectRepeatedHeaders rejects headers of this API that are given more than once.
func rejectRepeatedHeaders(headers http.Header) error {
	for _, name := range []string{api.HeaderClass, api.HeaderDeadline, api.HeaderIdempotencyKey, headerAuthorization} {
		if len(headers.Values(name)) > 1 {
			return fault.New(fault.CodeInvalid, stepParse, "header %s is given %d times", name, len(headers.Values(name)))
		}
	}
	return nil
}

// parseDeadline parses the seconds within which the answer must start.
func parseDeadline(text string) (time.Duration, error) {
	if text == "" {
		return api.DefaultDeadline, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0) {
		return 0, fault.New(fault.CodeInvalid, stepParse, "%s must be a number of seconds above 0", api.HeaderDeadline)
	}
	if seconds > api.MaximumDeadline.Seconds() {
		return 0, fault.New(fault.CodeInvalid, stepParse, "%s is over the limit of %.0f seconds", api.HeaderDeadline, api.MaximumDeadline.Seconds())
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// promptPrefix returns the beginning of the prompt. Requests that share a cached prefix are routed
// to the same runner by it.
func promptPrefix(completion api.Completion) string {
	text := completion.Model + "\x00" + completion.Prompt
	for _, message := range completion.Messages {
		if len(text) >= promptPrefixLength {
			break
		}
		text += message.Role + "\x00" + message.Content
	}
	return text[:min(len(text), promptPrefixLength)]
}
