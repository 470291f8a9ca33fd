package node

import (
	"io"
	"net"
	"net/http"
	"net/http/pprof"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// The heap profile can be read while a node runs, and nothing else is served on that listener.
func TestProfilesAreServed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan error, 1)
	go func() { done <- serveStatus(listener, pathProfiles, pprof.Index) }()
	t.Cleanup(func() {
		_ = listener.Close()
		<-done
	})
	for path, status := range map[string]int{pathProfiles + "heap?debug=1": http.StatusOK, "/metrics": http.StatusNotFound} {
		response, err := http.Get("http://" + listener.Addr().String() + path)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, status, path)
		assert.Equal(t, strings.Contains(string(body), "heap profile"), status == http.StatusOK)
	}
}
