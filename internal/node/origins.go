package node

import (
	"context"
	"time"

	"lilacvane/internal/feed"
	"lilacvane/internal/origin"
	"lilacvane/internal/peer"
	"lilacvane/internal/wire"
)

// newOrigins returns this node's part in knowing which builds began streams.
func newOrigins(n *Node) *origin.Registry {
	origins := origin.New(origin.Options{
		Self: func() string { return n.settings.Load().Listen.PeerAddress() },
		Send: func(ctx context.Context, address string, request wire.OriginRequest) (answer wire.OriginAnswer, err error) {
			err = n.client.Call(ctx, address, wire.MethodOrigin, request, &answer)
			return answer, err
		},
		Peers: func() []string { return n.relay.Peers() }, Now: time.Now, Log: n.log.Logger,
	})
	peer.Handle(n.peers, wire.MethodOrigin, func(ctx context.Context, request wire.OriginRequest) (wire.OriginAnswer, error) {
		return origins.Answer(ctx, request), nil
	})
	return origins
}

// deletedKeys returns the keys of rows that were removed.
func deletedKeys(rows []feed.Row) []string {
	var keys []string
	for _, row := range rows {
		if row.Deleted {
			keys = append(keys, row.Key)
		}
	}
	return keys
}
