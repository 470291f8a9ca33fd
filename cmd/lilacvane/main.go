// Command lilacvane runs a node and is the operators' command line.
package main

import (
	"net/http"
	"os"
	"time"
	_ "time/tzdata"

	"lilacvane/internal/command"
	"lilacvane/internal/link"
	"lilacvane/internal/node"
	"lilacvane/internal/settings"
	"lilacvane/platform"
	"lilacvane/platform/protocol"
)

const (
	// Calls to one peer come in bursts; resting connections are few in all, as
	// there may be thousands of runners.
	idleConnections    = 2
	idleConnectionsAll = 48
	idleTimeout        = 10 * time.Second
)

func main() {
	connect := command.Connect{SettingsPath: platform.SettingsPath, Platform: connectPlatform}
	os.Exit(command.Main(os.Args[1:], connect, os.Stdout, os.Stderr))
}

// connectPlatform joins the platform's adapter to a node's seams.
func connectPlatform(s settings.Settings) node.Platform {
	links := &link.Record{}
	store := platform.NewStore(s.Store.Address, client(link.Store, links))
	return node.Platform{
		Headers:       platform.Headers,
		Configuration: store.Table(protocol.OperatorTable), ConfigurationKey: protocol.ConfigurationKey,
		DecodeConfiguration: platform.DecodeConfiguration,
		Runners:             store.Table(protocol.RunnerTable), DecodeRunner: platform.DecodeRunner,
		Objects: store.Table(protocol.ObjectTable), Leases: store.Table(protocol.LeaseTable), Claims: store.Table(protocol.ClaimTable),
		Limits:  store.Table(protocol.LimitTable),
		Control: platform.NewRunners(client(link.Control, links)),
		Links:   links,
	}
}

func client(kind link.Kind, links *link.Record) *http.Client {
	return &http.Client{Transport: link.NewTransport(kind, links, idleConnectionsAll, idleConnections, idleTimeout)}
}
