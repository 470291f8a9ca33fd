package fleet

// leaves reports whether a runner said that it leaves, on the platform's list or in an answer:
// the list is late, by seconds while the store is away. mutex is held.
func (f *Fleet) leaves(known *runner) bool {
	return known.listed.Draining || f.statements.Of(known.listed.ID).Leaving
}

// AllLeave reports whether there are runners of a query's service in its homes, and all of them
// leave, so that none can take the request, whatever it holds.
func (f *Fleet) AllLeave(query Query) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	found := false
	for _, known := range f.runners {
		if !known.present || !known.serves(query.Service, query.Homes) {
			continue
		}
		if !f.leaves(known) {
			return false
		}
		found = true
	}
	return found
}
