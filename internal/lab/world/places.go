package world

import (
	"cmp"
	"time"

	"lilacvane/internal/lab/runnerstub"
	"lilacvane/internal/place"
	"lilacvane/platform/protocol"
)

// RegionOf is the region in which a zone of the world lies.
func (w *World) RegionOf(zone place.Zone) place.Region {
	return cmp.Or(w.Zones.Region(zone), place.Region(w.Region))
}

// Zone is where the runner stands.
func (r *Runner) Zone() place.Zone { return place.Zone(r.options.Zone) }

// TakeOutZone writes the operator's row that asks that nothing new go to a zone.
func (w *World) TakeOutZone(zone place.Zone) error {
	return w.PutRows(zoneRow(zone, false))
}

// TakeBackZone removes the row.
func (w *World) TakeBackZone(zone place.Zone) error {
	return w.PutRows(zoneRow(zone, true))
}

func zoneRow(zone place.Zone, deleted bool) protocol.Row {
	return protocol.Row{Table: protocol.OperatorTable, Key: protocol.EvacuationPrefix + string(zone), Value: []byte("{}"), Deleted: deleted}
}

// ChillRunner makes a runner cold for a while, as its row then tells.
func (w *World) ChillRunner(id string, lasting time.Duration) error {
	return w.SetRunnerCold(id, runnerstub.Cold{ForMs: lasting.Milliseconds()})
}
