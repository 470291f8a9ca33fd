package orders

import (
	"lilacvane/internal/backend"
	"lilacvane/internal/config"
)

// FreeMemory returns the memory in MB that is not used and that no outstanding order may use.
func (l *Ledger) FreeMemory(engine *config.Engine) float64 {
	free := engine.ModelMemory
	for name, model := range l.models {
		free -= sizeOf(engine, backend.Unit{Model: name})
		for adapter := range model.Adapters {
			free -= sizeOf(engine, backend.Unit{Model: name, Adapter: adapter})
		}
	}
	for _, order := range l.outstanding() {
		if order.Action == backend.Load {
			free -= sizeOf(engine, order.Unit)
		}
	}
	return free
}

// FreeAdapterSlots returns how many more adapters may be ordered.
func (l *Ledger) FreeAdapterSlots(engine *config.Engine) int {
	free := engine.AdapterSlots
	for _, model := range l.models {
		free -= len(model.Adapters)
	}
	for _, order := range l.outstanding() {
		if order.Action == backend.Load && order.Unit.Adapter != "" {
			free--
		}
	}
	return free
}

func sizeOf(engine *config.Engine, unit backend.Unit) float64 {
	model := engine.Models[unit.Model]
	if model == nil {
		// The size of a model that is no longer configured is unknown, so it counts as all
		// memory.
		return engine.ModelMemory
	}
	if unit.Adapter != "" {
		return model.AdapterSize
	}
	return model.Size
}

func (l *Ledger) loadingAdapters() int {
	count := 0
	for _, model := range l.models {
		for _, adapter := range model.Adapters {
			if adapter.Loading {
				count++
			}
		}
	}
	return count
}
