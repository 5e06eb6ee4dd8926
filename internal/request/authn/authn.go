// Package authn finds the workspace of a request by the key in its header, and sets the
// header fields that tell a backend server of it.
package authn

import (
	"net/http"
	"slices"
	"strings"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/request/paths"
)

// keyField is the header field that carries a key.
const keyField = "Authorization"

// Identity identifies the caller of a request.
type Identity struct {
	// Workspace is nil if the request carries no known key, or if no keys are needed.
	Workspace *snipefront.Workspace
	// HasKey is true if the request carries a key, known or not.
	HasKey bool
	// Allowed is false if the request needs a key and carries none that is known.
	Allowed bool
}

// Identify returns the identity, according to t, of the caller of a request on the route rt. h
// is the header of the request.
func Identify(t *paths.Table, rt *snipefront.Route, f snipefront.HeaderFields, h http.Header) Identity {
	if !t.Routing.NeedsKeys {
		return Identity{Allowed: true}
	}
	key, ok := keyOf(h[keyField], f.KeyScheme)
	if !ok {
		return Identity{Allowed: rt.Public}
	}
	w, known := t.Workspace(snipefront.DigestKey(key))
	return Identity{Workspace: w, HasKey: true, Allowed: known || rt.Public}
}

// keyOf returns the key in the values of the field, and reports whether there is one. Several
// values hold no key, since receivers differ in which one they read.
func keyOf(values []string, scheme string) (string, bool) {
	if len(values) != 1 {
		return "", false
	}
	name, key, _ := strings.Cut(strings.Trim(values[0], " \t"), " ")
	key = strings.TrimLeft(key, " ")
	return key, key != "" && strings.EqualFold(name, scheme)
}

// SetFields changes the header h of a request on the route rt for a backend server: it names the
// workspace of the caller in h and removes keys. If t needs no keys, h stays as it is. The slices
// in h are replaced and not changed in place.
func SetFields(t *paths.Table, rt *snipefront.Route, f snipefront.HeaderFields, caller Identity, h http.Header) {
	if !t.Routing.NeedsKeys {
		return
	}
	h.Del(f.Workspace)
	if caller.Workspace != nil {
		h.Set(f.Workspace, caller.Workspace.Name)
	}
	rest := withoutKeys(h[keyField], f.KeyScheme)
	if !rt.Public || len(rest) == 0 {
		h.Del(keyField)
		return
	}
	h[keyField] = rest
}

// withoutKeys returns a copy of values without those of the scheme.
func withoutKeys(values []string, scheme string) []string {
	return slices.DeleteFunc(slices.Clone(values), func(v string) bool { return hasScheme(v, scheme) })
}

// hasScheme reports whether v holds credentials of the scheme, also behind others: some proxies
// join the values of several fields with commas.
func hasScheme(v, scheme string) bool {
	for part := range strings.SplitSeq(v, ",") {
		words := strings.Fields(part)
		if len(words) > 0 && strings.EqualFold(words[0], scheme) {
			return true
		}
	}
	return false
}
