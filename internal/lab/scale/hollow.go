// Package scale measures what control costs a node as the fleet grows: hollow
// nodes, many in one process, run the product's own control code over real
// sockets beside three real nodes, which are measured.
package scale

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"lilacvane/internal/lab/enginestub"
	"lilacvane/internal/lab/journal"
	"lilacvane/internal/machines"
	"lilacvane/internal/node"
	"lilacvane/internal/settings"
)

// Place is a zone with its region.
type Place struct {
	Zone   string
	Region string
}

// Places returns count zones spread over regions.
func Places(count, regions int) []Place {
	places := make([]Place, count)
	for index := range places {
		region := index % regions
		places[index] = Place{Zone: fmt.Sprintf("zone-%d-%d", region, index/regions), Region: fmt.Sprintf("region-%d", region)}
	}
	return places
}

const startPause = 5 * time.Millisecond

// RunNodes runs count nodes made from the settings in this process until ctx
// ends. They listen on the IP address of base.Listen with ports of the kernel's
// choice.
func RunNodes(ctx context.Context, base settings.Settings, places []Place, count int, ip string) error {
	var group sync.WaitGroup
	for index := range count {
		s := base
		place := places[index%len(places)]
		s.Node = fmt.Sprintf("%s-%d", base.Node, index)
		s.Zone, s.Region = place.Zone, place.Region
		address := net.JoinHostPort(ip, "0")
		s.Listen = settings.Listen{Callers: address, Operators: address, Peers: address}
		n, err := node.New(s, logr.Discard())
		if err != nil {
			return err
		}
		group.Go(func() { _ = n.Run(ctx) })
		time.Sleep(startPause)
	}
	group.Wait()
	return nil
}

// Register puts a machine on the machine list.
type Register func(machines.Machine) error

// RunEngines runs count emulated engines in this process until ctx ends.
func RunEngines(ctx context.Context, template enginestub.Settings, fetch enginestub.Fetch, places []Place, count int, ip string, register Register) error {
	for index := range count {
		place := places[index%len(places)]
		s := template
		s.Runner = fmt.Sprintf("%s-%d", template.Runner, index)
		s.Incarnation = fmt.Sprintf("%s-%d", s.Runner, time.Now().UnixNano())
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return err
		}
		server := &http.Server{Handler: enginestub.New(s, fetch, journal.NewWriter(nil)).Handler()}
		go func() { _ = server.Serve(listener) }()
		defer server.Close()
		machine := machines.Machine{
			Name: s.Runner, Incarnation: s.Incarnation, Address: listener.Addr().String(), Zone: place.Zone,
			Region: place.Region, MemoryMiB: s.MemoryMiB, State: machines.StateLive,
		}
		if err := register(machine); err != nil {
			return err
		}
	}
	<-ctx.Done()
	return nil
}
