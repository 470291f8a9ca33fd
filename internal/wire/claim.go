package wire

import "lilacvane/internal/table"

// MethodClaim is the call by which a node tells another one of claims of idempotency keys, which either writes
// again if the store loses them.
const MethodClaim = "claim/tell"

// ClaimRequest carries claims that the store had acknowledged in Epoch.
type ClaimRequest struct {
	Claims []ClaimRecord `cbor:"1,keyasint"`
	Epoch  table.Epoch   `cbor:"2,keyasint,omitempty"`
}

// ClaimRecord is a claim by the key and value of its row. AgeMs is the time since it was made, in
// milliseconds.
type ClaimRecord struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint"`
	AgeMs int64  `cbor:"3,keyasint,omitempty"`
}

// ClaimResponse accepts claims.
type ClaimResponse struct{}
