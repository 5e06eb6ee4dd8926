package fleet

import (
	"slices"
	"strings"
	"time"
)

// maxBanned is the number of versions of a service that are remembered as rolled back or
// replaced.
const maxBanned = 32

// RolloutState is the state of a rollout.
type RolloutState string

// States of a rollout.
const (
	// RolloutRunning means that the version gets the share of the requests.
	RolloutRunning RolloutState = "running"
	// RolloutFinishing means that the version gets all requests. The rollout is completed once
	// no instance sends requests to the earlier versions.
	RolloutFinishing RolloutState = "finishing"
	// RolloutWithdrawing means that the version gets no requests. The rollout is rolled back
	// once no instance sends requests to it.
	RolloutWithdrawing RolloutState = "withdrawing"
	RolloutCompleted   RolloutState = "completed"
	RolloutRolledBack  RolloutState = "rolledBack"
)

// HasEnded reports whether the state is final.
func (s RolloutState) HasEnded() bool { return s == RolloutCompleted || s == RolloutRolledBack }

// Rollout moves the requests of a service to the backend servers of another version. There is
// one for each service: the last that was ordered. Service, Version and DurationMillis identify
// the order.
type Rollout struct {
	Service, Version string
	// DurationMillis is the time from the order to its deadline, in milliseconds.
	DurationMillis int64
	State          RolloutState
	// Order is the index of the log entry that began the rollout.
	Order uint64
	// Number is the number of the last step. It is zero when the rollout begins.
	Number uint64
	// StateNumber is the number of the step that led to State.
	StateNumber uint64 `json:",omitempty"`
	// Share is the part of the requests that the version gets, 0 to 1.
	Share float64
	// LeftMillis is the time until the deadline when the last step was proposed, in
	// milliseconds by the clock of the instance that led. It may be negative.
	LeftMillis int64
	// Totals are the counts that decided the last step.
	Totals Totals `json:",omitzero"`
	// Old holds the versions that the requests move away from, sorted. If it is empty, these
	// are all but Version and Banned.
	Old []string `json:",omitempty"`
	// Banned holds the versions that earlier rollouts have replaced or that were rolled back,
	// the last maxBanned.
	Banned []string `json:",omitempty"`
	// Index is the index of the log entry that last changed the rollout.
	Index uint64
}

// Totals are counts over all instances since the rollout began.
type Totals struct {
	// Requests counts the requests of the service, Sent those sent to the version.
	Requests, Sent int64
	// Answered and Bad count the answers of the version, and those that were bad.
	Answered, Bad int64
}

// Begin orders a rollout.
type Begin struct {
	Service, Version string
	DurationMillis   int64
	// Basis is the index of the last order for the service that was known before the caller
	// was last known to wait. If there is a later one, the command is stale and changes nothing.
	Basis uint64
}

// Step changes a running rollout.
type Step struct {
	Service string
	// Order identifies the rollout, and Basis is the number of its last step. The command
	// changes nothing if there is another one.
	Order, Basis uint64
	State        RolloutState
	Share        float64
	LeftMillis   int64
	Totals       Totals
}

// Left returns the time until the deadline when the last step was proposed.
func (r Rollout) Left() time.Duration { return time.Duration(r.LeftMillis) * time.Millisecond }

// Duration returns the time from the order to its deadline.
func (r Rollout) Duration() time.Duration {
	return time.Duration(r.DurationMillis) * time.Millisecond
}

// IsOld reports whether the requests move away from the version.
func (r Rollout) IsOld(version string) bool {
	if version == r.Version {
		return false
	}
	if len(r.Old) > 0 {
		return slices.Contains(r.Old, version)
	}
	return !slices.Contains(r.Banned, version)
}

// Allows reports whether backend servers of the version may receive requests.
func (r Rollout) Allows(version string) bool {
	switch r.State {
	case RolloutCompleted:
		return version == r.Version
	case RolloutRolledBack, RolloutWithdrawing:
		return r.IsOld(version)
	}
	return version == r.Version || r.IsOld(version)
}

// begin starts a rollout, or returns the one that c has already started: a repeated order has the
// service, version and duration of the last one. It depends on the state alone, so that all
// instances decide alike.
func (s *State) begin(index uint64, c Begin) Result {
	last, known := s.data.Rollouts[c.Service]
	running := known && !last.State.HasEnded()
	same := known && last.Version == c.Version && (last.DurationMillis == c.DurationMillis || running || last.State == RolloutCompleted)
	switch {
	case same:
		return Result{Rollout: &last}
	case running:
		return Result{Rollout: &last, Conflict: true}
	case known && c.Basis < last.Order:
		return Result{Newer: last.Order}
	}
	r := Rollout{
		Service: c.Service, Version: c.Version, DurationMillis: c.DurationMillis, LeftMillis: c.DurationMillis,
		State: RolloutRunning, Order: index, Index: index,
	}
	r.Old, r.Banned = s.earlierVersions(c, last)
	if s.data.Rollouts == nil {
		s.data.Rollouts = map[string]Rollout{}
	}
	s.data.Rollouts[c.Service] = r
	return Result{Changed: true, Rollout: &r}
}

// earlierVersions returns the versions that requests move away from in a rollout that c starts
// after last, and those that may not receive any.
func (s *State) earlierVersions(c Begin, last Rollout) (old, banned []string) {
	banned = slices.Clone(last.Banned)
	switch last.State {
	case RolloutCompleted:
		old, banned = []string{last.Version}, append(banned, last.Old...)
	case RolloutRolledBack:
		old, banned = last.Old, append(banned, last.Version)
	default:
		old = s.versions(c.Service)
	}
	isNew := func(v string) bool { return v == c.Version }
	old = slices.DeleteFunc(slices.Clone(old), isNew)
	banned = slices.DeleteFunc(banned, func(v string) bool { return isNew(v) || slices.Contains(old, v) })
	return old, banned[max(0, len(banned)-maxBanned):]
}

// versions returns the versions of the registered backend servers of a service, sorted.
func (s *State) versions(service string) []string {
	var list []string
	for _, n := range s.data.Servers {
		if n.Service == service {
			list = append(list, n.Version)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// step changes a running rollout. It reports whether it did.
func (s *State) step(index uint64, c Step) bool {
	r, ok := s.data.Rollouts[c.Service]
	if !ok || r.Order != c.Order || r.Number != c.Basis || r.State.HasEnded() {
		return false
	}
	r.Number++
	if c.State != r.State {
		r.StateNumber = r.Number
	}
	r.State, r.Share, r.LeftMillis, r.Totals, r.Index = c.State, c.Share, c.LeftMillis, c.Totals, index
	s.data.Rollouts[c.Service] = r
	return true
}

// Rollout returns the last rollout of a service and reports whether there is one.
func (s *State) Rollout(service string) (Rollout, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	r, ok := s.data.Rollouts[service]
	return r, ok
}

// RunningRollouts returns the rollouts that have not ended, in the order of their services.
func (s *State) RunningRollouts() []Rollout {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var list []Rollout
	for _, r := range s.data.Rollouts {
		if !r.State.HasEnded() {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b Rollout) int { return strings.Compare(a.Service, b.Service) })
	return list
}
