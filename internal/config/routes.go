package config

import (
	"cmp"
	"slices"
	"strings"
)

// hostRoutes finds the routes of one host. A prefix that ends with a slash is looked up
// as it stands, so that a lookup takes as long as the path has slashes, however many
// routes there are.
type hostRoutes struct {
	byPrefix map[string]*Route
	// others are those whose prefix ends within a name, the longest first.
	others []*Route
}

// add takes a route. Of routes with the same prefix the first one counts.
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

// match returns the route with the longest prefix of path, or nil.
func (h *hostRoutes) match(path string) *Route {
	found := h.matchWhole(path)
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

// matchWhole looks only at prefixes that end with a slash.
func (h *hostRoutes) matchWhole(path string) *Route {
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route := h.byPrefix[path[:end+1]]; route != nil {
			return route
		}
	}
	return nil
}
