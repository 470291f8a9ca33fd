package wire

import (
	"bytes"
	"math"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lilacvane/internal/fault"
)

// TestRoundTrip checks that decoding an encoded message returns an equal message.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := SyncRequest{
			Service: rapid.String().Draw(t, "service"), Node: rapid.String().Draw(t, "node"), Token: rapid.Uint64().Draw(t, "token"),
			Version: rapid.Uint64().Draw(t, "version"), HoldMs: rapid.Int64().Draw(t, "hold"),
			Waiting: []UnitWaiting{{Model: rapid.String().Draw(t, "model"), Count: rapid.Int().Draw(t, "count")}},
		}
		content, err := Encode(sent)
		if err != nil {
			t.Fatal(err)
		}
		var received SyncRequest
		if err := Decode(content, "peer", &received); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(received, sent) {
			t.Fatalf("%+v became %+v", sent, received)
		}
	})
}

// TestBadMessages checks that corrupt, oversized, deeply nested and newer messages result in a
// typed error that names the peer.
func TestBadMessages(t *testing.T) {
	valid, err := Encode(ExplainRequest{Subject: "s", Limit: 9})
	assert.NilError(t, err)
	newer, err := encoder.Marshal(envelope{Version: Version + 1, Body: []byte{0xa0}})
	assert.NilError(t, err)
	for _, test := range []struct {
		name    string
		content []byte
		code    fault.Code
	}{
		{"empty", nil, fault.CodeInvalid},
		{"truncated", valid[:len(valid)-1], fault.CodeInvalid},
		{"trailing", append(bytes.Clone(valid), 0), fault.CodeInvalid},
		{"oversized", make([]byte, MaximumMessageBytes+1), fault.CodeTooLarge},
		{"nested", bytes.Repeat([]byte{0x81}, 1000), fault.CodeInvalid},
		{"newer", newer, fault.CodeUnsupportedVersion},
		{"unversioned", []byte{0xa0}, fault.CodeUnsupportedVersion},
		{"huge array", []byte{0x9b, 0, 0, 0, 1, 0, 0, 0, 0}, fault.CodeInvalid},
	} {
		t.Run(test.name, func(t *testing.T) {
			var target ExplainRequest
			err := Decode(test.content, "peer-1", &target)
			assert.Assert(t, fault.IsCode(err, test.code), "%v", err)
			assert.Equal(t, fault.From(err, "").Peer, "peer-1")
		})
	}
}

// FuzzDecode checks that no input makes the decoder panic, and that every decoded message can be
// encoded again.
func FuzzDecode(f *testing.F) {
	for _, message := range []any{
		SyncRequest{Service: "s", Waiting: []UnitWaiting{{Model: "m"}}, Running: []RunnerUsage{{Runner: "r", Models: map[string]int{"m": 1}}}},
		SyncResponse{Runners: []RunnerView{{Runner: "r", Ready: []UnitHeld{{Model: "m"}}}}},
		FleetResponse{Members: []Member{{Node: "n"}}, Runners: []RunnerStatus{{Runner: "r"}}}, ExplainResponse{Decisions: []Decision{{Node: "n"}}},
		FollowResponse{Rows: []TableRow{{Key: "\xff", Revision: math.MaxUint64}}, Revision: math.MaxUint64, AgeMs: math.MinInt64, Next: "k"},
		SpendRequest{Tenant: "t", Cost: math.NaN(), Rank: math.MinInt}, PoisonReport{}, PoisonRecord{}, DivisionResponse{Tenants: []TenantDivision{{AskedPerSecond: math.Inf(1)}}},
		SyncRequest{HoldMs: math.MaxInt64, Waiting: []UnitWaiting{{Adapter: "\xff", Count: math.MinInt, LeftMs: math.MinInt64}}},
	} {
		content, err := Encode(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
	}
	f.Add(bytes.Repeat([]byte{0x81}, 10_000))
	f.Add(bytes.Repeat([]byte{0xa1, 0x01}, 10_000))
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, content []byte) {
		for _, target := range []any{&SyncRequest{}, &SyncResponse{}, &FleetResponse{}, &ExplainResponse{}, &Entry{}, &FollowResponse{}, &SpendRequest{}, &DivisionResponse{}, &PoisonReport{}, &PoisonRecord{}} {
			if Decode(content, "fuzz", target) != nil {
				continue
			}
			if _, err := Encode(target); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// TestOddNameLostTheReport checks that texts which callers choose freely, as names of adapters in headers, reach a
// peer though they are not UTF-8: the rest of the report must not be lost with them.
func TestOddNameLostTheReport(t *testing.T) {
	sent := SyncRequest{Service: "s", Node: "n", Waiting: []UnitWaiting{{Model: "m", Adapter: "\xff\xfe", Count: 1}, {Model: "other", Count: 2}}}
	content, err := Encode(sent)
	assert.NilError(t, err)
	var received SyncRequest
	assert.NilError(t, Decode(content, "peer", &received))
	assert.DeepEqual(t, received, sent)
	packed, err := PackRows([]TableRow{{Key: "\xff"}, {Key: "k"}})
	assert.NilError(t, err)
	rows, err := UnpackRows(packed, "peer")
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 2)
}
