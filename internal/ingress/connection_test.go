package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"lilacvane/internal/overload"
)

// Requests whose client or whose node closes the connection end with causes that tell them apart.
// Both match context.Canceled.
func TestDisconnectCauseIsReported(t *testing.T) {
	begun, reasons := make(chan struct{}), make(chan error)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		ctx, release := withDisconnectCause(r.Context())
		defer release()
		begun <- struct{}{}
		<-ctx.Done()
		reasons <- context.Cause(ctx)
	}))
	server.Config.ConnContext = withConnection
	server.Listener = listener{Gate: overload.NewGate(server.Listener, nil, overload.NewMonitor(logr.Discard()), logr.Discard())}
	server.Start()
	for _, test := range []struct {
		name string
		end  func(client net.Conn)
		want error
	}{
		{"the client closes", func(client net.Conn) { _ = client.Close() }, io.EOF},
		{"this node closes", func(net.Conn) { _ = server.Config.Close() }, net.ErrClosed},
	} {
		client, err := net.Dial("tcp", server.Listener.Addr().String())
		assert.NilError(t, err)
		_, err = io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		<-begun
		test.end(client)
		got := <-reasons
		assert.Assert(t, errors.Is(got, test.want), "%s: %v", test.name, got)
		assert.Assert(t, errors.Is(got, context.Canceled), "%s: %v", test.name, got)
		_ = client.Close()
	}
}
