package wire

import "lilacvane/internal/table"

// MethodFollow is the call by which a node reads tables of the store from the node that relays them
// to its group.
const MethodFollow = "relay/follow"

// FollowRequest asks for the rows of a table, or for its changes.
type FollowRequest struct {
	Table string `cbor:"1,keyasint"`
	// Whole asks for all rows; otherwise the rows that changed after revision After are requested.
	Whole bool   `cbor:"2,keyasint,omitempty"`
	After uint64 `cbor:"3,keyasint,omitempty"`
	// Epoch is the epoch of After; zero if not known.
	Epoch table.Epoch `cbor:"8,keyasint,omitempty"`
	// HoldMs is how long the answer may wait for a change, in milliseconds.
	HoldMs int64 `cbor:"4,keyasint"`
	// From is the address of the reader for peers (ip:port).
	From string `cbor:"5,keyasint,omitempty"`
	// Paged asks for the rows of Whole in pages, because all rows may exceed the message limit.
	// FromKey is the first key of the requested page: Next of the last response, empty for the
	// first page.
	Paged   bool   `cbor:"6,keyasint,omitempty"`
	FromKey string `cbor:"7,keyasint,omitempty"`
	// AwaitStore is set if the reader knows that the relay has not heard of the store lately. The
	// answer may then wait until it has.
	AwaitStore bool `cbor:"9,keyasint,omitempty"`
}

// FollowResponse carries rows as of a revision.
type FollowResponse struct {
	Rows []TableRow `cbor:"1,keyasint,omitempty"`
	// Packed replaces Rows if there are many; see PackRows.
	Packed   []byte `cbor:"5,keyasint,omitempty"`
	Revision uint64 `cbor:"2,keyasint"`
	// Epoch is the epoch of Revision, and of the rows that name none; zero if not known.
	Epoch table.Epoch `cbor:"7,keyasint,omitempty"`
	// Next is the first key of the next page; empty for the last page.
	Next string `cbor:"6,keyasint,omitempty"`
	// AgeMs is the time since the store last answered the relay, in milliseconds.
	AgeMs int64 `cbor:"3,keyasint"`
	// Peers are addresses of some other readers, sent along with changes.
	Peers []string `cbor:"4,keyasint,omitempty"`
}

// MethodRelay is the call by which a node that cannot reach the store, or leaves it to other nodes,
// learns which node currently relays the tables.
const MethodRelay = "relay/which"

// RelayResponse names the relay known to the answering node. Address is empty if it knows none.
type RelayResponse struct {
	Address string `cbor:"1,keyasint,omitempty"`
	// Token is the token of the lease of the relay; later holders have higher tokens. It is zero if
	// Address reads the store without holding the lease.
	Token uint64 `cbor:"2,keyasint,omitempty"`
}

// MethodLease is the call by which a node learns who holds the control lease of a service from the
// node that it reads the tables from.
const MethodLease = "relay/lease"

// LeaseRequest asks for the lease of a service.
type LeaseRequest struct {
	Service string `cbor:"1,keyasint"`
	// Spare is the spare capacity of the machine of the asking node as a share, 0 to 1, of what a
	// holder should have.
	Spare float64 `cbor:"2,keyasint,omitempty"`
}

// LeaseResponse is the lease row as known to the answering node. Revision is zero if it knows none.
type LeaseResponse struct {
	Value    []byte `cbor:"1,keyasint,omitempty"`
	Revision uint64 `cbor:"2,keyasint,omitempty"`
	// Epoch is the epoch of Revision; zero if not known.
	Epoch table.Epoch `cbor:"4,keyasint,omitempty"`
	// Free is set when no holder of the lease is known and the asking node has as much spare
	// capacity as the answering one: the asking node may read the row itself and take the lease.
	Free bool `cbor:"3,keyasint,omitempty"`
}

// TableRow is one row of a table of the store.
type TableRow struct {
	Key      string `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`
	Revision uint64 `cbor:"3,keyasint"`
	Deleted  bool   `cbor:"4,keyasint,omitempty"`
	// Epoch is the epoch of Revision; zero if it is that of the message.
	Epoch table.Epoch `cbor:"5,keyasint,omitempty"`
}
