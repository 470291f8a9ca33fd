// Command lilacvane runs a node and is the operators' command line.
package main

import (
	"net/http"
	"os"
	_ "time/tzdata"

	"lilacvane/internal/command"
	"lilacvane/internal/link"
	"lilacvane/internal/node"
	"lilacvane/internal/settings"
	"lilacvane/internal/upstream"
	"lilacvane/platform"
	"lilacvane/platform/protocol"
)

// idleConnections is the number of connections to the store that are kept when idle, as
// its calls come in bursts.
const idleConnections = 2

func main() {
	hooks := command.PlatformHooks{SettingsPath: platform.SettingsPath, Platform: newPlatform}
	os.Exit(command.Main(os.Args[1:], hooks, os.Stdout, os.Stderr))
}

// newPlatform returns the platform's implementations of a node's interfaces.
func newPlatform(s settings.Settings) node.Platform {
	links := &link.Record{}
	pool := upstream.NewPool(platform.Headers)
	pool.Links = links
	storeCalls := &http.Client{Transport: link.NewTransport(link.Store, links, idleConnections, idleConnections)}
	store := platform.NewStore(s.Store.Address, storeCalls)
	return node.Platform{
		Headers:       platform.Headers,
		Configuration: store.Table(protocol.OperatorTable), ConfigurationKey: protocol.ConfigurationKey,
		DecodeConfiguration: platform.DecodeConfiguration,
		EvacuatedZone:       platform.EvacuatedZone,
		Runners:             store.Table(protocol.RunnerTable), DecodeRunner: platform.DecodeRunner,
		Objects: store.Table(protocol.ObjectTable), Leases: store.Table(protocol.LeaseTable), Claims: store.Table(protocol.ClaimTable),
		Limits:  store.Table(protocol.LimitTable),
		Poison:  store.Table(protocol.PoisonTable),
		Control: platform.NewRunners(&http.Client{Transport: pool}),
		Pool:    pool, Links: links,
	}
}
