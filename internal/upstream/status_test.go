package upstream

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"lilacvane/internal/fault"
)

// nestedAnswer is an answer to the request "1" in the body of another one.
const nestedAnswer = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nabc"

// TestStatusThatIsNoneWasTakenForAnAnswer: a status outside of 100 to 599, or that is no number of three digits, is
// none. One below 100 was taken for that of an interim answer, and its body for the final one; one above 599 was
// passed on.
func TestStatusThatIsNoneWasTakenForAnAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "-00", "-01", "099", "+20", "+99", "0x1", "600", "700", "999", "20", "2000", "2 0", "20O"} {
		for name, rest := range map[string]string{
			"body":              "X-Id: 1\r\nContent-Length: 4\r\n\r\nabcd",
			"nested answer":     fmt.Sprintf("X-Id: 1\r\nContent-Length: %d\r\n\r\n%s", len(nestedAnswer), nestedAnswer),
			"no length":         "X-Id: 1\r\n\r\n" + nestedAnswer,
			"statement, no run": "X-Id: 1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		} {
			t.Run(status+", "+name, func(t *testing.T) {
				t.Parallel()
				checkNoAnswer(t, "HTTP/1.1 "+status+" Some\r\n"+rest)
			})
		}
	}
}

// TestStatusesOfTheProtocolAreAnswers: each final status of the protocol is an answer, known or not.
func TestStatusesOfTheProtocolAreAnswers(t *testing.T) {
	for _, status := range []string{"200", "299", "399", "404", "499", "500", "599"} {
		s := serveBytes(t, func() string { return "HTTP/1.1 " + status + " Some\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nabc" }, connectionEnds["close"])
		content, err := exchange(NewPool(testNames), s.call("1"))
		assert.NilError(t, err)
		assert.Equal(t, content, "abc")
	}
}

// identityNames are those of a runner that signs its answers.
var identityNames = HeaderNames{RequestID: "X-Id", NotRun: "X-Not-Run", Signature: "X-Signature"}

// TestAnswerOfTwoRequestsOrRunnersWasPassedOn: an answer that bears two identifiers of requests, or two signatures, shows
// neither whose it is nor who wrote it. One that bears the same twice does.
func TestAnswerOfTwoRequestsOrRunnersWasPassedOn(t *testing.T) {
	for _, test := range []struct {
		lines string
		whole bool
	}{
		{"X-Id: 1\r\nX-Signature: a\r\n", true},
		{"X-Id: 1\r\nX-Signature: a\r\nX-Signature: a\r\nX-Id: 1\r\n", true},
		{"X-Id: 1\r\n", true},
		{"X-Id: 1\r\nX-Signature: a\r\nX-Signature: b\r\n", false},
		{"X-Id: 1\r\nX-Signature: a\r\nX-Signature: \r\n", false},
		{"X-Id: 1\r\nX-Id: 2\r\nX-Signature: a\r\n", false},
		{"X-Id: 2\r\nX-Id: 1\r\nX-Signature: a\r\n", false},
		{"X-Id: 1\r\nX-Id: \r\nX-Signature: a\r\n", false},
	} {
		s := serveBytes(t, func() string { return "HTTP/1.1 200 OK\r\n" + test.lines + "Content-Length: 3\r\n\r\nabc" }, connectionEnds["close"])
		_, err := exchange(NewPool(identityNames), s.call("1"))
		assert.Equal(t, err == nil, test.whole, "%q: %v", test.lines, err)
		assert.Assert(t, err == nil || fault.OutcomeOf(err) == fault.Unknown)
	}
}

// TestBrokenHeadSaidThatTheRequestDidNotRun: an answer to a call of the node itself, such as for a report, a health
// check or an order, is held to the same. What a head out of order says of the request counts for nothing.
func TestBrokenHeadSaidThatTheRequestDidNotRun(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 Some\r\nX-Id: \r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 999 Some\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 Some\r\nX Not-Run: 1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nabc",
	} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			s := serveBytes(t, func() string { return head }, connectionEnds["close"])
			request, err := http.NewRequestWithContext(t.Context(), method, "http://"+s.listener.Addr().String()+"/report", nil)
			assert.NilError(t, err)
			response, err := NewPool(testNames).RoundTrip(request)
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			assert.Assert(t, err != nil, "%q was taken for an answer", head)
			assert.Equal(t, fault.OutcomeOf(err), fault.Unknown)
		}
	}
}
