package cells

import (
	"time"

	"github.com/snipefront/snipefront"
)

// leasePicker is a Picker that picks no candidate while the lease is expired.
type leasePicker struct {
	snipefront.Picker
	lease Lease
}

// Pick implements snipefront.Picker.
func (p leasePicker) Pick(list []snipefront.Candidate, random uint64) int {
	if !p.lease.Held(time.Now()) {
		return -1
	}
	return p.Picker.Pick(list, random)
}
