package wire

import (
	"time"

	"lilacvane/internal/place"
)

// ZoneState is the decision of the operators about a zone and the progress of carrying it out.
type ZoneState string

// The states of a zone.
const (
	// ZoneIn is a zone in normal service.
	ZoneIn ZoneState = "in"
	// ZoneLeaving is a zone that is being taken out of service; it may still receive work.
	ZoneLeaving ZoneState = "leaving"
	// ZoneOut is a zone that receives nothing new.
	ZoneOut ZoneState = "out"
	// ZoneReturning is a zone that was put back into service and gets less than its full share yet.
	ZoneReturning ZoneState = "returning"
	// ZoneDrained is a zone that a planned stop empties.
	ZoneDrained ZoneState = "drained"
)

// ZoneStatus is the state of a zone as known to a node.
type ZoneStatus struct {
	Zone   place.Zone   `cbor:"1,keyasint" json:"zone"`
	Region place.Region `cbor:"2,keyasint" json:"region"`
	State  ZoneState    `cbor:"3,keyasint" json:"state"`
	// Since is when the zone entered its state; nil if that is not known.
	Since *time.Time `cbor:"4,keyasint,omitempty" json:"since,omitempty"`
	// Ready, Cold and Draining are the numbers of its listed runners by their own state. Each
	// runner counts once.
	Ready    int `cbor:"5,keyasint" json:"ready"`
	Cold     int `cbor:"6,keyasint" json:"cold"`
	Draining int `cbor:"7,keyasint" json:"draining"`
	// Nodes is the number of nodes there that reported recently.
	Nodes int `cbor:"8,keyasint" json:"nodes"`
}
