// Command lilacvane runs a node and is the operators' command line.
package main

import (
	"net/http"
	"os"
	"time"
	_ "time/tzdata"

	"lilacvane/internal/command"
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
	store := platform.NewStore(s.Store.Address, client())
	return node.Platform{
		Headers:       platform.Headers,
		Configuration: store.Table(protocol.OperatorTable), ConfigurationKey: protocol.ConfigurationKey,
		DecodeConfiguration: platform.DecodeConfiguration,
		EvacuatedZone:       platform.EvacuatedZone,
		Runners:             store.Table(protocol.RunnerTable), DecodeRunner: platform.DecodeRunner,
		Objects: store.Table(protocol.ObjectTable), Leases: store.Table(protocol.LeaseTable), Claims: store.Table(protocol.ClaimTable),
		Limits:  store.Table(protocol.LimitTable),
		Control: platform.NewRunners(client()),
	}
}

func client() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConns: idleConnectionsAll, MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}
}
