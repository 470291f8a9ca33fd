package wire

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lilacvane/internal/fault"
)

// TestRoundTrip: what is encoded is decoded the same.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := ClaimRequest{
			Shard: rapid.Uint32().Draw(t, "shard"), Generation: rapid.Uint64().Draw(t, "generation"),
			Key: rapid.String().Draw(t, "key"), Round: rapid.Uint32().Draw(t, "round"),
			Ballot:  Ballot{Number: rapid.Uint64().Draw(t, "number"), Node: rapid.String().Draw(t, "node")},
			Attempt: rapid.String().Draw(t, "attempt"),
		}
		content, err := Encode(sent)
		if err != nil {
			t.Fatal(err)
		}
		var received ClaimRequest
		if err := Decode(content, "peer", &received); err != nil {
			t.Fatal(err)
		}
		if received != sent {
			t.Fatalf("%+v became %+v", sent, received)
		}
	})
}

// TestBadMessages: broken, oversized, deeply nested and newer messages give a
// typed error that names the peer.
func TestBadMessages(t *testing.T) {
	whole, err := Encode(PullRequest{After: 7, Limit: 9})
	assert.NilError(t, err)
	newer, err := encoder.Marshal(envelope{Version: Version + 1, Body: []byte{0xa0}})
	assert.NilError(t, err)
	for _, test := range []struct {
		name    string
		content []byte
		code    fault.Code
	}{
		{"empty", nil, fault.CodeInvalid},
		{"truncated", whole[:len(whole)-1], fault.CodeInvalid},
		{"trailing", append(bytes.Clone(whole), 0), fault.CodeInvalid},
		{"oversized", make([]byte, MaximumMessageBytes+1), fault.CodeTooLarge},
		{"nested", bytes.Repeat([]byte{0x81}, 1000), fault.CodeInvalid},
		{"newer", newer, fault.CodeUnsupportedVersion},
		{"unversioned", []byte{0xa0}, fault.CodeUnsupportedVersion},
		{"huge array", []byte{0x9b, 0, 0, 0, 1, 0, 0, 0, 0}, fault.CodeInvalid},
	} {
		t.Run(test.name, func(t *testing.T) {
			var target PullRequest
			err := Decode(test.content, "peer-1", &target)
			assert.Assert(t, fault.IsCode(err, test.code), "%v", err)
			assert.Equal(t, fault.From(err, "").Peer, "peer-1")
		})
	}
}

// FuzzDecode: no input makes the decoder panic, and what it takes it can write
// again.
func FuzzDecode(f *testing.F) {
	for _, message := range []any{
		PullRequest{After: 1, Limit: 2}, Probe{Kind: ProbePing, From: "127.0.0.1:1", Updates: []Member{{Node: "n"}}},
		UnitStatus{Unit: "u", Replicas: []Replica{{Runner: "r", State: ReplicaReady}}},
		SealResponse{Records: []ClaimRecord{{Key: "k", Attempt: "a"}}},
	} {
		content, err := Encode(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		for _, target := range []any{&PullResponse{}, &Probe{}, &UnitStatus{}, &SealResponse{}, &ClaimRequest{}} {
			if Decode(content, "fuzz", target) != nil {
				continue
			}
			if _, err := Encode(target); err != nil {
				t.Fatal(err)
			}
		}
	})
}
