package wire

import (
	"time"

	"lilacvane/internal/place"
)

// ZoneState is what operators decided about a zone, and how far that is done.
type ZoneState string

// The states of a zone.
const (
	// ZoneIn is a zone that is served as any other.
	ZoneIn ZoneState = "in"
	// ZoneLeaving is a zone that is being taken out: something may still go there.
	ZoneLeaving ZoneState = "leaving"
	// ZoneOut is a zone to which nothing new goes.
	ZoneOut ZoneState = "out"
	// ZoneReturning is a zone that was taken back and gets less than its share yet.
	ZoneReturning ZoneState = "returning"
	// ZoneDrained is a zone that a planned stop empties.
	ZoneDrained ZoneState = "drained"
)

// ZoneStatus is a zone as a node sees it.
type ZoneStatus struct {
	Zone   place.Zone   `cbor:"1,keyasint" json:"zone"`
	Region place.Region `cbor:"2,keyasint" json:"region"`
	State  ZoneState    `cbor:"3,keyasint" json:"state"`
	// Since is when the zone came into its state; not set when that is not known.
	Since *time.Time `cbor:"4,keyasint,omitempty" json:"since,omitempty"`
	// Ready, Cold and Draining are its listed runners by their own state: each counts once.
	Ready    int `cbor:"5,keyasint" json:"ready"`
	Cold     int `cbor:"6,keyasint" json:"cold"`
	Draining int `cbor:"7,keyasint" json:"draining"`
	// Nodes is how many nodes reported from there lately.
	Nodes int `cbor:"8,keyasint" json:"nodes"`
}
