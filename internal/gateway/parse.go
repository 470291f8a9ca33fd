// Package gateway is the callers' interface: chat and completion calls over
// HTTP, answered whole or as server-sent events.
package gateway

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"lilacvane/internal/api"
	"lilacvane/internal/dispatch"
	"lilacvane/internal/fault"
	"lilacvane/internal/fleet"
)

const (
	stepParse    = "read request"
	prefixLength = 256
)

// parsed is a call as it was read.
type parsed struct {
	request    dispatch.Request
	completion api.Completion
	class      api.Class
	// key is the idempotency key; empty when the call may be repeated.
	key string
}

// parse reads and checks a call. Errors say what is wrong with which part.
func parse(r *http.Request, id string, now time.Time) (parsed, error) {
	var call parsed
	if err := singleHeaders(r.Header); err != nil {
		return call, err
	}
	content, err := readBody(r)
	if err != nil {
		return call, err
	}
	if err := json.Unmarshal(content, &call.completion); err != nil {
		return call, fault.New(fault.CodeInvalid, stepParse, "body: %v", err)
	}
	if call.completion.Model == "" {
		return call, fault.New(fault.CodeInvalid, stepParse, "body: model is missing")
	}
	class, ok := api.ParseClass(r.Header.Get(api.HeaderClass))
	if !ok {
		return call, fault.New(fault.CodeInvalid, stepParse, "%s must be urgent, interactive, ordinary or patient", api.HeaderClass)
	}
	patience, err := deadline(r.Header.Get(api.HeaderDeadline))
	if err != nil {
		return call, err
	}
	key := r.Header.Get(api.HeaderIdempotencyKey)
	if len(key) > api.MaximumIdempotencyKey {
		return call, fault.New(fault.CodeInvalid, stepParse, "%s has more than %d bytes", api.HeaderIdempotencyKey, api.MaximumIdempotencyKey)
	}
	call.class, call.key = class, key
	call.request = dispatch.Request{
		ID: id, Method: http.MethodPost, Target: r.URL.Path, Path: r.URL.Path, Host: r.Host, Body: content, Arrived: now,
		Header: http.Header{"Content-Type": {"application/json"}}, StartWithin: patience,
		Key: callersKey(r.Header), Counts: dispatch.CountsGiven,
	}
	describePrompt(&call)
	return call, nil
}

// headerKey carries the caller's key, as model servers take it.
const headerKey = "Authorization"

// callersKey reads a key as model servers take it; empty when there is none.
func callersKey(header http.Header) string {
	scheme, key, _ := strings.Cut(header.Get(headerKey), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// defaultAnswerTokens is the length assumed of an answer without a bound.
const defaultAnswerTokens = 256

// describePrompt estimates the sizes of the prompt and the answer, and names the
// prompt's beginning, by which requests that share it find the same runner.
func describePrompt(call *parsed) {
	words := len(strings.Fields(call.completion.Prompt))
	for _, message := range call.completion.Messages {
		words += len(strings.Fields(message.Content))
	}
	call.request.TokensIn = max(words, 1)
	call.request.TokensOut = call.completion.MaxTokens
	if call.request.TokensOut == 0 {
		call.request.TokensOut = defaultAnswerTokens
	}
	hash := xxhash.Sum64String(prefix(call.completion))
	call.request.Prompt = []fleet.Part{{ID: strconv.FormatUint(hash, 16), Tokens: call.request.TokensIn}}
}

// singleHeaders refuses headers of this interface that come more than once.
func singleHeaders(headers http.Header) error {
	for _, name := range []string{api.HeaderClass, api.HeaderDeadline, api.HeaderIdempotencyKey, headerKey} {
		if len(headers.Values(name)) > 1 {
			return fault.New(fault.CodeInvalid, stepParse, "header %s is given %d times", name, len(headers.Values(name)))
		}
	}
	return nil
}

func readBody(r *http.Request) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(r.Body, api.MaximumBodyBytes+1))
	if err != nil {
		return nil, fault.New(fault.CodeInvalid, stepParse, "body: %v", err)
	}
	if len(content) > api.MaximumBodyBytes {
		return nil, fault.New(fault.CodeTooLarge, stepParse, "body has more than %d bytes", api.MaximumBodyBytes)
	}
	return content, nil
}

// deadline reads the seconds within which the answer must begin.
func deadline(text string) (time.Duration, error) {
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

// prefix is the beginning of the prompt, by which requests that share a cached
// prefix find the same runner.
func prefix(completion api.Completion) string {
	text := completion.Model + "\x00" + completion.Prompt
	for _, message := range completion.Messages {
		if len(text) >= prefixLength {
			break
		}
		text += message.Role + "\x00" + message.Content
	}
	return text[:min(len(text), prefixLength)]
}
