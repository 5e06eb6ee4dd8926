package cells

import (
	"time"

	"github.com/snipefront/snipefront"
)

// leased is a Picker that chooses nothing while the lease is lapsed.
type leased struct {
	snipefront.Picker
	lease Lease
}

// Pick implements snipefront.Picker.
func (l leased) Pick(list []snipefront.Candidate, random uint64) int {
	if !l.lease.Held(time.Now()) {
		return -1
	}
	return l.Picker.Pick(list, random)
}
