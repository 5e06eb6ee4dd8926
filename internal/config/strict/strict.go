// Package strict decodes the JSON files that operators write. It rejects input that
// encoding/json accepts but that may hide a mistake: unknown fields, field names in
// another case, duplicate fields, null, and data after the JSON value.
//
// Decoding does not stop at the first mistake. Each mistake becomes a Problem with
// the file, the field, the value found and the value expected, so that operators can
// correct all of them at once.
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

// maxValueBytes is the length to which Add truncates a value.
const maxValueBytes = 80

// Problem is one mistake in one file.
type Problem struct {
	// File is the name of the file as the caller passed it.
	File string
	// Field is the path of the field, as in "Control[1].PeerAddress". It is
	// empty if the problem is about the file as a whole.
	Field string
	// Value is the value found. It is empty if the field is missing.
	Value string
	// Expected describes what would be accepted.
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

// Lines returns the texts of problems, one per line.
func Lines(problems []Problem) string {
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Decoder collects the problems of one file.
type Decoder struct {
	// File is the file name that Add puts into each problem.
	File string
	// Problems are in the order in which they were found.
	Problems []Problem
}

// Add adds a problem, unless there is already one for the same field or for a field
// that contains it.
func (d *Decoder) Add(field, value, expected string) {
	for _, p := range d.Problems {
		if isWithin(field, p.Field) {
			return
		}
	}
	d.Problems = append(d.Problems, Problem{d.File, field, truncate(value), expected})
}

// Require adds a problem for field if ok is false.
func (d *Decoder) Require(ok bool, field string, value any, expected string) {
	if !ok {
		d.Add(field, fmt.Sprint(value), expected)
	}
}

// Decode decodes content into the struct to which into points, and adds a problem
// for each mistake. Fields that content does not set keep their values, so the caller
// sets the defaults before the call.
//
// Fields may be strings, booleans, numbers, durations, structs, and slices of
// these. A duration is a string such as "250ms". The struct tag want:"..."
// replaces the default text of Problem.Expected for its field.
func (d *Decoder) Decode(content []byte, into any) {
	var raw json.RawMessage
	if err := json.Unmarshal(content, &raw); err != nil {
		d.Add("", contentAtError(content, err), "one JSON object: "+err.Error())
		return
	}
	d.decodeObject("", raw, reflect.ValueOf(into).Elem())
}

func (d *Decoder) decodeObject(path string, raw json.RawMessage, into reflect.Value) {
	tokens := json.NewDecoder(bytes.NewReader(raw))
	if t, err := tokens.Token(); err != nil || t != json.Delim('{') {
		d.Add(path, unquote(raw), "a JSON object")
		return
	}
	seen := make(map[string]bool)
	for tokens.More() {
		key, value, err := readMember(tokens)
		if err != nil {
			d.Add(path, unquote(raw), "a JSON object: "+err.Error())
			return
		}
		field := joinPath(path, key)
		if seen[key] {
			d.Add(field, unquote(value), "the field only once")
			continue
		}
		seen[key] = true
		f, ok := into.Type().FieldByName(key)
		if !ok || !f.IsExported() {
			d.Add(field, unquote(value), "one of the fields "+fieldNames(into.Type()))
			continue
		}
		d.decodeValue(field, value, into.FieldByIndex(f.Index), f.Tag.Get("want"))
	}
}

func (d *Decoder) decodeValue(path string, raw json.RawMessage, into reflect.Value, want string) {
	if want == "" {
		want = typeExpected(into.Type())
	}
	switch {
	case string(raw) == "null":
		d.Add(path, "null", want)
	case into.Type() == reflect.TypeFor[time.Duration]():
		d.decodeDuration(path, raw, into, want)
	case into.Kind() == reflect.Struct:
		d.decodeObject(path, raw, into)
	case into.Kind() == reflect.Slice:
		d.decodeSlice(path, raw, into, want)
	default:
		if err := json.Unmarshal(raw, into.Addr().Interface()); err != nil {
			d.Add(path, unquote(raw), want)
		}
	}
}

func (d *Decoder) decodeDuration(path string, raw json.RawMessage, into reflect.Value, want string) {
	var text string
	if json.Unmarshal(raw, &text) != nil {
		d.Add(path, unquote(raw), want)
		return
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		d.Add(path, text, want)
		return
	}
	into.SetInt(int64(duration))
}

func (d *Decoder) decodeSlice(path string, raw json.RawMessage, into reflect.Value, want string) {
	var elements []json.RawMessage
	if json.Unmarshal(raw, &elements) != nil {
		d.Add(path, unquote(raw), want)
		return
	}
	s := reflect.MakeSlice(into.Type(), len(elements), len(elements))
	for i, element := range elements {
		d.decodeValue(path+"["+strconv.Itoa(i)+"]", element, s.Index(i), "")
	}
	into.Set(s)
}

// readMember reads the next field name and value of an object.
func readMember(d *json.Decoder) (string, json.RawMessage, error) {
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

// isWithin reports whether field is outer or is contained in it.
func isWithin(field, outer string) bool {
	rest, ok := strings.CutPrefix(field, outer)
	return ok && (outer == "" || rest == "" || rest[0] == '.' || rest[0] == '[')
}

func joinPath(path, key string) string {
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

func typeExpected(t reflect.Type) string {
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

// unquote returns the text of a JSON string, and any other raw value unchanged.
func unquote(raw json.RawMessage) string {
	var text string
	if raw[0] != '"' || json.Unmarshal(raw, &text) != nil {
		return string(raw)
	}
	return text
}

func truncate(value string) string {
	if len(value) <= maxValueBytes {
		return value
	}
	return strings.ToValidUTF8(value[:maxValueBytes], "") + "..."
}

// contentAtError returns content from the byte at which err occurred, or all of it
// if err has no position.
func contentAtError(content []byte, err error) string {
	var e *json.SyntaxError
	if !errors.As(err, &e) || e.Offset < 1 || int(e.Offset) > len(content) {
		return string(content)
	}
	return string(content[e.Offset-1:])
}
