// Package fleet holds the replicated state of a fleet whose instances and backend
// servers all register at run time: the routing configuration as the operator sent
// it, the registered backend servers and instances, the data centres out of service
// and the requests suspected of crashing backend servers.
//
// A snipefront.Log applies commands to a State. Each change has the index of its log
// entry, so that a reader that has the state at one index gets only what changed
// after it (DeltaSince). Commands are idempotent, so a proposer that lost an answer
// proposes the same command again. The state never reads a clock.
package fleet

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

// maxRemovals is the number of removals that are kept for DeltaSince. A reader that
// lacks an older one gets the whole state.
const maxRemovals = 1024

// State implements snipefront.StateMachine. Its zero value is empty and ready to use.
// All methods are safe for concurrent use.
type State struct {
	mu   sync.RWMutex
	data data
	// urgent is the index of the last log entry that quarantined a request, or zero if
	// none has since the last Restore.
	urgent uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// data is the whole state as it is stored.
type data struct {
	// Index is the index of the last log entry that changed the state.
	Index     uint64
	Document  Document
	Servers   map[string]Server
	Instances map[string]Instance
	// Out holds the data centres out of service.
	Out map[string]bool
	// OutIndex is the index of the last change of Out.
	OutIndex uint64
	// Removals holds the last maxRemovals removals, oldest first.
	Removals []Removal
	// Forgotten is the index of the last removal that is no longer in Removals.
	Forgotten uint64
	// Suspects holds at most maxSuspects suspects, in the order in which they came.
	Suspects []Suspect
	// Rollouts holds the last rollout of each service that ever had one.
	Rollouts map[string]Rollout `json:",omitempty"`
}

// Removal is the removal of a backend server or an instance.
type Removal struct {
	Index uint64
	// Server and Instance are names. One of them is empty.
	Server   string `json:",omitempty"`
	Instance string `json:",omitempty"`
	// Incarnation is set if a backend server deregistered itself: neither this
	// incarnation nor an earlier one can register again. It is zero for an instance,
	// and for a backend server that may register again, since it was removed for
	// missing heartbeats or because another one registered with its address.
	Incarnation uint64 `json:",omitempty"`
	// Drained is the incarnation of a backend server that drained when it was removed.
	Drained uint64 `json:",omitempty"`
	// DrainedFinal is true if it has said so in an answer.
	DrainedFinal bool `json:",omitempty"`
}

// Document is a configuration as the operator sent it.
type Document struct {
	// Version is set by the operator. The highest is in force.
	Version uint64
	// Source is the text, compressed with DEFLATE.
	Source []byte
	// Index is the index of the log entry that set the configuration, or zero if there
	// is no configuration yet.
	Index uint64
}

// Apply applies one encoded Command and returns its encoded Result.
func (s *State) Apply(index uint64, command []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	var c Command
	r := Result{}
	if err := json.Unmarshal(command, &c); err != nil {
		r.Failure = "unreadable command: " + err.Error()
	} else {
		r = s.apply(index, c)
	}
	b, err := json.Marshal(r)
	if err != nil {
		// This can't happen: every type in a Result can be encoded.
		panic(err)
	}
	return b
}

// Snapshot returns the whole state, encoded for Restore.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	b, err := json.Marshal(s.data)
	return b, errors.Wrap(err, "encode fleet")
}

// Restore replaces the whole state by the state in snapshot. On an error the state is
// unchanged.
func (s *State) Restore(snapshot []byte) error {
	var d data
	if err := json.Unmarshal(snapshot, &d); err != nil {
		return errors.Wrap(err, "decode fleet")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data, s.urgent = d, 0
	s.init()
	s.notify()
	return nil
}

// Changed returns a channel that is closed at the next change.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	return s.changed
}

// Index returns the index of the log entry that last changed the state.
func (s *State) Index() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.data.Index
}

// OutIndex returns the index of the log entry that last took a data centre out of service or
// returned it.
func (s *State) OutIndex() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.data.OutIndex
}

// UrgentIndex returns the index of the last log entry that quarantined a request: readers
// that have not applied it may send the request on to another backend server. It is zero
// if there is none, or none since the state was restored.
func (s *State) UrgentIndex() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.urgent
}

// Document returns the configuration in force.
func (s *State) Document() Document {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.data.Document
}

// Server returns the named backend server and reports whether it is registered.
func (s *State) Server(name string) (Server, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.data.Servers[name]
	return v, ok
}

// ServersAt returns the backend servers that are registered with the address.
func (s *State) ServersAt(address string) []Server {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var list []Server
	for _, n := range s.data.Servers {
		if n.Address == address {
			list = append(list, n)
		}
	}
	return list
}

// Instance returns the named instance and reports whether it is registered.
func (s *State) Instance(name string) (Instance, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.data.Instances[name]
	return v, ok
}

// Instances returns all instances, in no particular order.
func (s *State) Instances() []Instance {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Collect(maps.Values(s.data.Instances))
}

func (s *State) init() {
	if s.data.Servers == nil {
		s.data.Servers = map[string]Server{}
	}
	if s.data.Instances == nil {
		s.data.Instances = map[string]Instance{}
	}
	if s.data.Out == nil {
		s.data.Out = map[string]bool{}
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
}

func (s *State) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
