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

// Calls of the store come in bursts.
const idleConnections = 2

func main() {
	connect := command.Connect{SettingsPath: platform.SettingsPath, Platform: connectPlatform}
	os.Exit(command.Main(os.Args[1:], connect, os.Stdout, os.Stderr))
}

// connectPlatform joins the platform's adapter to a node's seams.
func connectPlatform(s settings.Settings) node.Platform {
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
