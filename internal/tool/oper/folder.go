package oper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/snipefront/snipefront/internal/config/client"
	"github.com/snipefront/snipefront/internal/config/intent"
	"github.com/snipefront/snipefront/internal/config/strict"
)

func check(_ context.Context, t *terminal, args []string) error {
	f := newFlags(t, "check", "DIR", "check intents/")
	if err := f.parse(args, 1); err != nil {
		return err
	}
	files, err := loadFolder(f.Arg(0))
	if err != nil {
		return err
	}
	fmt.Fprintf(t.Output, "%d files without a problem\n", len(files))
	return nil
}

func diff(ctx context.Context, t *terminal, args []string) error {
	f := newFlags(t, "diff", "DIR", "diff -addr 10.1.0.4:8082 intents/")
	r := f.addRemoteFlags()
	if err := f.parse(args, 1); err != nil {
		return err
	}
	files, err := loadFolder(f.Arg(0))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, r.wait)
	defer cancel()
	accepted, err := r.client().Config(ctx)
	if err != nil {
		return err
	}
	changes := intent.Diff(fromWire(accepted.Files), files)
	fmt.Fprintf(t.Output, "%d files differ from revision %d\n", len(changes), accepted.Revision)
	for _, c := range changes {
		printChange(t, c)
	}
	return nil
}

// printChange prints a file that is added (+), removed (-) or changed (~).
func printChange(t *terminal, c intent.Change) {
	switch {
	case c.Old == "":
		fmt.Fprintf(t.Output, "+ %s %s\n", c.Name, c.New)
	case c.New == "":
		fmt.Fprintf(t.Output, "- %s %s\n", c.Name, c.Old)
	default:
		fmt.Fprintf(t.Output, "~ %s\n", c.Name)
		for _, f := range c.Fields {
			fmt.Fprintf(t.Output, "    %s: %s -> %s\n", f.Name, orDefault(f.Old), orDefault(f.New))
		}
	}
}

func orDefault(value string) string {
	if value == "" {
		return "(default)"
	}
	return value
}

// loadFolder reads the intents in the folder dir. If they have problems, the error lists
// all of them.
func loadFolder(dir string) ([]intent.File, error) {
	files, problems, err := intent.LoadAndCheck(dir)
	if err != nil {
		return nil, err
	}
	if len(problems) > 0 {
		return nil, errors.New(strict.Lines(problems))
	}
	return files, nil
}

// fromWire returns files of the operators' API as files of a folder.
func fromWire(files []client.File) []intent.File {
	list := make([]intent.File, len(files))
	for i, f := range files {
		list[i] = intent.File{Name: f.Name, Content: f.Content}
	}
	return list
}

// toWire returns files of a folder as files of the operators' API.
func toWire(files []intent.File) []client.File {
	list := make([]client.File, len(files))
	for i, f := range files {
		list[i] = client.File{Name: f.Name, Content: json.RawMessage(f.Content)}
	}
	return list
}
