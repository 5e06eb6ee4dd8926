package intent

import (
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/config/strict"
)

// Load reads the files of the folder dir without parsing them. It skips entries
// whose names begin with a dot (hidden files) or end in ~ (editor backups). Any
// other entry that is not a regular file with a name ending in .json is a problem.
func Load(dir string) ([]File, []Problem, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read folder of intents")
	}
	var files []File
	var problems []Problem
	for _, e := range entries {
		if strings.HasPrefix(e.Name(), ".") || strings.HasSuffix(e.Name(), "~") {
			continue
		}
		if p := checkEntry(e); p != nil {
			problems = append(problems, *p)
			continue
		}
		content, err := readFile(filepath.Join(dir, e.Name()))
		if err != nil {
			return nil, nil, errors.Wrap(err, "read intent file")
		}
		files = append(files, File{Name: e.Name(), Content: content})
	}
	return files, problems, nil
}

// LoadAndCheck reads the folder dir, merges its files to check them, and returns
// the files and the problems of both steps, sorted by file name.
func LoadAndCheck(dir string) ([]File, []Problem, error) {
	files, problems, err := Load(dir)
	if err != nil {
		return nil, nil, err
	}
	_, merged := Merge(files)
	problems = append(problems, merged...)
	sortProblems(problems)
	return files, problems, nil
}

func checkEntry(e fs.DirEntry) *Problem {
	d := strict.Decoder{File: e.Name()}
	if !e.Type().IsRegular() {
		d.Add("", entryKind(e.Type()), "a regular file")
	}
	if !isFileName(e.Name()) {
		d.Add("", e.Name(), fileNameExpected)
	}
	if len(d.Problems) == 0 {
		return nil
	}
	return &d.Problems[0]
}

func entryKind(m fs.FileMode) string {
	switch {
	case m.IsDir():
		return "folder"
	case m&fs.ModeSymlink != 0:
		return "symbolic link"
	default:
		return fmt.Sprintf("file of mode %v", m)
	}
}

// readFile returns the content of the file at path, truncated one byte after
// MaxFileBytes, so that Merge still rejects a file that is too long.
func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, MaxFileBytes+1))
}
