package node

import (
	"context"

	"lilacvane/internal/claim"
	"lilacvane/internal/peer"
	"lilacvane/internal/table"
	"lilacvane/internal/wire"
)

// newClaims returns this node's claims of idempotency keys.
func newClaims(n *Node) *claim.Claims {
	claims := claim.New(claim.Options{
		Table: table.NewFenced(n.platform.Claims, n.platform.Epochs), Epochs: n.platform.Epochs,
		Fallback: func() []string { return n.relay.Peers() },
		Send: func(ctx context.Context, address string, request wire.ClaimRequest) error {
			return n.client.Call(ctx, address, wire.MethodClaim, request, &wire.ClaimResponse{})
		},
		Log: n.log.Logger,
	})
	peer.Handle(n.peers, wire.MethodClaim, func(_ context.Context, request wire.ClaimRequest) (wire.ClaimResponse, error) {
		return wire.ClaimResponse{}, claims.Keep(request)
	})
	return claims
}
