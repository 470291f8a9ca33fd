package ingress

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/dispatch"
	"lilacvane/internal/fault"
	"lilacvane/internal/fleet"
	"lilacvane/internal/upstream"
)

const (
	stepParse = "parse request"
	// maximumParts bounds the parts of a prompt that are looked at.
	maximumParts = 64
	// maximumPatience bounds the time a client may ask to wait.
	maximumPatience = 24 * time.Hour
)

// parseModel reads the headers that describe a request to the dispatcher.
func parseModel(header http.Header, names upstream.Names, request *dispatch.Request) error {
	if text := header.Get(names.Deadline); text != "" {
		milliseconds, err := strconv.ParseInt(text, 10, 64)
		if err != nil || milliseconds < 0 || milliseconds > maximumPatience.Milliseconds() {
			return fault.New(fault.CodeInvalid, stepParse, "header %s: not a number of milliseconds", names.Deadline)
		}
		request.Patience = time.Duration(milliseconds) * time.Millisecond
	}
	model, adapter, _ := strings.Cut(header.Get(names.Model), "/")
	request.Unit = backend.Unit{Model: model, Adapter: adapter}
	request.TokensIn, request.TokensOut = parseTokens(header.Get(names.Tokens))
	request.Prompt = parsePrompt(header.Get(names.Prompt))
	return nil
}

// parseTokens reads "IN,OUT". Sizes only guide placement, so an unreadable one
// counts as zero; the runner judges the header itself.
func parseTokens(text string) (in, out int) {
	before, after, _ := strings.Cut(text, ",")
	in, _ = strconv.Atoi(strings.TrimSpace(before))
	out, _ = strconv.Atoi(strings.TrimSpace(after))
	return max(in, 0), max(out, 0)
}

// parsePrompt reads "ID:TOKENS,ID:TOKENS". It stops at the first part that it
// cannot read.
func parsePrompt(text string) []fleet.Part {
	if text == "" {
		return nil
	}
	var parts []fleet.Part
	for field := range strings.SplitSeq(text, ",") {
		id, size, ok := strings.Cut(strings.TrimSpace(field), ":")
		tokens, err := strconv.Atoi(size)
		if !ok || err != nil || tokens < 0 || len(parts) == maximumParts {
			break
		}
		parts = append(parts, fleet.Part{ID: id, Tokens: tokens})
	}
	return parts
}
