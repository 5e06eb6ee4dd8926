// Package strict decodes the JSON files that operators write. It accepts what
// encoding/json accepts, less everything that hides a mistake: unknown fields,
// names in another case, a field given twice, null, and data after the value.
//
// A decoder never stops at the first mistake. Each one becomes a Problem that
// names the file, the field, the value found and the value expected, so that a
// file is mended in one go.
package strict

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// maxValueBytes bounds the part of a value that a Problem repeats.
const maxValueBytes = 80

// Problem is one mistake in one file.
type Problem struct {
	// File is the name of the file as it was handed in.
	File string
	// Field is the path of the field, as in "Control[1].PeerAddress". It is
	// empty where the file as a whole is wrong.
	Field string
	// Value is what was found. It is empty where the field is missing.
	Value string
	// Expected tells what would be accepted.
	Expected string
}

// Error returns the problem as one line.
func (p Problem) Error() string {
	subject := "content"
	if p.Field != "" {
		subject = fmt.Sprintf("Field %q", p.Field)
	}
	return fmt.Sprintf("%s: %s is %q, want %s", p.File, subject, p.Value, p.Expected)
}

// Lines returns the texts of problems, one a line.
func Lines(problems []Problem) string {
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Report collects the problems of one file.
type Report struct {
	// File is the name that the problems carry.
	File string
	// Problems are in the order in which they were found.
	Problems []Problem
}

// Add adds a problem. A field that already has one gets no second, and neither
// does a field within it.
func (r *Report) Add(field, value, expected string) {
	for _, p := range r.Problems {
		if within(field, p.Field) {
			return
		}
	}
	r.Problems = append(r.Problems, Problem{r.File, field, shorten(value), expected})
}

// Require adds a problem for field unless ok.
func (r *Report) Require(ok bool, field string, value any, expected string) {
	if !ok {
		r.Add(field, fmt.Sprint(value), expected)
	}
}

// Decode decodes content into the struct to which into points. Fields that
// content does not give keep their values, which are therefore the defaults.
//
// Fields may be strings, booleans, numbers, durations, structs, and slices of
// these. A duration is a string such as "250ms". A struct tag want:"..."
// replaces the text of what is expected.
func (r *Report) Decode(content []byte, into any) {
	var raw json.RawMessage
	if err := json.Unmarshal(content, &raw); err != nil {
		r.Add("", syntaxPlace(content, err), "one JSON object: "+err.Error())
		return
	}
	r.object("", raw, reflect.ValueOf(into).Elem())
}

func (r *Report) object(path string, raw json.RawMessage, into reflect.Value) {
	d := json.NewDecoder(bytes.NewReader(raw))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		r.Add(path, bare(raw), "a JSON object")
		return
	}
	seen := make(map[string]bool)
	for d.More() {
		key, value, err := member(d)
		if err != nil {
			r.Add(path, bare(raw), "a JSON object: "+err.Error())
			return
		}
		field := join(path, key)
		if seen[key] {
			r.Add(field, bare(value), "the field only once")
			continue
		}
		seen[key] = true
		f, ok := into.Type().FieldByName(key)
		if !ok || !f.IsExported() {
			r.Add(field, bare(value), "one of the fields "+fieldNames(into.Type()))
			continue
		}
		r.value(field, value, into.FieldByIndex(f.Index), f.Tag.Get("want"))
	}
}

func (r *Report) value(path string, raw json.RawMessage, into reflect.Value, want string) {
	if want == "" {
		want = describe(into.Type())
	}
	switch {
	case string(raw) == "null":
		r.Add(path, "null", want)
	case into.Type() == reflect.TypeFor[time.Duration]():
		r.duration(path, raw, into, want)
	case into.Kind() == reflect.Struct:
		r.object(path, raw, into)
	case into.Kind() == reflect.Slice:
		r.slice(path, raw, into, want)
	default:
		if err := json.Unmarshal(raw, into.Addr().Interface()); err != nil {
			r.Add(path, bare(raw), want)
		}
	}
}

func (r *Report) duration(path string, raw json.RawMessage, into reflect.Value, want string) {
	var text string
	if json.Unmarshal(raw, &text) != nil {
		r.Add(path, bare(raw), want)
		return
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		r.Add(path, text, want)
		return
	}
	into.SetInt(int64(d))
}

func (r *Report) slice(path string, raw json.RawMessage, into reflect.Value, want string) {
	var items []json.RawMessage
	if json.Unmarshal(raw, &items) != nil {
		r.Add(path, bare(raw), want)
		return
	}
	s := reflect.MakeSlice(into.Type(), len(items), len(items))
	for i, item := range items {
		r.value(path+"["+strconv.Itoa(i)+"]", item, s.Index(i), "")
	}
	into.Set(s)
}

// member reads the next name and value of an object.
func member(d *json.Decoder) (string, json.RawMessage, error) {
	t, err := d.Token()
	if err != nil {
		return "", nil, err
	}
	var value json.RawMessage
	if err := d.Decode(&value); err != nil {
		return "", nil, err
	}
	return t.(string), value, nil
}

// within reports whether field is outer or a part of it.
func within(field, outer string) bool {
	rest, ok := strings.CutPrefix(field, outer)
	return ok && (outer == "" || rest == "" || rest[0] == '.' || rest[0] == '[')
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func fieldNames(t reflect.Type) string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = t.Field(i).Name
	}
	return strings.Join(names, ", ")
}

func describe(t reflect.Type) string {
	if t == reflect.TypeFor[time.Duration]() {
		return `a duration such as "250ms"`
	}
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "an array"
	case reflect.Struct:
		return "a JSON object"
	default:
		return "a whole number"
	}
}

// bare returns raw without the quotes of a JSON string.
func bare(raw json.RawMessage) string {
	var text string
	if raw[0] != '"' || json.Unmarshal(raw, &text) != nil {
		return string(raw)
	}
	return text
}

func shorten(value string) string {
	if len(value) <= maxValueBytes {
		return value
	}
	return strings.ToValidUTF8(value[:maxValueBytes], "") + "..."
}

// syntaxPlace returns the content at which parsing ended.
func syntaxPlace(content []byte, err error) string {
	var e *json.SyntaxError
	if !errors.As(err, &e) || e.Offset < 1 || int(e.Offset) > len(content) {
		return string(content)
	}
	return string(content[e.Offset-1:])
}
