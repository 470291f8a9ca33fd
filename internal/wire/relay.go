package wire

// MethodFollow is the call by which a node reads the store's tables from the
// node that relays them to its group.
const MethodFollow = "relay/follow"

// FollowRequest asks for the rows of a table, or for its changes.
type FollowRequest struct {
	Table string `cbor:"1,keyasint"`
	// Whole asks for all rows; otherwise for those that changed after After.
	Whole bool   `cbor:"2,keyasint,omitempty"`
	After uint64 `cbor:"3,keyasint,omitempty"`
	// HoldMs is how long the answer may wait for a change, in milliseconds.
	HoldMs int64 `cbor:"4,keyasint"`
	// From is the reader's address for peers (ip:port).
	From string `cbor:"5,keyasint,omitempty"`
	// Paged asks for the rows of Whole in pages, as all in one may be too large a message.
	// FromKey is where to go on: the last answer's Next, empty for the first page.
	Paged   bool   `cbor:"6,keyasint,omitempty"`
	FromKey string `cbor:"7,keyasint,omitempty"`
}

// FollowResponse carries rows as of a revision.
type FollowResponse struct {
	Rows []TableRow `cbor:"1,keyasint,omitempty"`
	// Packed are the rows in place of Rows where there are many; see PackRows.
	Packed   []byte `cbor:"5,keyasint,omitempty"`
	Revision uint64 `cbor:"2,keyasint"`
	// Next is the first key of the next page; empty when there is none.
	Next string `cbor:"6,keyasint,omitempty"`
	// AgeMs is how long ago the relay heard of the store, in milliseconds.
	AgeMs int64 `cbor:"3,keyasint"`
	// Peers are addresses of some other readers, told with changes.
	Peers []string `cbor:"4,keyasint,omitempty"`
}

// MethodRelay is the call by which a node that cannot reach the store, or leaves it
// to others, learns from another one which node relays the tables now.
const MethodRelay = "relay/which"

// RelayResponse names the relay that the answering node knows. Address is empty
// when it knows none.
type RelayResponse struct {
	Address string `cbor:"1,keyasint,omitempty"`
	// Token is that of the relay's lease; a later holder's is higher. It is zero when
	// Address reads the store without holding the lease.
	Token uint64 `cbor:"2,keyasint,omitempty"`
}

// MethodLease is the call by which a node learns from the one that it reads the tables
// from who holds a service's control lease.
const MethodLease = "relay/lease"

// LeaseRequest asks for the lease of a service.
type LeaseRequest struct {
	Service string `cbor:"1,keyasint"`
	// Spare is the part, 0 to 1, that the asking node's machine has of what a holder
	// should have.
	Spare float64 `cbor:"2,keyasint,omitempty"`
}

// LeaseResponse is the lease's row as the answering node knows it; Revision is zero
// when it knows none.
type LeaseResponse struct {
	Value    []byte `cbor:"1,keyasint,omitempty"`
	Revision uint64 `cbor:"2,keyasint,omitempty"`
	// Free is set when nobody is known to hold the lease and the asking node has as much
	// to spare as the answering one: it may look at the row itself and take it.
	Free bool `cbor:"3,keyasint,omitempty"`
}

// TableRow is one row of a table of the store.
type TableRow struct {
	Key      string `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`
	Revision uint64 `cbor:"3,keyasint"`
	Deleted  bool   `cbor:"4,keyasint,omitempty"`
}
