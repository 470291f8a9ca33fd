package rendezvous

import "sync"

// Assignment keeps the owner of many keys up to date as nodes come and go. A
// join costs one weight a key; a leave costs work only for the keys of the node
// that left. It is safe for concurrent use.
type Assignment struct {
	mutex  sync.RWMutex
	nodes  map[string]struct{}
	owners map[string]held
	byNode map[string]map[string]struct{}
}

type held struct {
	node   string
	weight uint64
}

// NewAssignment returns an assignment without nodes and keys.
func NewAssignment() *Assignment {
	return &Assignment{nodes: make(map[string]struct{}), owners: make(map[string]held), byNode: make(map[string]map[string]struct{})}
}

// SetNodes makes nodes the set that keys are spread over.
func (a *Assignment) SetNodes(nodes []string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	present := make(map[string]struct{}, len(nodes))
	for _, node := range nodes {
		present[node] = struct{}{}
		if _, known := a.nodes[node]; !known {
			a.join(node)
		}
	}
	for node := range a.nodes {
		if _, stays := present[node]; !stays {
			a.leave(node)
		}
	}
}

func (a *Assignment) join(node string) {
	a.nodes[node] = struct{}{}
	for key, current := range a.owners {
		weight := Weight(key, node)
		if current.node == "" || wins(weight, node, current) {
			a.give(key, held{node: node, weight: weight})
		}
	}
}

func (a *Assignment) leave(node string) {
	delete(a.nodes, node)
	keys := a.byNode[node]
	delete(a.byNode, node)
	for key := range keys {
		a.give(key, a.best(key))
	}
}

func wins(weight uint64, node string, current held) bool {
	return weight > current.weight || weight == current.weight && node < current.node
}

func (a *Assignment) best(key string) held {
	var best held
	for node := range a.nodes {
		weight := Weight(key, node)
		if best.node == "" || wins(weight, node, best) {
			best = held{node: node, weight: weight}
		}
	}
	return best
}

func (a *Assignment) give(key string, to held) {
	delete(a.byNode[a.owners[key].node], key)
	a.owners[key] = to
	if a.byNode[to.node] == nil {
		a.byNode[to.node] = make(map[string]struct{})
	}
	a.byNode[to.node][key] = struct{}{}
}

// SetKeys makes keys the set that is spread.
func (a *Assignment) SetKeys(keys []string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	present := make(map[string]struct{}, len(keys))
	for _, key := range keys {
		present[key] = struct{}{}
		if _, known := a.owners[key]; !known {
			a.give(key, a.best(key))
		}
	}
	for key, current := range a.owners {
		if _, stays := present[key]; !stays {
			delete(a.byNode[current.node], key)
			delete(a.owners, key)
		}
	}
}

// Owner returns the node that owns a key, "" when there is none. A key that was
// not set is computed on the spot.
func (a *Assignment) Owner(key string) string {
	a.mutex.RLock()
	defer a.mutex.RUnlock()
	if current, known := a.owners[key]; known {
		return current.node
	}
	return a.best(key).node
}

// OwnedBy returns the keys a node owns, in no order.
func (a *Assignment) OwnedBy(node string) []string {
	a.mutex.RLock()
	defer a.mutex.RUnlock()
	keys := make([]string, 0, len(a.byNode[node]))
	for key := range a.byNode[node] {
		keys = append(keys, key)
	}
	return keys
}
