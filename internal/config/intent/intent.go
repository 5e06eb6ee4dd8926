// Package intent turns the operators' folder into a configuration.
//
// Each file of the folder states one intent about one subject: a service, a
// data centre, a backend server to spare, or the measuring budget. Files are
// merged in the order of their names, and of two files with the same subject
// the later one wins whole. The order in which files are handed in has no
// influence.
//
// A folder is checked as a whole. Either it has no problem and gives a
// configuration, or it gives all of its problems and no configuration.
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
	// MaxFileBytes is the most bytes in one file.
	MaxFileBytes = 64 << 10
	// MaxFiles is the most files in one folder.
	MaxFiles = 100_000
	// maxFileNameBytes is the longest name that file systems usually take.
	maxFileNameBytes = 255
)

const fileNameExpected = "a printable name that ends in .json and does not begin with a dot"

// File is one intent as the operators wrote it.
type File struct {
	// Name is the name within the folder. It decides the order.
	Name string
	// Content is one JSON object.
	Content []byte
}

// Problem is one mistake in one file.
type Problem = strict.Problem

// Merge returns the configuration that files give together, with Revision 0.
// Where there is any problem it returns all of them, by the name of their
// file, and an empty configuration.
func Merge(files []File) (snipefront.Config, []Problem) {
	var m Merger
	return m.Merge(files)
}

// Merger merges folders that differ little from one to the next: it reads a file
// again only where the file has changed. Its zero value is ready. It is not safe
// for concurrent use.
type Merger struct {
	// known holds what the files of the last folder say, by name. None of them
	// has a problem.
	known map[string]parsed
}

// Merge is as the function Merge.
func (g *Merger) Merge(files []File) (snipefront.Config, []Problem) {
	if len(files) > MaxFiles {
		return snipefront.Config{}, []Problem{{
			File:     "folder",
			Value:    fmt.Sprintf("%d files", len(files)),
			Expected: fmt.Sprintf("at most %d files", MaxFiles),
		}}
	}
	sorted := slices.Clone(files)
	slices.SortStableFunc(sorted, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
	m := newMerger()
	known := make(map[string]parsed, len(sorted))
	for i, f := range sorted {
		if i > 0 && sorted[i-1].Name == f.Name {
			m.problems = append(m.problems, Problem{File: f.Name, Value: f.Name, Expected: "each file name once"})
			continue
		}
		p := g.parse(f)
		if len(p.problems) > 0 {
			m.problems = append(m.problems, p.problems...)
			continue
		}
		known[f.Name] = p
		p.effect(m, f.Name)
	}
	g.known = known
	m.checkSpares()
	if len(m.problems) > 0 {
		sortProblems(m.problems)
		return snipefront.Config{}, m.problems
	}
	return m.config, nil
}

// parse returns what f says, from the last folder where it is the same there.
func (g *Merger) parse(f File) parsed {
	if p, ok := g.known[f.Name]; ok && bytes.Equal(p.content, f.Content) {
		return p
	}
	return parse(f)
}

// effect is what a file without a problem does to a folder.
type effect func(m *merger, file string)

// parsed is one file as it was read.
type parsed struct {
	content  []byte
	effect   effect
	problems []Problem
}

// merger collects the intents of one folder.
type merger struct {
	config snipefront.Config
	// spareFiles holds the name of the file that asks for each spare.
	spareFiles map[snipefront.SpareName]string
	problems   []Problem
}

func newMerger() *merger {
	return &merger{
		config: snipefront.Config{
			Services:       make(map[string]snipefront.Service),
			DataCentresOut: make(map[string]bool),
			Spares:         make(map[snipefront.SpareName]bool),
		},
		spareFiles: make(map[snipefront.SpareName]string),
	}
}

// parse reads one file.
func parse(f File) parsed {
	r := &strict.Report{File: f.Name}
	p := parsed{content: f.Content}
	switch {
	case !isFileName(f.Name):
		r.Add("", f.Name, fileNameExpected)
	case len(f.Content) > MaxFileBytes:
		r.Add("", fmt.Sprintf("%d bytes", len(f.Content)), fmt.Sprintf("at most %d bytes", MaxFileBytes))
	default:
		p.effect = parseKind(r, f.Content)
	}
	p.problems = r.Problems
	return p
}

// parseKind reads the intent according to its kind.
func parseKind(r *strict.Report, content []byte) effect {
	kind := kindOf(content)
	switch kind {
	case kindService:
		return parseService(r, content)
	case kindDataCentreOut:
		return parseDataCentreOut(r, content)
	case kindSpare:
		return parseSpare(r, content)
	case kindMeasuringBudget:
		return parseMeasuringBudget(r, content)
	}
	var object struct{ Kind any }
	if json.Unmarshal(content, &object) != nil {
		r.Decode(content, &struct{ Kind string }{})
		return nil
	}
	r.Add("Kind", kind, kindExpected)
	return nil
}

// checkSpares refuses spares of services that the folder does not have.
func (m *merger) checkSpares() {
	for n := range m.config.Spares {
		if _, ok := m.config.Services[n.Service]; ok {
			continue
		}
		m.problems = append(m.problems, Problem{
			File:     m.spareFiles[n],
			Field:    "Service",
			Value:    n.Service,
			Expected: "a service that a file of the folder states",
		})
	}
}

// sortProblems sorts by file and keeps the order within a file.
func sortProblems(problems []Problem) {
	slices.SortStableFunc(problems, func(a, b Problem) int { return strings.Compare(a.File, b.File) })
}

// kindOf returns the kind that content gives, or what stands in its place.
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
