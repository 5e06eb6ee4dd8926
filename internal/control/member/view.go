package member

import (
	"encoding/json"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/owner"
)

// View is the membership epoch and the configuration that an instance has
// applied. It is never changed after it is published.
type View struct {
	// Self is the name of this instance.
	Self  string
	Epoch snipefront.Epoch
	// Config is never nil.
	Config *snipefront.Config
	// Files holds the files that Config was merged from, by name.
	Files map[string]json.RawMessage
	// Waiting is true until a grant reports that Epoch is settled: all lease holders
	// have confirmed it.
	Waiting bool
	// Before is the view of the previous epoch while Waiting is true. It is nil
	// if the instance held no lease when it applied Epoch.
	Before *View
}

// MayDispatch reports whether the view allows this instance to dispatch for c. The
// instance must be the owner of c in Epoch. While Waiting is true, Before must allow
// it, too.
func (v *View) MayDispatch(c snipefront.Cell) bool {
	o, ok := owner.Of(v.Epoch, c)
	if !ok || o.Name != v.Self {
		return false
	}
	if !v.Waiting {
		return true
	}
	return v.Before != nil && v.Before.MayDispatch(c)
}

// InEpoch reports whether this instance is in the epoch.
func (v *View) InEpoch() bool {
	for _, n := range v.Epoch.Instances {
		if n.Name == v.Self {
			return true
		}
	}
	return false
}
