package paths

import (
	"fmt"
	"math"
	"strings"
	"unicode"

	"github.com/snipefront/snipefront"
)

// emptyKey is the digest of a key without text.
var emptyKey = snipefront.DigestKey("")

// Workspace returns the workspace that has the key with the digest d, and reports whether
// there is one.
func (t *Table) Workspace(d snipefront.KeyDigest) (*snipefront.Workspace, bool) {
	w, ok := t.workspaces[d]
	return w, ok
}

// addWorkspaces adds the workspaces of the Routing by their keys. It returns a Problem for the
// first one that is invalid.
func (t *Table) addWorkspaces() error {
	list := t.Routing.Workspaces
	t.workspaces = make(map[snipefront.KeyDigest]*snipefront.Workspace, countKeys(list))
	names := make(map[string]bool, len(list))
	for i := range list {
		w := &list[i]
		if w.Name == "" {
			return &Problem{Workspace: fmt.Sprint("#", i+1), Text: "no name"}
		}
		if names[w.Name] {
			return &Problem{Workspace: w.Name, Text: "another workspace has this name"}
		}
		names[w.Name] = true
		if p := checkWorkspace(w); p != "" {
			return &Problem{Workspace: w.Name, Text: p}
		}
		if p := t.addKeys(w); p != "" {
			return &Problem{Workspace: w.Name, Text: p}
		}
	}
	return nil
}

// countKeys returns the number of keys of all workspaces of list.
func countKeys(list []snipefront.Workspace) int {
	n := 0
	for i := range list {
		n += len(list[i].Keys)
	}
	return n
}

// checkWorkspace returns what is wrong with w apart from its keys, or an empty string.
func checkWorkspace(w *snipefront.Workspace) string {
	switch {
	case strings.ContainsFunc(w.Name, unicode.IsControl):
		return "the name has a control character, which no header field can carry"
	case !isAmount(w.Quota.PerSecond):
		return "the rate is negative or not a number"
	case !isAmount(w.Quota.Burst):
		return "the burst is negative or not a number"
	}
	return ""
}

// isAmount reports whether v is a finite number that is not negative.
func isAmount(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }

// addKeys adds w by each of its keys. It returns what is wrong with them, or an empty string.
// The text names a key by its position, from 1.
func (t *Table) addKeys(w *snipefront.Workspace) string {
	for i, k := range w.Keys {
		other, ok := t.workspaces[k]
		switch {
		case k == emptyKey:
			return fmt.Sprintf("key %d is empty", i+1)
		case ok && other == w:
			return fmt.Sprintf("key %d is there twice", i+1)
		case ok:
			return fmt.Sprintf("key %d is also a key of workspace %q", i+1, other.Name)
		}
		t.workspaces[k] = w
	}
	return ""
}
