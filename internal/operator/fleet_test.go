package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lilacvane/internal/catalog"
	"lilacvane/internal/fault"
	"lilacvane/internal/wire"
)

// zoneBackend knows two zones and two runners, one of them cold.
type zoneBackend struct{ Backend }

func (zoneBackend) Zones(context.Context) []wire.ZoneStatus {
	return []wire.ZoneStatus{{Zone: "a", State: wire.ZoneIn}, {Zone: "b", State: wire.ZoneDrained}}
}

func (zoneBackend) Runners(context.Context, string) []wire.RunnerStatus {
	return []wire.RunnerStatus{{Runner: "r1"}, {Runner: "r2", ColdMs: 1500}}
}

func (zoneBackend) Explain(_ context.Context, subject string, _ int) []wire.Decision {
	if subject == "zone/b" || subject == "zone/gone" {
		return []wire.Decision{{Subject: subject, Step: "drain zone"}}
	}
	return nil
}

func answer(t *testing.T, path string) (int, string) {
	t.Helper()
	s := New(zoneBackend{}, catalog.New(), "n1", http.NotFoundHandler())
	recorder := httptest.NewRecorder()
	s.http.Handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
	return recorder.Code, recorder.Body.String()
}

// TestFleetCalls: zones, cold runners and decisions about zones are answered; what is not
// known or cannot be read is refused with the field and the step.
func TestFleetCalls(t *testing.T) {
	for _, test := range []struct {
		path   string
		status int
		// parts must all be in the answer, without must not.
		parts   []string
		without string
	}{
		{"/v1/zones", http.StatusOK, []string{`"a"`, `"b"`}, "since"},
		{"/v1/zones?name=b", http.StatusOK, []string{`"drained"`}, `"a"`},
		{"/v1/zones?name=c", http.StatusNotFound, []string{string(fault.CodeNotFound), "list zones", `zone: no zone \"c\"`}, ""},
		{"/v1/runners", http.StatusOK, []string{"r1", "r2"}, ""},
		{"/v1/runners?cold=false", http.StatusOK, []string{"r1", "r2"}, ""},
		{"/v1/runners?cold=true", http.StatusOK, []string{"r2", `"coldMs":1500`}, "r1"},
		{"/v1/runners?cold=some", http.StatusBadRequest, []string{string(fault.CodeInvalid), "list runners", "cold: must be"}, ""},
		{"/v1/explain/zone/b", http.StatusOK, []string{"drain zone"}, ""},
		{"/v1/explain/zone/a", http.StatusOK, []string{"[]"}, ""},
		{"/v1/explain/zone/gone", http.StatusOK, []string{"drain zone"}, ""},
		{"/v1/explain/zone/c", http.StatusNotFound, []string{string(fault.CodeNotFound), `"explain"`, `zone: no zone \"c\"`}, ""},
		{"/v1/explain/weather/c", http.StatusBadRequest, []string{string(fault.CodeInvalid), `"explain"`, "kind: must be one of"}, ""},
	} {
		status, body := answer(t, test.path)
		assert.Equal(t, status, test.status, "%s: %s", test.path, body)
		for _, part := range test.parts {
			assert.Assert(t, strings.Contains(body, part), "%s: %s", test.path, body)
		}
		assert.Assert(t, test.without == "" || !strings.Contains(body, test.without), "%s: %s", test.path, body)
		assert.Assert(t, json.Valid([]byte(body)))
	}
}
