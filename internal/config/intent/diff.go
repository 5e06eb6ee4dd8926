package intent

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strings"
)

// Change is the difference between two folders in one file.
type Change struct {
	// Name is the name of the file.
	Name string
	// Old is the content before, on one line. It is empty if the file is new.
	Old string
	// New is the content after, on one line. It is empty if the file was removed.
	New string
	// Fields holds the fields that differ, sorted by name. It is empty unless the
	// file is in both folders.
	Fields []FieldChange
}

// FieldChange is the difference in one field of a file.
type FieldChange struct {
	Name string
	// Old and New are JSON values, empty if the file does not set the field.
	Old string
	New string
}

// Diff returns the changes from the folder before to the folder after, sorted
// by file name. It ignores whitespace and the order of fields.
func Diff(before, after []File) []Change {
	from, to := contentsByName(before), contentsByName(after)
	var changes []Change
	for _, name := range namesOfBoth(from, to) {
		c := Change{Name: name, Old: compact(from[name]), New: compact(to[name])}
		if c.Old != "" && c.New != "" {
			c.Fields = diffFields(from[name], to[name])
		}
		if c.Old == "" || c.New == "" || len(c.Fields) > 0 {
			changes = append(changes, c)
		}
	}
	return changes
}

func contentsByName(files []File) map[string][]byte {
	contents := make(map[string][]byte, len(files))
	for _, f := range files {
		contents[f.Name] = f.Content
	}
	return contents
}

// namesOfBoth returns the names that a or b has, sorted.
func namesOfBoth[V any](a, b map[string]V) []string {
	names := maps.Clone(a)
	maps.Copy(names, b)
	return slices.Sorted(maps.Keys(names))
}

func diffFields(before, after []byte) []FieldChange {
	from, to := fieldValues(before), fieldValues(after)
	var changes []FieldChange
	for _, name := range namesOfBoth(from, to) {
		if from[name] != to[name] {
			changes = append(changes, FieldChange{Name: name, Old: from[name], New: to[name]})
		}
	}
	return changes
}

// fieldValues returns the values of an object's fields in canonical form, by
// field name. Content that is not an object counts as one field with an empty name.
func fieldValues(content []byte) map[string]string {
	var object map[string]json.RawMessage
	if json.Unmarshal(content, &object) != nil {
		return map[string]string{"": compact(content)}
	}
	values := make(map[string]string, len(object))
	for name, value := range object {
		values[name] = canonical(value)
	}
	return values
}

// canonical returns value without whitespace, with the fields of its objects sorted
// and the characters of its strings escaped in one way. Numbers stay as written.
func canonical(value []byte) string {
	d := json.NewDecoder(bytes.NewReader(value))
	d.UseNumber()
	var v any
	if d.Decode(&v) != nil {
		return string(value)
	}
	var b strings.Builder
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if e.Encode(v) != nil {
		return string(value)
	}
	return strings.TrimSuffix(b.String(), "\n")
}

func compact(content []byte) string {
	var b bytes.Buffer
	if json.Compact(&b, content) != nil {
		return string(content)
	}
	return b.String()
}
