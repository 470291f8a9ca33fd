package config

import (
	"cmp"
	"slices"
	"strings"
)

// hostRoutes finds the routes of one host. Prefixes that end with a slash are looked up
// in a map, so that the time of a lookup depends on the number of slashes in the path
// and not on the number of routes.
type hostRoutes struct {
	byPrefix map[string]*Route
	// others are the routes whose prefix does not end with a slash, longest first.
	others []*Route
}

// add adds a route. Of several routes with the same prefix, the first one is used.
func (h *hostRoutes) add(route *Route) {
	if !strings.HasSuffix(route.PathPrefix, "/") {
		h.others = append(h.others, route)
		slices.SortStableFunc(h.others, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
		return
	}
	if h.byPrefix[route.PathPrefix] == nil {
		h.byPrefix[route.PathPrefix] = route
	}
}

// match returns the route with the longest prefix that matches the path, or nil.
func (h *hostRoutes) match(path string) *Route {
	found := h.matchSegments(path)
	for _, route := range h.others {
		if found != nil && len(found.PathPrefix) >= len(route.PathPrefix) {
			break
		}
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return found
}

// matchSegments considers only prefixes that end with a slash.
func (h *hostRoutes) matchSegments(path string) *Route {
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route := h.byPrefix[path[:end+1]]; route != nil {
			return route
		}
	}
	return nil
}
