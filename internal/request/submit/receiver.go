package submit

import (
	"time"

	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/request/poison"
)

// Receiver takes over what each new view of the fleet says of suspects. Set the exported
// field before use. Its method must be called from one goroutine at a time.
type Receiver struct {
	Register *poison.Register

	// index is the index of the last view that was applied.
	index uint64
}

// Apply merges the suspects that other instances have shared since the last view, and
// marks those that a new incarnation of a backend server reveals.
func (r *Receiver) Apply(now time.Time, v fleet.View) {
	for _, n := range v.Servers {
		if n.Index > r.index {
			r.Register.Alive(now, n.CrashKey())
		}
	}
	r.Register.Merge(now, Records(v, r.index))
	r.index = v.Index
}
