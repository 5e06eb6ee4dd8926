// Package state implements the replicated state of the control quorum: the
// accepted configuration with its history, the membership epoch and the claims of
// requests that must run at most once.
//
// A State is the state machine of a snipefront.Log. Each change is a Command with
// exactly one pointer set. Applying a command again does not repeat its change, so a
// proposer that received no result proposes the same command once more. The state
// never reads the time: claims expire by a clock that is part of the state, which
// the leader advances in measured steps.
package state

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Command is one change of the state. Exactly one pointer is set.
type Command struct {
	// UnixMillis is the wall clock of the proposer. The history shows it to
	// operators; nothing depends on it.
	UnixMillis int64         `json:",omitempty"`
	Config     *ConfigChange `json:",omitempty"`
	Epoch      *EpochChange  `json:",omitempty"`
	Claim      *Claim        `json:",omitempty"`
	Settle     *Settle       `json:",omitempty"`
	Advance    *Advance      `json:",omitempty"`
}

// Encode returns c as JSON, the form in which a Log carries it.
func (c Command) Encode() ([]byte, error) {
	b, err := json.Marshal(c)
	return b, errors.Wrap(err, "encode command")
}

// Decode decodes the result of an applied command into result.
func Decode(b []byte, result any) error {
	return errors.Wrap(json.Unmarshal(b, result), "decode result")
}

// File is one file of the operators' configuration folder.
type File struct {
	Name    string
	Content json.RawMessage
}

// ConfigChange replaces the operators' configuration folder. It carries only the
// differences from the folder at Version, so that its size does not grow with the
// folder.
type ConfigChange struct {
	// ChangeID identifies the change in all its resends.
	ChangeID string
	// Version is the revision that the change is based on.
	Version uint64
	// Digest is a hash of the whole folder after the change.
	Digest string
	// Written holds the new and the modified files. Names are unique.
	Written []File
	// Removed names the deleted files.
	Removed []string
}

// ConfigResult is the result of a ConfigChange.
type ConfigResult struct {
	// Revision is the revision of the change if it was accepted, else the current
	// revision.
	Revision uint64
	// Repeated is true if an earlier proposal of the same change was accepted.
	Repeated bool
	// Conflict is true if Version was not the current revision.
	Conflict bool
	// Winner is the ChangeID of the current revision if Conflict is true.
	Winner string
}
