package node

import (
	"lilacvane/internal/config"
	"lilacvane/internal/place"
	"lilacvane/internal/tenant"
)

// Regions maps each zone of the deployment to its region.
func (n *Node) Regions() place.Map { return n.settings.Load().Zones }

// logUnknownHomes logs the routes and tenants whose homes name regions without zones. Requests are
// never served in such a region, so they are served nowhere if they have no other home.
func (n *Node) logUnknownHomes(composed *config.Configuration) {
	routes, tenants := unknownHomes(composed, n.Regions())
	if len(routes)+len(tenants) > 0 {
		n.log.Info("homes in regions that are not known", "step", "compose configuration", "routes", routes, "tenants", tenants)
	}
}

// unknownHomes lists the routes and tenants whose homes name a region without zones.
func unknownHomes(composed *config.Configuration, zones place.Map) (routes []string, tenants []tenant.Name) {
	for i := range composed.Routes {
		if hasUnknownRegion(composed.Routes[i].Homes, zones) {
			routes = append(routes, composed.Routes[i].Name)
		}
	}
	if composed.Tenants == nil {
		return routes, nil
	}
	for _, name := range composed.Tenants.Names() {
		if known, ok := composed.Tenants.Find(name); ok && hasUnknownRegion(known.Homes, zones) {
			tenants = append(tenants, name)
		}
	}
	return routes, tenants
}

// hasUnknownRegion reports whether homes name a region without zones, or no region at all.
func hasUnknownRegion(homes place.Homes, zones place.Map) bool {
	if !homes.Restricted() {
		return false
	}
	for _, region := range homes.Regions() {
		if !zones.HasRegion(region) {
			return true
		}
	}
	return len(homes.Regions()) == 0
}
