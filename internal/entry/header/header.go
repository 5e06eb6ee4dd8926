// Package header parts the header fields of one connection from those that go with
// a message from end to end.
package header

import (
	"net/http"
	"strings"
)

// EndToEnd returns a copy of h without the fields that concern one connection. It
// shares the values, which are never changed in place.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	Copy(out, h)
	return out
}

// Copy copies the fields of h that don't concern one connection.
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

// isHopByHop returns whether the field, in its canonical form, concerns one
// connection.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect":
		return true
	}
	return false
}
