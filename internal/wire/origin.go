package wire

import "lilacvane/internal/backend"

// MethodOrigin tells a node which builds began streams, or asks it.
const MethodOrigin = "stream/origin"

// OriginRequest tells and asks which builds began streams.
type OriginRequest struct {
	Records []OriginRecord `cbor:"1,keyasint,omitempty"`
	// Asked is the stream of Service that the sender asks about; empty for none.
	Asked   []byte `cbor:"2,keyasint,omitempty"`
	Service string `cbor:"3,keyasint,omitempty"`
	// Forward is set when the receiver is to ask the keepers that it knows, as the sender may know too few.
	Forward bool `cbor:"4,keyasint,omitempty"`
}

// OriginRecord is a stream of a service, by a digest, and the build that began it.
type OriginRecord struct {
	Stream  []byte        `cbor:"1,keyasint"`
	Service string        `cbor:"2,keyasint"`
	Build   backend.Build `cbor:"3,keyasint"`
}

// OriginAnswer is what a node knows of the stream that it was asked about.
type OriginAnswer struct {
	Build backend.Build `cbor:"1,keyasint,omitempty"`
	Known bool          `cbor:"2,keyasint,omitempty"`
	// Several is set if runners of several builds serve, or served lately.
	Several bool `cbor:"3,keyasint,omitempty"`
	// Sure is set if the node knows of all builds that served lately. Only nodes of earlier builds, which do not
	// follow the table of builds, look at it.
	Sure bool `cbor:"4,keyasint,omitempty"`
	// Read is set if the node keeps streams and has read those that keepers wrote before it started.
	Read bool `cbor:"5,keyasint,omitempty"`
}
