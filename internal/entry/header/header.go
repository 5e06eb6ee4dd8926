// Package header separates the hop-by-hop fields of an HTTP header from the end-to-end
// fields.
package header

import (
	"net/http"
	"strings"
)

// EndToEnd returns a copy of h without hop-by-hop fields. The copy shares the values of
// h, which are never changed in place.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	Copy(out, h)
	return out
}

// Copy copies the end-to-end fields of h to out, and deletes from out the fields that the
// Connection field of h names. The names in h must be in canonical form.
func Copy(out, h http.Header) {
	for n, v := range h {
		if !isHopByHop(n) {
			out[n] = v
		}
	}
	for _, v := range h["Connection"] {
		for n := range strings.SplitSeq(v, ",") {
			if n = http.CanonicalHeaderKey(strings.TrimSpace(n)); !isHopByHop(n) {
				delete(out, n)
			}
		}
	}
}

// isHopByHop reports whether the field, named in canonical form, is always a hop-by-hop
// field, also if Connection does not name it.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect":
		return true
	}
	return false
}
