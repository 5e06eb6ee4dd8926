package member

import (
	"encoding/json"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/owner"
)

// View is what an instance knows of the fleet. It is never changed after it is
// published.
type View struct {
	// Self is the name of this instance.
	Self  string
	Epoch snipefront.Epoch
	// Config is never nil.
	Config *snipefront.Config
	// Files holds the files that Config was merged from, by name.
	Files map[string]json.RawMessage
	// Waiting is true until all holders of a lease have confirmed Epoch.
	Waiting bool
	// Before is the view of the epoch before, while Waiting. It is nil where the
	// lease lapsed in between.
	Before *View
}

// Owns returns whether this instance may dispatch for c. It owns c in the
// current epoch, and either it has held c without a break or every other
// holder of a lease has let go of it.
func (v *View) Owns(c snipefront.Cell) bool {
	o, ok := owner.Of(v.Epoch, c)
	if !ok || o.Name != v.Self {
		return false
	}
	if !v.Waiting {
		return true
	}
	return v.Before != nil && v.Before.Owns(c)
}

// In returns whether this instance is in the epoch.
func (v *View) In() bool {
	for _, n := range v.Epoch.Instances {
		if n.Name == v.Self {
			return true
		}
	}
	return false
}
