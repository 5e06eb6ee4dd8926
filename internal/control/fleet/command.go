package fleet

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/request/poison"
)

// Command is one change of the state, or a Read. Exactly one field is set.
type Command struct {
	// Configure replaces the configuration where its version is higher.
	Configure *Document `json:",omitempty"`
	// Register adds a backend server or renews what it says of itself.
	Register *Server `json:",omitempty"`
	// Deregister takes a backend server out.
	Deregister *Server `json:",omitempty"`
	// Join adds an instance or renews what it says of itself.
	Join *Instance `json:",omitempty"`
	// Part takes an instance out.
	Part *Instance `json:",omitempty"`
	// Serve takes a data centre out of service or back.
	Serve *Serve `json:",omitempty"`
	// Suspect notes a request under which a backend server fell.
	Suspect *Suspect `json:",omitempty"`
	// Read changes nothing. Its Result shows all that was committed before it.
	Read bool `json:",omitempty"`
}

// Serve says whether a data centre is in service.
type Serve struct {
	DataCentre string
	Out        bool
}

// Result tells what became of a Command.
type Result struct {
	// Changed is true where the command changed the state.
	Changed bool `json:",omitempty"`
	// Document is set for a Read.
	Document *Document `json:",omitempty"`
	// Failure is set where no part of the state understands the command.
	Failure string `json:",omitempty"`
}

// Server is a registered backend server.
type Server struct {
	snipefront.BackendServer
	// Version is that of its software.
	Version string `json:",omitempty"`
	// Sequence grows with each heartbeat of one incarnation.
	Sequence uint64
	// ColdMillis is how long it stayed cold when it last said so.
	ColdMillis int64 `json:",omitempty"`
	// Keeper names the control instance that hears its heartbeats.
	Keeper string
	// Expired is true where a Deregister follows from missing heartbeats.
	Expired bool `json:",omitempty"`
	Index   uint64
}

// Instance is a registered instance.
type Instance struct {
	snipefront.Instance
	Region string
	// Control is true for a member of the control quorum.
	Control bool `json:",omitempty"`
	// Ready is true where it takes requests of callers.
	Ready bool `json:",omitempty"`
	// Keeper names the control instance that it watches.
	Keeper string
	// Sequence grows with each change of Ready and of the control instance watched,
	// so that a late registration can be told.
	Sequence uint64 `json:",omitempty"`
	Index    uint64
}

// Suspect is a request under which backend servers fell.
type Suspect struct {
	Fingerprint uint64
	// Crashed holds the backend servers with their incarnations, each once.
	Crashed []poison.Server `json:"Fallen"`
	Index   uint64
}

// Encode returns c as the text that a Log carries.
func (c Command) Encode() ([]byte, error) {
	b, err := json.Marshal(c)
	return b, errors.Wrap(err, "encode command")
}

// Kind names the change, for metrics and logs.
func (c Command) Kind() string {
	switch {
	case c.Configure != nil:
		return "configure"
	case c.Register != nil:
		return "register"
	case c.Deregister != nil:
		return "deregister"
	case c.Join != nil:
		return "join"
	case c.Part != nil:
		return "part"
	case c.Serve != nil:
		return "serve"
	case c.Suspect != nil:
		return "suspect"
	}
	return "read"
}

func (s *State) apply(index uint64, c Command) Result {
	changed := false
	switch {
	case c.Read:
		d := s.data.Document
		return Result{Document: &d}
	case c.Configure != nil:
		changed = s.configure(index, *c.Configure)
	case c.Register != nil:
		changed = s.register(index, *c.Register)
	case c.Deregister != nil:
		changed = s.deregister(index, *c.Deregister)
	case c.Join != nil:
		changed = s.join(index, *c.Join)
	case c.Part != nil:
		changed = s.part(index, *c.Part)
	case c.Serve != nil:
		changed = s.serve(index, *c.Serve)
	case c.Suspect != nil:
		changed = s.suspect(index, *c.Suspect)
	default:
		return Result{Failure: "empty command"}
	}
	if changed {
		s.data.Index = index
		s.notify()
	}
	return Result{Changed: changed}
}

func (s *State) configure(index uint64, d Document) bool {
	if d.Version <= s.data.Document.Version {
		return false
	}
	d.Index = index
	s.data.Document = d
	return true
}

// register takes n in where nothing newer is known of its name or address.
func (s *State) register(index uint64, n Server) bool {
	old, ok := s.data.Servers[n.Name]
	if ok && !n.follows(old) || !ok && s.hasLeft(n) {
		return false
	}
	if ok && old.Incarnation == n.Incarnation {
		n.Draining = n.Draining || old.Draining
	}
	for name, v := range s.data.Servers {
		if name == n.Name || v.Address != n.Address {
			continue
		}
		if v.Incarnation >= n.Incarnation && n.Incarnation != 0 {
			return false
		}
		s.remove(Removal{Index: index, Server: name})
	}
	n.Index = index
	s.data.Servers[n.Name] = n
	return true
}

// follows returns whether n was sent after old by the same backend server.
func (n Server) follows(old Server) bool {
	if n.Incarnation != old.Incarnation {
		return n.Incarnation > old.Incarnation
	}
	return n.Sequence > old.Sequence
}

// deregister takes out the incarnation that n names, or any where it names none.
func (s *State) deregister(index uint64, n Server) bool {
	old, ok := s.data.Servers[n.Name]
	if !ok || n.Incarnation != 0 && n.Incarnation != old.Incarnation {
		return false
	}
	r := Removal{Index: index, Server: n.Name}
	if !n.Expired {
		r.Incarnation = old.Incarnation
	}
	s.remove(r)
	return true
}

// hasLeft returns whether the incarnation n has said that it leaves.
func (s *State) hasLeft(n Server) bool {
	return slices.ContainsFunc(s.data.Removals, func(r Removal) bool {
		return r.Server == n.Name && r.Incarnation != 0 && r.Incarnation >= n.Incarnation
	})
}

func (s *State) remove(r Removal) {
	delete(s.data.Servers, r.Server)
	s.noteRemoval(r)
}

// join takes n in where nothing newer is known of it.
func (s *State) join(index uint64, n Instance) bool {
	old, ok := s.data.Instances[n.Name]
	if ok && (n.Incarnation < old.Incarnation || n.Incarnation == old.Incarnation && n.Sequence < old.Sequence) {
		return false
	}
	n.Index = old.Index
	if ok && n == old {
		return false
	}
	n.Index = index
	s.data.Instances[n.Name] = n
	return true
}

func (s *State) part(index uint64, n Instance) bool {
	old, ok := s.data.Instances[n.Name]
	if !ok || old.Incarnation != n.Incarnation || n.Keeper != "" && n.Keeper != old.Keeper {
		return false
	}
	delete(s.data.Instances, n.Name)
	s.noteRemoval(Removal{Index: index, Instance: n.Name})
	return true
}

func (s *State) serve(index uint64, c Serve) bool {
	if s.data.Out[c.DataCentre] == c.Out {
		return false
	}
	if c.Out {
		s.data.Out[c.DataCentre] = true
	} else {
		delete(s.data.Out, c.DataCentre)
	}
	s.data.OutIndex = index
	return true
}

func (s *State) noteRemoval(r Removal) {
	s.data.Removals = append(s.data.Removals, r)
	for len(s.data.Removals) > keptRemovals {
		s.data.Forgotten = s.data.Removals[0].Index
		s.data.Removals = s.data.Removals[1:]
	}
}

// DecodeResult reads the result of an applied command. A Failure is returned as
// an error.
func DecodeResult(b []byte) (Result, error) {
	var r Result
	if err := json.Unmarshal(b, &r); err != nil {
		return Result{}, errors.Wrap(err, "decode result")
	}
	if r.Failure != "" {
		return Result{}, errors.New(r.Failure)
	}
	return r, nil
}
