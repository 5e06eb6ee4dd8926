package state

import (
	"sort"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/owner"
)

// EpochChange replaces the set of instances.
type EpochChange struct {
	// From is the number of the epoch that the change is based on.
	From uint64
	// Instances is the new set.
	Instances []snipefront.Instance
}

// EpochResult is the result of an EpochChange.
type EpochResult struct {
	// Accepted is true if the change was based on the current epoch and replaced it.
	Accepted bool
	// Number is the number of the current epoch after the command.
	Number uint64
}

// Epoch returns the current epoch.
func (s *State) Epoch() snipefront.Epoch {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.data.Epoch
}

func (s *State) applyEpoch(c *EpochChange) EpochResult {
	if c.From != s.data.Epoch.Number {
		return EpochResult{Number: s.data.Epoch.Number}
	}
	list := append([]snipefront.Instance(nil), c.Instances...)
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	next := snipefront.Epoch{
		Number:      c.From + 1,
		Instances:   list,
		DataCentres: s.data.Epoch.DataCentres,
	}
	next.DataCentres = owner.DataCentres(next)
	s.data.Epoch = next
	return EpochResult{Accepted: true, Number: s.data.Epoch.Number}
}
