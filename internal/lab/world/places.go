package world

import (
	"cmp"
	"time"

	"lilacvane/internal/lab/runnerstub"
	"lilacvane/internal/place"
	"lilacvane/platform/protocol"
)

// RegionOf returns the region of a zone.
func (w *World) RegionOf(zone place.Zone) place.Region {
	return cmp.Or(w.Zones.Region(zone), place.Region(w.Region))
}

// Zone returns the zone of the runner.
func (r *Runner) Zone() place.Zone { return place.Zone(r.options.Zone) }

// EvacuateZone writes the operator's row that asks nodes to send nothing new to a zone.
func (w *World) EvacuateZone(zone place.Zone) error {
	return w.PutRows(zoneRow(zone, false))
}

// RestoreZone removes that row.
func (w *World) RestoreZone(zone place.Zone) error {
	return w.PutRows(zoneRow(zone, true))
}

func zoneRow(zone place.Zone, deleted bool) protocol.Row {
	return protocol.Row{Table: protocol.OperatorTable, Key: protocol.EvacuationPrefix + string(zone), Value: []byte("{}"), Deleted: deleted}
}

// MakeRunnerCold makes a runner cold for a duration. Its row states that.
func (w *World) MakeRunnerCold(id string, duration time.Duration) error {
	return w.SetRunnerCold(id, runnerstub.Cold{ForMs: duration.Milliseconds()})
}
