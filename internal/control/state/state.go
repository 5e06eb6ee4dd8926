package state

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
)

// State implements snipefront.StateMachine. Its zero value is empty and ready to use.
// Reads are safe for concurrent use.
type State struct {
	mu     sync.RWMutex
	data   snapshot
	claims claimTable
}

// snapshot is the whole state in its stored form.
type snapshot struct {
	Revision uint64
	Files    map[string]storedFile
	History  []Change
	Epoch    snipefront.Epoch
	// Clock is the clock that claims expire by, in milliseconds.
	Clock int64
	// Claims is set in a stored snapshot only; in memory, State.claims holds the
	// claims.
	Claims claimSnapshot
}

// failure is the result of a command that cannot be decoded or has no pointer
// set.
type failure struct {
	Failure string
}

// Apply applies one encoded Command and returns its encoded result.
func (s *State) Apply(_ uint64, command []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data.init()
	s.claims.init()
	var c Command
	if err := json.Unmarshal(command, &c); err != nil {
		return encode(failure{Failure: err.Error()})
	}
	switch {
	case c.Config != nil:
		return encode(s.applyConfig(c.Config, c.UnixMillis))
	case c.Epoch != nil:
		return encode(s.applyEpoch(c.Epoch))
	case c.Claim != nil:
		return encode(s.applyClaim(c.Claim))
	case c.Settle != nil:
		return encode(s.applySettle(c.Settle))
	case c.Advance != nil:
		return encode(s.applyAdvance(c.Advance))
	default:
		return encode(failure{Failure: "command without a kind"})
	}
}

// Snapshot returns the whole state as JSON.
func (s *State) Snapshot() ([]byte, error) {
	return s.Capture()()
}

// Capture returns a function that encodes the state as of the call to Capture.
// The function may run concurrently with later changes of the state.
func (s *State) Capture() func() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	d := s.data
	d.Files = maps.Clone(d.Files)
	d.History = slices.Clone(d.History)
	claims := s.claims.capture()
	return func() ([]byte, error) {
		var err error
		if d.Claims, err = claims.encode(); err != nil {
			return nil, err
		}
		b, err := json.Marshal(d)
		return b, errors.Wrap(err, "encode state")
	}
}

// Restore replaces the whole state by the snapshot b. On an error the state is
// unchanged.
func (s *State) Restore(b []byte) error {
	var d snapshot
	if err := json.Unmarshal(b, &d); err != nil {
		return errors.Wrap(err, "decode state")
	}
	claims, err := restoreClaims(d.Claims)
	if err != nil {
		return err
	}
	d.init()
	d.Claims = claimSnapshot{}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data = d
	s.claims = claims
	return nil
}

func (d *snapshot) init() {
	if d.Files == nil {
		d.Files = map[string]storedFile{}
	}
}

// encode returns the JSON of a result. The types of results cannot fail to
// encode.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		return []byte(`{"Failure":"result cannot be encoded"}`)
	}
	return b
}
