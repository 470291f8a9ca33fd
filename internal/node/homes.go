package node

import (
	"lilacvane/internal/config"
	"lilacvane/internal/place"
	"lilacvane/internal/tenant"
)

// Regions tells the region of each zone of the deployment.
func (n *Node) Regions() place.Map { return n.settings.Load().Zones }

// tellUnknownHomes logs whose homes name regions in which no zone lies. Nothing is served
// there, and so nowhere when there are no others.
func (n *Node) tellUnknownHomes(composed *config.Configuration) {
	routes, tenants := unknownHomes(composed, n.Regions())
	if len(routes)+len(tenants) > 0 {
		n.log.Info("homes in regions that are not known", "step", "compose configuration", "routes", routes, "tenants", tenants)
	}
}

// unknownHomes lists the routes and tenants whose homes name a region in which no zone
// lies.
func unknownHomes(composed *config.Configuration, zones place.Map) (routes []string, tenants []tenant.Name) {
	for i := range composed.Routes {
		if unknown(composed.Routes[i].Homes, zones) {
			routes = append(routes, composed.Routes[i].Name)
		}
	}
	if composed.Tenants == nil {
		return routes, nil
	}
	for _, name := range composed.Tenants.Names() {
		if known, ok := composed.Tenants.Find(name); ok && unknown(known.Homes, zones) {
			tenants = append(tenants, name)
		}
	}
	return routes, tenants
}

// unknown reports whether homes name a region in which no zone lies, or none at all.
func unknown(homes place.Homes, zones place.Map) bool {
	if !homes.Bound() {
		return false
	}
	for _, region := range homes.Regions() {
		if !zones.Knows(region) {
			return true
		}
	}
	return len(homes.Regions()) == 0
}
