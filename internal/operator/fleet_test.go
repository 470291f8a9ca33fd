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
	"lilacvane/internal/poison"
	"lilacvane/internal/wire"
)

// zoneBackend has two zones and two runners, one of them cold.
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

func getPath(t *testing.T, path string) (int, string) {
	t.Helper()
	s := New(zoneBackend{}, catalog.New(), "n1", nil, http.NotFoundHandler())
	recorder := httptest.NewRecorder()
	s.http.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
	return recorder.Code, recorder.Body.String()
}

// quarantineBackend has one quarantined request.
type quarantineBackend struct{ Backend }

func (quarantineBackend) Quarantine() []wire.PoisonStatus {
	return []wire.PoisonStatus{{Request: poison.Identity{1}.String(), State: wire.PoisonRefused, Runners: []string{"r1"}}}
}

func (quarantineBackend) LiftQuarantine(_ context.Context, request poison.Identity) error {
	if request != (poison.Identity{1}) {
		return fault.New(fault.CodeNotFound, "lift quarantine", "request: not known")
	}
	return nil
}

// TestQuarantineCalls checks the quarantine calls: unknown and malformed requests are
// refused, and the error names the step.
func TestQuarantineCalls(t *testing.T) {
	s := New(quarantineBackend{}, catalog.New(), "n1", nil, http.NotFoundHandler())
	for _, test := range []struct {
		method, path string
		status       int
		part         string
	}{
		{http.MethodGet, "/v1/quarantine", http.StatusOK, `"refused"`},
		{http.MethodDelete, "/v1/quarantine/" + poison.Identity{1}.String(), http.StatusOK, "r1"},
		{http.MethodDelete, "/v1/quarantine/" + poison.Identity{2}.String(), http.StatusNotFound, "lift quarantine"},
		{http.MethodDelete, "/v1/quarantine/01", http.StatusBadRequest, "hexadecimal"},
	} {
		recorder := httptest.NewRecorder()
		s.http.ServeHTTP(recorder, httptest.NewRequest(test.method, test.path, nil))
		assert.Equal(t, recorder.Code, test.status, test.path)
		assert.Assert(t, strings.Contains(recorder.Body.String(), test.part), "%s: %s", test.path, recorder.Body)
	}
}

// TestFleetCalls checks the calls for zones, runners and decisions about zones. Unknown
// names and malformed parameters are refused, and the error names the field and the
// step.
func TestFleetCalls(t *testing.T) {
	for _, test := range []struct {
		path   string
		status int
		// The answer must contain all parts and must not contain without.
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
		status, body := getPath(t, test.path)
		assert.Equal(t, status, test.status, "%s: %s", test.path, body)
		for _, part := range test.parts {
			assert.Assert(t, strings.Contains(body, part), "%s: %s", test.path, body)
		}
		assert.Assert(t, test.without == "" || !strings.Contains(body, test.without), "%s: %s", test.path, body)
		assert.Assert(t, json.Valid([]byte(body)))
	}
}
