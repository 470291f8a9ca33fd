package test

import (
	"strings"
	"testing"
	"time"
)

const (
	// legalBody is the size of a client's body that is within the default limit, in bytes; largestCall is the limit at
	// the callers' API.
	legalBody   = 4 << 20
	largestCall = 8 << 20
)

// Each test lets one crowd send; see testCrowd for what must hold.

// Announced bodies that stop one byte short of their end and stay open.
func TestCrowdOneByteShort(t *testing.T) {
	testCrowd(t, crowdKind{
		members: 128, address: clientEntrance, head: clientHead, length: legalBody, piece: legalBody - 1, pieces: 1,
	})
}

// Announced bodies that are whole.
func TestCrowdWhole(t *testing.T) {
	testCrowd(t, crowdKind{
		members: 128, address: clientEntrance, head: clientHead, length: legalBody, piece: legalBody, pieces: 1, whole: true,
	})
}

// Announced bodies of which nothing is sent.
func TestCrowdAnnouncedOnly(t *testing.T) {
	testCrowd(t, crowdKind{
		members: 1000, address: clientEntrance, head: clientHead, length: legalBody,
	})
}

// Whole bodies of requests that wait for a model.
func TestCrowdWaitingForModel(t *testing.T) {
	testCrowd(t, crowdKind{
		members: 128, address: clientEntrance, head: modelHead, length: legalBody, piece: legalBody, pieces: 1, whole: true,
	})
}

// Bodies in one chunk that stops one byte short of its end.
func TestCrowdOneChunk(t *testing.T) {
	testCrowd(t, crowdKind{
		members: 128, address: clientEntrance, head: clientHead, piece: legalBody, pieces: 1, cut: 3,
	})
}

// Bodies in chunks of 64 KiB without an end.
func TestCrowdLargeChunks(t *testing.T) {
	testCrowd(t, crowdKind{
		members: 128, address: clientEntrance, head: clientHead, piece: 64 << 10, pieces: 63,
	})
}

// Bodies in chunks of 16 bytes without an end.
func TestCrowdSmallChunks(t *testing.T) {
	testCrowd(t, crowdKind{
		members: 384, address: clientEntrance, head: clientHead, piece: 16, pieces: 64 << 10,
	})
}

// Whole bodies in chunks of 16 bytes.
func TestCrowdSmallChunksWhole(t *testing.T) {
	testCrowd(t, crowdKind{
		members: 384, address: clientEntrance, head: clientHead, piece: 16, pieces: 64 << 10, whole: true,
	})
}

// Bodies that are announced far over the limit.
func TestCrowdOverLimitAnnounced(t *testing.T) {
	testCrowd(t, crowdKind{
		members: 64, address: clientEntrance, head: clientHead, length: 1 << 30, piece: 1 << 20, pieces: 16,
	})
}

// Bodies that pass the limit without having announced it.
func TestCrowdOverLimitSent(t *testing.T) {
	testCrowd(t, crowdKind{
		members: 64, address: clientEntrance, head: clientHead, piece: 1 << 20, pieces: 16,
	})
}

// Many bodies of 100 kB, one byte short.
func TestCrowdModerate(t *testing.T) {
	testCrowd(t, crowdKind{
		members: 2000, address: clientEntrance, head: clientHead, length: 100_000, piece: 99_999, pieces: 1,
	})
}

// Very many bodies of 16 kB, one byte short.
func TestCrowdSmall(t *testing.T) {
	testCrowd(t, crowdKind{
		members: 4000, address: clientEntrance, head: clientHead, length: 16_000, piece: 15_999, pieces: 1,
	})
}

// Bodies that are sent slowly.
func TestCrowdSlow(t *testing.T) {
	testCrowd(t, crowdKind{
		members: 128, address: clientEntrance, head: clientHead, length: legalBody, piece: 256 << 10, pieces: 15, pause: 100 * time.Millisecond,
	})
}

// Heads of 15 kB without an end.
func TestCrowdHeads(t *testing.T) {
	testCrowd(t, crowdKind{
		members: 3000, address: clientEntrance, head: longHead(15_000), headOnly: true,
	})
}

// Heads of 60 kB without an end.
func TestCrowdLongHeads(t *testing.T) {
	testCrowd(t, crowdKind{
		members: 2000, address: clientEntrance, head: longHead(60_000), headOnly: true,
	})
}

// Whole heads of 60 kB whose bodies do not come.
func TestCrowdLongHeadsNoBody(t *testing.T) {
	testCrowd(t, crowdKind{
		members: 1500, address: clientEntrance, head: longHead(60_000), length: legalBody,
	})
}

// Heads of 900 kB without an end to the readiness check.
func TestCrowdReady(t *testing.T) {
	testCrowd(t, crowdKind{
		members: 400, address: readyEntrance, head: longHead(900_000), headOnly: true,
	})
}

// Connections on which nothing is sent.
func TestCrowdSilent(t *testing.T) {
	testCrowd(t, crowdKind{
		members: 6000, address: clientEntrance, head: noHead, headOnly: true,
	})
}

// Connections on which nothing is sent, more than the node may have descriptors.
func TestCrowdWithoutDescriptors(t *testing.T) {
	testCrowd(t, crowdKind{
		members: 1000, address: clientEntrance, head: noHead, headOnly: true, files: 600,
	})
}

// Bytes behind a request that waits for a model.
func TestCrowdSecondRequest(t *testing.T) {
	testCrowd(t, crowdKind{
		members: 1000, address: clientEntrance, head: modelHead, length: 10, piece: 10, pieces: 1, whole: true, then: strings.Repeat("x", legalBody),
	})
}

// Bodies at the callers' API, one byte short.
func TestCrowdCalls(t *testing.T) {
	testCrowd(t, crowdKind{
		members: 64, address: callerEntrance, head: callerHead, length: largestCall, piece: largestCall - 1, pieces: 1,
	})
}

// Whole bodies at the callers' API that are no JSON.
func TestCrowdCallsWhole(t *testing.T) {
	testCrowd(t, crowdKind{
		members: 64, address: callerEntrance, head: callerHead, length: largestCall, piece: largestCall, pieces: 1, whole: true,
	})
}

// Whole calls that wait for a model.
func TestCrowdCallsWaiting(t *testing.T) {
	testCrowd(t, crowdKind{
		members: 64, address: callerEntrance, head: callerHead, begin: callBegin, end: callEnd, length: len(callBegin) + legalBody + len(callEnd), piece: legalBody, pieces: 1, whole: true,
	})
}

// Bodies at the operators' API, one byte short.
func TestCrowdOperations(t *testing.T) {
	testCrowd(t, crowdKind{
		members: 128, address: operatorEntrance, head: operatorHead, length: legalBody, piece: legalBody - 1, pieces: 1,
	})
}

// Messages to the interface between nodes, one byte short.
func TestCrowdMessages(t *testing.T) {
	testCrowd(t, crowdKind{
		members: 128, address: peerEntrance, head: peerHead, length: legalBody, piece: legalBody - 1, pieces: 1,
	})
}
