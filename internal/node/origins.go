package node

import (
	"context"
	"time"

	"lilacvane/internal/feed"
	"lilacvane/internal/lease"
	"lilacvane/internal/origin"
	"lilacvane/internal/peer"
	"lilacvane/internal/table"
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
		Rows: table.NewFenced(n.platform.Builds, n.platform.Epochs), Streams: n.platform.Streams, Term: n.recorderTerm,
		Peers: func() []string { return n.relay.Peers() }, Now: time.Now, Log: n.log.Logger,
	})
	peer.Handle(n.peers, wire.MethodOrigin, func(ctx context.Context, request wire.OriginRequest) (wire.OriginAnswer, error) {
		return origins.Answer(ctx, request), nil
	})
	return origins
}

// recorderTerm returns this node's tenure of the lease whose holder records which builds served: the control lease
// of one service or, if no service is controlled, that of the relays' group.
func (n *Node) recorderTerm() lease.Term {
	configuration := n.configuration.Load()
	if configuration == nil {
		return lease.Term{}
	}
	if service := configuration.FirstEngineService(); service != "" {
		return n.controls.term(service)
	}
	return n.relay.Term()
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
