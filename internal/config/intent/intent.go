// Package intent merges the operators' folder of JSON files into a configuration.
//
// Each file states one intent about one subject: a service, a data centre out of
// service, a spare backend server, or the budget of probes for the whole fleet.
// Files are merged in the order of their names, whatever order they are passed in.
// If two files have the same subject, the later one replaces the earlier one
// entirely: fields that it does not set get their defaults, not the earlier values.
//
// A folder is checked as a whole: Merge returns either a configuration or all
// problems of all files.
package intent

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/config/strict"
)

// Limits of a folder.
const (
	// MaxFileBytes is the maximum size of one file.
	MaxFileBytes = 64 << 10
	// MaxFiles is the maximum number of files in one folder.
	MaxFiles = 100_000
	// maxFileNameBytes is the longest file name that most file systems allow.
	maxFileNameBytes = 255
)

const fileNameExpected = "a printable name that ends in .json and does not begin with a dot"

// File is one intent as the operators wrote it, not yet checked.
type File struct {
	// Name is the file name within the folder. Files are merged in the order of
	// their names.
	Name string
	// Content is the JSON text of the file.
	Content []byte
}

// Problem is one mistake in one file or in the folder as a whole.
type Problem = strict.Problem

// Merge returns the configuration that results from files, with Revision 0. If
// there are problems, it returns an empty configuration and all problems, sorted
// by file name.
func Merge(files []File) (snipefront.Config, []Problem) {
	var m Merger
	return m.Merge(files)
}

// Merger merges successive versions of a folder and parses only the files that
// changed since the last call. The zero value is ready to use. A Merger is not
// safe for concurrent use.
type Merger struct {
	// previous holds the files of the last folder that had no problem, by name.
	previous map[string]parsed
}

// Merge returns what the function Merge returns for files.
func (m *Merger) Merge(files []File) (snipefront.Config, []Problem) {
	if len(files) > MaxFiles {
		return snipefront.Config{}, []Problem{{
			File:     "folder",
			Value:    fmt.Sprintf("%d files", len(files)),
			Expected: fmt.Sprintf("at most %d files", MaxFiles),
		}}
	}
	sorted := slices.Clone(files)
	slices.SortStableFunc(sorted, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
	b := newBuilder()
	current := make(map[string]parsed, len(sorted))
	for i, f := range sorted {
		if i > 0 && sorted[i-1].Name == f.Name {
			b.problems = append(b.problems, Problem{File: f.Name, Value: f.Name, Expected: "each file name once"})
			continue
		}
		p := m.parse(f)
		if len(p.problems) > 0 {
			b.problems = append(b.problems, p.problems...)
			continue
		}
		current[f.Name] = p
		p.apply(b, f.Name)
	}
	m.previous = current
	b.checkSpares()
	if len(b.problems) > 0 {
		sortProblems(b.problems)
		return snipefront.Config{}, b.problems
	}
	return b.config, nil
}

// parse returns the parsed f. It reuses the result of the last folder if the
// content of f is unchanged.
func (m *Merger) parse(f File) parsed {
	if p, ok := m.previous[f.Name]; ok && bytes.Equal(p.content, f.Content) {
		return p
	}
	return parse(f)
}

// applyFunc adds the intent of the named file to b.
type applyFunc func(b *builder, file string)

// parsed is the result of parsing one file. Its apply is called only if there are
// no problems.
type parsed struct {
	content  []byte
	apply    applyFunc
	problems []Problem
}

// builder accumulates the configuration and the problems of one folder.
type builder struct {
	config snipefront.Config
	// spareFiles holds the name of the file that states each spare.
	spareFiles map[snipefront.SpareName]string
	problems   []Problem
}

func newBuilder() *builder {
	return &builder{
		config: snipefront.Config{
			Services:       make(map[string]snipefront.Service),
			DataCentresOut: make(map[string]bool),
			Spares:         make(map[snipefront.SpareName]bool),
		},
		spareFiles: make(map[snipefront.SpareName]string),
	}
}

func parse(f File) parsed {
	d := &strict.Decoder{File: f.Name}
	p := parsed{content: f.Content}
	switch {
	case !isFileName(f.Name):
		d.Add("", f.Name, fileNameExpected)
	case len(f.Content) > MaxFileBytes:
		d.Add("", fmt.Sprintf("%d bytes", len(f.Content)), fmt.Sprintf("at most %d bytes", MaxFileBytes))
	default:
		p.apply = parseKind(d, f.Content)
	}
	p.problems = d.Problems
	return p
}

// parseKind parses content according to its field Kind.
func parseKind(d *strict.Decoder, content []byte) applyFunc {
	kind := kindOf(content)
	switch kind {
	case kindService:
		return parseService(d, content)
	case kindDataCentreOut:
		return parseDataCentreOut(d, content)
	case kindSpare:
		return parseSpare(d, content)
	case kindMeasuringBudget:
		return parseMeasuringBudget(d, content)
	}
	var object struct{ Kind any }
	if json.Unmarshal(content, &object) != nil {
		// The content is no JSON object. Decode adds the problem that says so.
		d.Decode(content, &struct{ Kind string }{})
		return nil
	}
	d.Add("Kind", kind, kindExpected)
	return nil
}

// checkSpares adds a problem for each spare of a service that no file states.
func (b *builder) checkSpares() {
	for n := range b.config.Spares {
		if _, ok := b.config.Services[n.Service]; ok {
			continue
		}
		b.problems = append(b.problems, Problem{
			File:     b.spareFiles[n],
			Field:    "Service",
			Value:    n.Service,
			Expected: "a service that a file of the folder states",
		})
	}
}

// sortProblems sorts problems by file name and keeps the order within a file.
func sortProblems(problems []Problem) {
	slices.SortStableFunc(problems, func(a, b Problem) int { return strings.Compare(a.File, b.File) })
}

// kindOf returns the field Kind of content, as raw JSON if it is not a string. It
// returns "" if content is not an object or the field is missing or null.
func kindOf(content []byte) string {
	var object struct{ Kind json.RawMessage }
	if json.Unmarshal(content, &object) != nil {
		return ""
	}
	var kind string
	if json.Unmarshal(object.Kind, &kind) != nil {
		return string(object.Kind)
	}
	return kind
}

func isFileName(name string) bool {
	if len(name) > maxFileNameBytes || !utf8.ValidString(name) {
		return false
	}
	if strings.HasPrefix(name, ".") || !strings.HasSuffix(name, ".json") {
		return false
	}
	return !strings.ContainsFunc(name, func(c rune) bool {
		return c == '/' || c == '\\' || !unicode.IsPrint(c)
	})
}
