package poison

import "slices"

// Software is what backend servers run: a service in one version. What one of them answers
// says nothing of others that run another software.
type Software struct {
	Service string
	// Version is empty if it is not known.
	Version string `json:",omitempty"`
}

// MaxSoftware bounds the software that is recorded for one request.
const MaxSoftware = 8

// covers reports whether s and o may be the same software.
func (s Software) covers(o Software) bool {
	return s.Service == o.Service && (s.Version == o.Version || s.Version == "" || o.Version == "")
}

// addSoftware returns list with s added, without the oldest ones above MaxSoftware.
func addSoftware(list []Software, s Software) []Software {
	if slices.Contains(list, s) {
		return list
	}
	list = append(slices.Clone(list), s)
	return list[max(0, len(list)-MaxSoftware):]
}

// coveredBy reports whether any software of list covers s.
func coveredBy(list []Software, s Software) bool { return slices.ContainsFunc(list, s.covers) }

// Software returns the software that s runs.
func (s Server) Software() Software { return Software{Service: s.Service, Version: s.Version} }

// isSame reports whether s and o are the same incarnation, whatever is known of its version.
func (s Server) isSame(o Server) bool {
	return s.identity() == o.identity() && s.Incarnation == o.Incarnation
}

// ContainsServer reports whether list contains the incarnation s.
func ContainsServer(list []Server, s Server) bool { return slices.ContainsFunc(list, s.isSame) }

// WithoutSoftware returns the backend servers of list that do not run s.
func WithoutSoftware(list []Server, s Software) []Server {
	var kept []Server
	for _, c := range list {
		if !s.covers(c.Software()) {
			kept = append(kept, c)
		}
	}
	return kept
}
