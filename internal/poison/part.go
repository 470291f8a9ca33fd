package poison

import (
	"crypto/sha256"
	"encoding/binary"
)

// MaxParts bounds the parts of one prompt that are counted: the first ones, which most requests share.
const MaxParts = 16

// partDomain keeps the identities of parts apart from those of contents, whose first field is an HTTP
// method.
const partDomain = "part of a prompt"

// PartIdentity returns the identity of a part of prompts in a service. Callers, routes and models do not
// count: the part may crash runners under each of them.
func PartIdentity(service, part string) Identity {
	digest := sha256.New()
	for _, field := range []string{partDomain, service, part} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		digest.Write(length[:])
		digest.Write([]byte(field))
	}
	identity := Identity(digest.Sum(nil))
	clear(identity[partTag:serviceTag])
	binary.BigEndian.PutUint32(identity[serviceTag:], hashService(service))
	return identity
}

// PartIdentities returns the identities of parts by their names, of at most MaxParts.
func PartIdentities(service string, names []string) []Identity {
	names = names[:min(len(names), MaxParts)]
	identities := make([]Identity, 0, len(names))
	for _, name := range names {
		identities = append(identities, PartIdentity(service, name))
	}
	return identities
}

const (
	// partTag is where the identity of a part is zero from, up to serviceTag, where a hash of its service
	// begins. That of a content is zero there for one in four billion.
	partTag    = sha256.Size - 8
	serviceTag = sha256.Size - 4
)

// hashService returns a hash by which parts of a service are told from those of others.
func hashService(service string) uint32 {
	digest := sha256.Sum256([]byte(service))
	return binary.BigEndian.Uint32(digest[:])
}

// IsPart reports whether the identity is that of a part of prompts.
func (i Identity) IsPart() bool { return binary.BigEndian.Uint32(i[partTag:serviceTag]) == 0 }

// isPartOf reports whether the identity is that of a part of prompts in a service.
func (i Identity) isPartOf(service string) bool {
	return i.IsPart() && binary.BigEndian.Uint32(i[serviceTag:]) == hashService(service)
}
