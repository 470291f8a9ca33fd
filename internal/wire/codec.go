// Package wire defines the messages that nodes exchange and their CBOR codec. Every
// message is sent in an envelope with a protocol version. The decoder limits size,
// nesting and element counts, so that a malicious or corrupt message has a bounded
// cost and results in a typed error.
package wire

import (
	"github.com/fxamacker/cbor/v2"

	"lilacvane/internal/fault"
)

// Version is the protocol version of this build. Messages of newer versions are rejected, those of
// older versions are accepted.
const Version = 1

// Limits of one message.
const (
	MaximumMessageBytes = 4 << 20
	maximumNesting      = 16
	maximumElements     = 1 << 16
)

// envelope is the encoded form of every message.
type envelope struct {
	Version uint            `cbor:"1,keyasint"`
	Body    cbor.RawMessage `cbor:"2,keyasint"`
}

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maximumNesting,
		MaxArrayElements: maximumElements,
		MaxMapPairs:      maximumElements,
		IndefLength:      cbor.IndefLengthForbidden,
		// Texts may be from headers of callers, which can have any bytes.
		UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the message in its envelope.
func Encode(message any) ([]byte, error) {
	body, err := encoder.Marshal(message)
	if err != nil {
		return nil, fault.New(fault.CodeInternal, "encode message", "%v", err)
	}
	return encoder.Marshal(envelope{Version: Version, Body: body})
}

// Decode decodes a message from its envelope into target. Errors name the peer that sent it.
func Decode(content []byte, peer string, target any) error {
	const step = "decode message"
	if len(content) > MaximumMessageBytes {
		return &fault.Error{Code: fault.CodeTooLarge, Step: step, Peer: peer, Ran: fault.NotDone}
	}
	var outer envelope
	if err := decoder.Unmarshal(content, &outer); err != nil {
		return fault.At(fault.CodeInvalid, step, peer, fault.NotDone, err)
	}
	if outer.Version > Version || outer.Version == 0 {
		return &fault.Error{
			Code: fault.CodeUnsupportedVersion, Step: step, Peer: peer, Ran: fault.NotDone,
			Message: "message of a protocol version this node does not speak",
		}
	}
	if err := decoder.Unmarshal(outer.Body, target); err != nil {
		return fault.At(fault.CodeInvalid, step, peer, fault.NotDone, err)
	}
	return nil
}
