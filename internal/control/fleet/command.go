package fleet

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/request/poison"
)

// Command is one change of the state, or a Read. Exactly one field is set.
type Command struct {
	// Configure replaces the configuration if its version is higher.
	Configure *Document `json:",omitempty"`
	// Register adds a backend server or replaces its registration.
	Register *Server `json:",omitempty"`
	// Deregister removes a backend server.
	Deregister *Server `json:",omitempty"`
	// Join adds an instance or replaces its registration.
	Join *Instance `json:",omitempty"`
	// Part removes an instance.
	Part *Instance `json:",omitempty"`
	// Serve takes a data centre out of service or returns it to service.
	Serve *Serve `json:",omitempty"`
	// Suspect records a request that was in flight on a crashed backend server.
	Suspect *Suspect `json:",omitempty"`
	// Suspects records several of them.
	Suspects []Suspect `json:",omitempty"`
	// Limit records the rate limit that a backend server names.
	Limit *Limit `json:",omitempty"`
	// Cold records that a backend server is warming up again.
	Cold *Cold `json:",omitempty"`
	// Draining records that a backend server drains, as it says in its answers.
	Draining *Draining `json:",omitempty"`
	// Begin orders a rollout.
	Begin *Begin `json:",omitempty"`
	// Step changes a running rollout.
	Step *Step `json:",omitempty"`
	// Counts are for the leader and change nothing.
	Counts []Counts `json:",omitempty"`
	// Read changes nothing. Its Result reflects every command committed before it.
	Read bool `json:",omitempty"`
	// ReadRollout names a service and changes nothing. Its Result has the rollout of the
	// service, if there is one, and reflects every command committed before it.
	ReadRollout string `json:",omitempty"`
}

// Serve takes a data centre out of service, or returns it if Out is false.
type Serve struct {
	DataCentre string
	Out        bool
	// Basis is the index of the last such change that was known before the caller of the
	// order was last known to wait. A later one makes the command stale, and it changes
	// nothing. It is nil in commands of earlier builds, which are never stale.
	Basis *uint64 `json:",omitempty"`
}

// Draining says that an incarnation of a backend server drains.
type Draining struct {
	Server      string
	Incarnation uint64
	// Heartbeat is true if a heartbeat said so, and false for an answer.
	Heartbeat bool `json:",omitempty"`
}

// Takeover lets a Register replace registrations that outrank it, since its backend server
// goes on sending heartbeats and they don't. Neither the deregistration of a later incarnation
// nor earlier heartbeats that said draining hold against it.
type Takeover struct {
	// Replaces holds the registrations that outrank it. One that has changed meanwhile is
	// not replaced.
	Replaces []Rank `json:",omitempty"`
}

// Rank identifies one state of a registration.
type Rank struct {
	Server      string
	Incarnation uint64
	Sequence    uint64
}

// Result is the result of applying a Command.
type Result struct {
	// Changed is true if the command changed the state.
	Changed bool `json:",omitempty"`
	// Newer is the index of the change that made a Serve or a Begin stale. It is zero unless it
	// is stale.
	Newer uint64 `json:",omitempty"`
	// Document is the configuration in force. It is set for a Read only.
	Document *Document `json:",omitempty"`
	// Rollout is the last rollout of the service of a Begin or a ReadRollout. It is nil if there
	// is none, or if the Begin is stale. Conflict is true if the rollout of another version is
	// running, so that the Begin changes nothing.
	Rollout  *Rollout `json:",omitempty"`
	Conflict bool     `json:",omitempty"`
	// Failure is the error message if the command has no field set or can't be
	// decoded.
	Failure string `json:",omitempty"`
}

// Server is a registered backend server.
type Server struct {
	snipefront.BackendServer
	// Version is the version of the software that the backend server runs.
	Version string `json:",omitempty"`
	// Sequence increases with each heartbeat of one incarnation.
	Sequence uint64
	// ColdMillis is the remaining warm-up, in milliseconds, when this registration
	// was sent. It is zero for a backend server that is warm.
	ColdMillis int64 `json:",omitempty"`
	// DrainingFinal is true if the backend server has said in an answer that it drains. No
	// heartbeat of the incarnation ends that. It is in no Register.
	DrainingFinal bool `json:",omitempty"`
	// Keeper names the control instance that receives its heartbeats.
	Keeper string
	// Takeover may be set in a Register. It is never part of the state.
	Takeover *Takeover `json:",omitempty"`
	// Expired is true in a Deregister if heartbeats are missing, and false if the
	// backend server deregistered itself.
	Expired bool `json:",omitempty"`
	// Limit is the rate limit that the backend server names, as an instance shared it, and
	// LimitSource the kind of answer that said so. They come with no registration.
	Limit       snipefront.RateLimit `json:",omitzero"`
	LimitSource string               `json:",omitempty"`
	// LimitIndex is the index of the log entry that last changed Limit.
	LimitIndex uint64 `json:",omitempty"`
	// Index is the index of the log entry that last changed the registration.
	Index uint64
}

// Instance is a registered instance.
type Instance struct {
	snipefront.Instance
	Region string
	// Control is true if the instance is a member of the control quorum.
	Control bool `json:",omitempty"`
	// Ready is true if the instance accepts requests of callers.
	Ready bool `json:",omitempty"`
	// Keeper names the control instance that the instance watches.
	Keeper string
	// Sequence increases with each change of Ready and of the control instance
	// watched, so that a registration that arrives late is recognized and ignored.
	Sequence uint64 `json:",omitempty"`
	// Index is the index of the log entry that last changed the registration.
	Index uint64
}

// Suspect is a request that was in flight on backend servers when they crashed.
type Suspect struct {
	Fingerprint uint64
	// Crashed holds the incarnations of backend servers that crashed, each once.
	Crashed []poison.Server `json:"Fallen"`
	// Released is true in a command that ends the suspicion, since the request was answered.
	Released bool `json:",omitempty"`
	// Trials counts the trial runs that were granted since the suspicion began. A command
	// that sets it asks for the next one: it is granted if it changes the state.
	Trials int `json:",omitempty"`
	// Answered holds the software that has answered the request since the suspicion began. In
	// a command, only crashes of that end.
	Answered []Answered `json:",omitempty"`
	// ReleasedIndex is the index of the log entry that last ended the suspicion. Crashed
	// holds later crashes only.
	ReleasedIndex uint64 `json:",omitempty"`
	// Index is the index of the log entry that last changed the suspect.
	Index uint64
}

// Answered is software that has answered a suspect.
type Answered struct {
	poison.Software
	// Index is the index of the log entry that last said so.
	Index uint64 `json:",omitempty"`
}

// Encode returns c in the encoding of the log, which is JSON.
func (c Command) Encode() ([]byte, error) {
	b, err := json.Marshal(c)
	return b, errors.Wrap(err, "encode command")
}

// Kind returns the name of the kind of change, for metrics and logs.
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
	case c.Suspect != nil, len(c.Suspects) > 0:
		return "suspect"
	case c.Limit != nil:
		return "limit"
	case c.Cold != nil:
		return "cold"
	case c.Draining != nil:
		return "draining"
	case c.Begin != nil:
		return "begin"
	case c.Step != nil:
		return "step"
	}
	return "read"
}

func (s *State) apply(index uint64, c Command) Result {
	changed := false
	switch {
	case c.Read:
		d := s.data.Document
		return Result{Document: &d}
	case c.ReadRollout != "":
		r, ok := s.data.Rollouts[c.ReadRollout]
		if !ok {
			return Result{}
		}
		return Result{Rollout: &r}
	case c.Begin != nil:
		r := s.begin(index, *c.Begin)
		s.finishChange(index, r.Changed)
		return r
	case c.Step != nil:
		changed = s.step(index, *c.Step)
	case len(c.Counts) > 0:
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
		if s.isStale(*c.Serve) {
			return Result{Newer: s.data.OutIndex}
		}
		changed = s.serve(index, *c.Serve)
	case c.Suspect != nil:
		changed = s.suspect(index, *c.Suspect)
	case len(c.Suspects) > 0:
		for _, v := range c.Suspects {
			changed = s.suspect(index, v) || changed
		}
	case c.Limit != nil:
		changed = s.limit(index, *c.Limit)
	case c.Cold != nil:
		changed = s.cold(index, *c.Cold)
	case c.Draining != nil:
		changed = s.drain(index, *c.Draining)
	default:
		return Result{Failure: "empty command"}
	}
	s.finishChange(index, changed)
	return Result{Changed: changed}
}

// finishChange records that the command at index has changed the state, if it has.
func (s *State) finishChange(index uint64, changed bool) {
	if changed {
		s.data.Index = index
		s.notify()
	}
}

// configure records d if its version is higher than that of the current document. It
// reports whether it did.
func (s *State) configure(index uint64, d Document) bool {
	if d.Version <= s.data.Document.Version {
		return false
	}
	d.Index = index
	s.data.Document = d
	return true
}

// isStale reports whether c would change the state and its basis isn't the last change.
func (s *State) isStale(c Serve) bool {
	return c.Basis != nil && *c.Basis < s.data.OutIndex && s.data.Out[c.DataCentre] != c.Out
}

// serve takes a data centre out of service or returns it. It reports whether this
// changed the state.
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

// DecodeResult decodes the result of an applied command. It returns a Failure as an
// error.
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
