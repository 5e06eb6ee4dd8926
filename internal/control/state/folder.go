package state

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"sort"
	"strconv"
)

// Diff returns the change from the folder current, at the revision version, to
// files. It leaves ChangeID empty.
func Diff(current map[string]json.RawMessage, version uint64, files []File) ConfigChange {
	c := ConfigChange{Version: version, Digest: digest(files)}
	kept := make(map[string]bool, len(files))
	for _, f := range files {
		kept[f.Name] = true
		if old, ok := current[f.Name]; !ok || !bytes.Equal(old, f.Content) {
			c.Written = append(c.Written, f)
		}
	}
	for n := range current {
		if !kept[n] {
			c.Removed = append(c.Removed, n)
		}
	}
	sort.Strings(c.Removed)
	return c
}

// digest returns a hash of the folder that does not depend on the order of files.
func digest(files []File) string {
	list := append([]File(nil), files...)
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	h := sha256.New()
	for _, f := range list {
		for _, part := range []string{f.Name, string(f.Content)} {
			_, _ = io.WriteString(h, strconv.Itoa(len(part))+":"+part)
		}
	}
	return hex.EncodeToString(h.Sum(nil))
}
