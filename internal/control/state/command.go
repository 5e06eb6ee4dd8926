// Package state holds the replicated state of the control quorum: the accepted
// configuration with its history, the membership epoch and the claims of
// requests that may run only once.
//
// A State is driven by a snipefront.Log. Each change is a Command with exactly
// one field set. Applying a command again gives its first result again, so a
// proposer that lost an answer proposes the same command once more. The state
// never reads a clock: claims age by a clock of its own, which the leader moves
// in measured steps.
package state

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Command is one change of the state. Exactly one pointer is set.
type Command struct {
	// UnixMillis is the proposer's clock. It stands in the history for people and
	// decides nothing.
	UnixMillis int64         `json:",omitempty"`
	Config     *ConfigChange `json:",omitempty"`
	Epoch      *EpochChange  `json:",omitempty"`
	Claim      *Claim        `json:",omitempty"`
	Settle     *Settle       `json:",omitempty"`
	Advance    *Advance      `json:",omitempty"`
}

// Encode returns c as the text that a Log carries.
func (c Command) Encode() ([]byte, error) {
	b, err := json.Marshal(c)
	return b, errors.Wrap(err, "encode command")
}

// Decode reads the result of an applied command into result.
func Decode(b []byte, result any) error {
	return errors.Wrap(json.Unmarshal(b, result), "decode result")
}

// File is one file of the operators' folder.
type File struct {
	Name    string
	Content json.RawMessage
}

// ConfigChange replaces the operators' folder. It carries only what differs from
// the folder at Version, so that its size does not grow with the folder.
type ConfigChange struct {
	// ChangeID identifies the change over all its resends.
	ChangeID string
	// Version is the revision that the change was made against.
	Version uint64
	// Digest identifies the whole folder after the change.
	Digest string
	// Written holds the files that are new or differ. Names are unique.
	Written []File
	// Removed names the files that are gone.
	Removed []string
}

// ConfigResult tells what became of a ConfigChange.
type ConfigResult struct {
	// Revision is the change's own where accepted, else the current one.
	Revision uint64
	// Repeated is true where an earlier proposal of the same change was accepted.
	Repeated bool
	// Conflict is true where Version was not the current revision.
	Conflict bool
	// Winner is the ChangeID of the current revision where Conflict is true.
	Winner string
}
