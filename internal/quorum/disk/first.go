package disk

import (
	"crypto/rand"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

const (
	// firstName is the name of the file with the instances of the first start, and firstTempName
	// its name while it is written.
	firstName     = "first"
	firstTempName = "first.tmp"
)

// firstStart is the content of the file with the instances of the first start.
type firstStart struct {
	Instances []string
}

// begin gives an empty folder an identity. What is known of the first start is kept before that.
func (f *Folder) begin() (Saved, error) {
	s := Saved{Identity: rand.Text()}
	if len(f.FirstStart) > 0 {
		if err := f.writeFirstStart(); err != nil {
			return Saved{}, err
		}
	}
	var err error
	if s.FirstStart, err = f.readFirstStart(); err != nil {
		return Saved{}, err
	}
	f.identity = s.Identity
	return s, f.rewrite(s.Hard, s.Snapshot, nil)
}

// writeFirstStart keeps the instances of the first start. The file is complete or not there,
// whenever the process ends.
func (f *Folder) writeFirstStart() error {
	b, err := json.Marshal(firstStart{Instances: f.FirstStart})
	if err != nil {
		return errors.Wrap(err, "encode first start")
	}
	path := filepath.Join(f.Path, firstTempName)
	file, err := f.create(path)
	if err != nil {
		return errors.Wrap(err, "create file of the first start")
	}
	defer file.Close()
	if err := writeSync(file, b); err != nil {
		return err
	}
	if err := os.Rename(path, filepath.Join(f.Path, firstName)); err != nil {
		return errors.Wrap(err, "rename file of the first start")
	}
	return syncFolder(f.Path)
}

// readFirstStart returns the instances of the first start, or none if the folder wasn't there.
func (f *Folder) readFirstStart() ([]string, error) {
	path := filepath.Join(f.Path, firstName)
	b, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read first start")
	}
	var first firstStart
	if err := json.Unmarshal(b, &first); err != nil {
		return nil, errors.Wrap(err, path)
	}
	return first.Instances, nil
}
