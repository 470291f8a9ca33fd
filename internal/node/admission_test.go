package node

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"lilacvane/internal/peer"
	"lilacvane/internal/settings"
	"lilacvane/internal/tenant"
	"lilacvane/internal/wire"
)

// A lender request that fails because the client disconnected must not put the lender into backoff;
// one that the lender does not answer must.
func TestClientDisconnectDoesNotBackOffLender(t *testing.T) {
	lender, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer lender.Close()
	n := &Node{client: peer.NewClient("n", nil)}
	n.settings.Store(&settings.Settings{})
	l := &limits{node: n, log: logr.Discard(), backoff: newPeerBackoff(lenderBackoff, maxLenderBackoff, time.Now)}
	address := lender.Addr().String()
	ctx, leave := context.WithCancel(t.Context())
	time.AfterFunc(spendTimeout/10, leave)
	_, ok := l.spendFromLender(ctx, &tenant.Tenant{Name: "t"}, address, wire.SpendRequest{Tenant: "t", Cost: 1})
	assert.Assert(t, !ok)
	assert.Assert(t, !l.backoff.blocked(address))
	_, ok = l.spendFromLender(t.Context(), &tenant.Tenant{Name: "t"}, address, wire.SpendRequest{Tenant: "t", Cost: 1})
	assert.Assert(t, !ok)
	assert.Assert(t, l.backoff.blocked(address))
}
