package wire

import (
	"lilacvane/internal/backend"
	"lilacvane/internal/table"
)

// ServedBuilds is the row that says which builds of the runners' software serve or served lately, so that it
// is known after all nodes have ended. Times are of the store's clock.
type ServedBuilds struct {
	// Epoch is the epoch of the store in which the row was written. In a later one builds may be lacking.
	Epoch table.Epoch `cbor:"1,keyasint"`
	// Complete is set if no other build served lately. SinceMs is since when builds are recorded without a
	// gap, in milliseconds.
	Complete bool          `cbor:"2,keyasint,omitempty"`
	SinceMs  int64         `cbor:"3,keyasint,omitempty"`
	Builds   []ServedBuild `cbor:"4,keyasint,omitempty"`
}

// ServedBuild is a build of a service's runners.
type ServedBuild struct {
	Service string        `cbor:"1,keyasint"`
	Build   backend.Build `cbor:"2,keyasint,omitempty"`
	// LeftMs is when the last runner of the build left, in milliseconds; zero while there are any.
	LeftMs int64 `cbor:"3,keyasint,omitempty"`
}
