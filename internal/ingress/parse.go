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
	// maximumPromptParts bounds the parsed parts of a prompt.
	maximumPromptParts = 64
	// maximumDeadline bounds the time that a client may ask to wait.
	maximumDeadline = 24 * time.Hour
)

// parseHeaders reads the headers that describe a request to the dispatcher.
func parseHeaders(header http.Header, names upstream.HeaderNames, request *dispatch.Request) error {
	if text := header.Get(names.Deadline); text != "" {
		milliseconds, err := strconv.ParseInt(text, 10, 64)
		if err != nil || milliseconds < 0 || milliseconds > maximumDeadline.Milliseconds() {
			return fault.New(fault.CodeInvalid, stepParse, "header %s: not a number of milliseconds", names.Deadline)
		}
		request.Patience = time.Duration(milliseconds) * time.Millisecond
	}
	model, adapter, _ := strings.Cut(header.Get(names.Model), "/")
	request.Unit = backend.Unit{Model: model, Adapter: adapter}
	request.TokensIn, request.TokensOut, request.Counts = parseTokens(header.Values(names.Tokens))
	request.Prompt = parsePrompt(header.Get(names.Prompt))
	request.ResumeAfter, request.Resumes = header.Get(names.ResumeAfter), header.Get(names.Resumes)
	request.Key = parseKey(header.Values(names.Key), names.KeyScheme)
	return nil
}

// parseKey parses "SCHEME KEY". It returns an empty key for any other form, and for several values,
// as it is unknown which of them is the caller's.
func parseKey(values []string, scheme string) string {
	if len(values) != 1 {
		return ""
	}
	named, key, _ := strings.Cut(strings.TrimSpace(values[0]), " ")
	if !strings.EqualFold(named, scheme) {
		return ""
	}
	return strings.TrimSpace(key)
}

// maximumTokens bounds each token count, so that sums of counts are exact.
const maximumTokens = 1 << 40

// parseTokens parses "IN,OUT". Unreadable counts become zero where they only guide placement; the
// runner validates the header itself.
func parseTokens(values []string) (in, out int, counts dispatch.Counts) {
	if len(values) == 0 {
		return 0, 0, dispatch.CountsAbsent
	}
	before, after, _ := strings.Cut(values[0], ",")
	in, errIn := strconv.Atoi(strings.TrimSpace(before))
	out, errOut := strconv.Atoi(strings.TrimSpace(after))
	readable := len(values) == 1 && errIn == nil && errOut == nil && in >= 0 && out >= 0 && in <= maximumTokens && out <= maximumTokens
	if !readable {
		counts = dispatch.CountsUnreadable
	} else {
		counts = dispatch.CountsGiven
	}
	return min(max(in, 0), maximumTokens), min(max(out, 0), maximumTokens), counts
}

// parsePrompt parses "ID:TOKENS,ID:TOKENS". It stops at the first part that it cannot parse.
func parsePrompt(text string) []fleet.Part {
	if text == "" {
		return nil
	}
	var parts []fleet.Part
	for field := range strings.SplitSeq(text, ",") {
		id, size, ok := strings.Cut(strings.TrimSpace(field), ":")
		tokens, err := strconv.Atoi(size)
		if !ok || err != nil || tokens < 0 || tokens > maximumTokens || len(parts) == maximumPromptParts {
			break
		}
		parts = append(parts, fleet.Part{ID: id, Tokens: tokens})
	}
	return parts
}
