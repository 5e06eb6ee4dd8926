package poison

import (
	"fmt"
	"log/slog"
	"time"
)

// Event is a change of what an instance knows of suspects. Its value is a label of
// metrics.
type Event string

// The events.
const (
	// EventCrash is a crash that this instance saw with a request in flight.
	EventCrash Event = "crash"
	// EventLearned is such a crash that another instance saw.
	EventLearned Event = "learned"
	// EventDismissed is a crash that does not count, since the request was answered just
	// before.
	EventDismissed Event = "dismissed"
	// EventQuarantined is the begin of a quarantine.
	EventQuarantined Event = "quarantined"
	// EventReleased is the end of a suspicion or a quarantine before its time.
	EventReleased Event = "released"
	// EventProven is an answer of one software to a request that other software crashed
	// with.
	EventProven Event = "proven"
	// EventExpired is the end of a suspicion or a quarantine by its time.
	EventExpired Event = "expired"
	// EventEvicted is a suspect that was dropped for lack of space.
	EventEvicted Event = "evicted"
	// EventUntied is a crash of a backend server on which no request of this instance was in
	// flight.
	EventUntied Event = "untied"
)

// Answer describes an answer to a request, for the log.
type Answer struct {
	Server Server
	// Status is the HTTP status.
	Status int
	// Signed is true if the answer has the signature of a backend server.
	Signed bool
}

// String implements fmt.Stringer.
func (a Answer) String() string {
	return fmt.Sprintf("answered by %s/%d status=%d signed=%v", a.Server.Name, a.Server.Incarnation, a.Status, a.Signed)
}

// Counter counts events.
type Counter interface {
	Suspect(e Event)
}

// Evidence is what an instance knows of a suspect.
type Evidence struct {
	// Crashed holds the backend servers that crashed with the request in flight.
	Crashed []Server
	// Age is the time since this instance learned of the last crash.
	Age time.Duration
	// Left is the time until the suspicion expires.
	Left time.Duration
	// Proven holds the software on which the request may run, since it has answered it.
	Proven []Software
	// Trials counts the trial runs that were granted.
	Trials int
}

// LogValue implements slog.LogValuer.
func (e Evidence) LogValue() slog.Value {
	text := fmt.Sprintf("crashes=%d trials=%d age=%v left=%v", len(e.Crashed), e.Trials, e.Age.Round(time.Millisecond), e.Left.Round(time.Millisecond))
	for _, s := range e.Crashed {
		text += fmt.Sprintf(" %s/%d", s.Name, s.Incarnation)
	}
	for _, s := range e.Proven {
		text += fmt.Sprintf(" proven=%s/%s", s.Service, s.Version)
	}
	return slog.StringValue(text)
}

// Evidence returns what is known of the request f, and false if it is no suspect.
func (g *Register) Evidence(now time.Time, f uint64) (Evidence, bool) {
	if g == nil || !g.active.Load() {
		return Evidence{}, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.suspects[f]
	if e == nil || !now.Before(e.expires) {
		return Evidence{}, false
	}
	return e.evidence(now), true
}

// evidence returns what is known of the suspect.
func (e *suspect) evidence(now time.Time) Evidence {
	return Evidence{Crashed: append([]Server(nil), e.crashed...), Age: now.Sub(e.lastCrash), Left: e.expires.Sub(now), Proven: e.proven, Trials: e.trials.granted}
}

// report counts and logs an event of the suspect f. The lock is held.
func (g *Register) report(now time.Time, event Event, why string, f uint64, e *suspect) {
	if g.Counter != nil {
		g.Counter.Suspect(event)
	}
	if g.Logger != nil {
		g.Logger.Info("suspect "+string(event), "fingerprint", f, "why", why, "evidence", e.evidence(now))
	}
}

// reportUntied reports that s crashed with no request of this instance in flight.
func (g *Register) reportUntied(s Server) {
	if g.Counter != nil {
		g.Counter.Suspect(EventUntied)
	}
	if g.Logger != nil {
		g.Logger.Info("crash untied", "server", s.Name, "service", s.Service, "incarnation", s.Incarnation)
	}
}

// reportCrash reports that s crashed with the suspect f in flight and, if that begins a
// quarantine, reports this, too. The lock is held.
func (g *Register) reportCrash(now time.Time, event Event, f uint64, e *suspect, s Server) {
	g.report(now, event, s.Name, f, e)
	if len(e.crashed) == CrashLimit {
		g.report(now, EventQuarantined, "second crash", f, e)
	}
}
