package server

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/gorilla/mux"

	"github.com/snipefront/snipefront/internal/stand/rawtcp"
)

// Mode holds the switches of a Server. A new Mode replaces all of the old one.
// The zero value is the ordinary behaviour.
type Mode struct {
	// Shed refuses each request before running it.
	Shed bool
	// Draining refuses each request and announces that the server is draining.
	Draining bool
	// Leaving reports in all answers that the server is draining, but not in its announcements.
	Leaving bool
	// PauseMillis refuses each request, including probes, with a Retry-After of that many
	// milliseconds. Zero refuses none.
	PauseMillis int
	// Slow multiplies the service times. Zero means 1.
	Slow float64
	// Frozen leaves requests and probes unanswered and stops the announcements. When
	// it is off again, the server answers them and resumes the announcements.
	Frozen bool
	// SilentOld makes each open connection permanently half-open, except the one over
	// which this Mode arrives. It acts once; later connections work.
	SilentOld bool
	// Cold begins a cold start immediately. It acts once. Requests in flight continue
	// and do not count towards ColdBearing.
	Cold bool
	// Truncate closes the connection after half of each answer.
	Truncate bool
	// Endless is the part of each answer, those to probes included, that never ends. Empty
	// means that all answers end.
	Endless rawtcp.Endless
	// EndlessPauseMillis is the pause between the pieces of such an answer, in milliseconds.
	EndlessPauseMillis int
	// Cross answers each request with the answer to another request.
	Cross bool
	// Crash simulates a crash of the process. It acts once.
	Crash bool
}

// SetMode replaces the switches. SilentOld has no effect here: only a Mode that is
// sent over HTTP reaches the connections.
func (s *Server) SetMode(m Mode) {
	s.init()
	s.mu.Lock()
	if m.Frozen && !s.mode.Frozen {
		s.unfrozen = make(chan struct{})
	}
	if !m.Frozen && s.mode.Frozen {
		close(s.unfrozen)
	}
	drainingChanged := m.Draining != s.mode.Draining
	s.mode = m
	if m.Cold {
		s.period = s.newPeriod(time.Now())
	}
	s.mu.Unlock()
	s.Log.Info("mode changed", "name", s.Name, "shed", m.Shed, "draining", m.Draining, "leaving", m.Leaving, "pauseMillis", m.PauseMillis, "slow", m.Slow, "frozen", m.Frozen,
		"silent_old", m.SilentOld, "cold", m.Cold, "truncate", m.Truncate, "cross", m.Cross, "crash", m.Crash, "endless", m.Endless)
	if drainingChanged {
		s.announceSoon()
	}
	if m.Crash {
		s.simulateCrash()
	}
}

// SetSpeed divides the service times of later runs by speed, in addition to the
// factor Slow of the Mode. Unlike SetMode, it logs nothing, so it suits frequent
// changes. It ignores a speed that is not positive.
func (s *Server) SetSpeed(speed float64) {
	if !(speed > 0) {
		return
	}
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.speed = speed
}

func (s *Server) currentMode() Mode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode
}

// awaitUnfrozen returns when the server is not frozen or has crashed, or when done
// is closed.
func (s *Server) awaitUnfrozen(done <-chan struct{}) {
	s.mu.Lock()
	unfrozen := s.unfrozen
	s.mu.Unlock()
	select {
	case <-unfrozen:
	case <-done:
	case <-s.crashed:
	}
}

func (s *Server) routes() http.Handler {
	m := mux.NewRouter().SkipClean(true).UseEncodedPath()
	m.HandleFunc("/.stand/mode", s.serveMode).Methods(http.MethodPost)
	m.HandleFunc("/.stand/runs", s.serveRuns).Methods(http.MethodGet)
	m.HandleFunc("/.stand/keys", s.serveKeys).Methods(http.MethodGet)
	m.HandleFunc("/.stand/load", s.serveLoad).Methods(http.MethodGet)
	m.HandleFunc("/.stand/health", s.serveHealth).Methods(http.MethodGet)
	m.PathPrefix("/.stand/").Handler(http.NotFoundHandler())
	m.PathPrefix("/").HandlerFunc(s.serveRequest)
	return m
}

func (s *Server) serveMode(w http.ResponseWriter, r *http.Request) {
	var m Mode
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&m); err != nil {
		http.Error(w, "mode: "+err.Error(), http.StatusBadRequest)
		return
	}
	if m.Slow < 0 || m.EndlessPauseMillis < 0 {
		http.Error(w, "mode: Slow, EndlessPauseMillis: expected at least 0", http.StatusBadRequest)
		return
	}
	if m.Endless != "" && !slices.Contains(rawtcp.AllEndless, m.Endless) {
		http.Error(w, fmt.Sprintf("mode: Endless: expected one of %v", rawtcp.AllEndless), http.StatusBadRequest)
		return
	}
	if !m.Crash {
		s.SetMode(m)
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.WriteHeader(http.StatusNoContent)
	if err := http.NewResponseController(w).Flush(); err != nil {
		s.Log.Warn("could not send the answer to the crash request; crashing", "error", err)
	}
	s.SetMode(m)
}

func (s *Server) serveRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Report())
}

func (s *Server) serveKeys(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, struct{ Keys []KeyRuns }{s.Keys()})
}

func (s *Server) serveLoad(w http.ResponseWriter, r *http.Request) {
	s.delayProbe(r.Context())
	if s.writeEndless(w) {
		return
	}
	s.mu.Lock()
	inFlight := s.load.lagged(time.Now())
	s.mu.Unlock()
	writeJSON(w, struct{ InFlight, Slots int }{inFlight, s.Slots})
}

func (s *Server) serveHealth(w http.ResponseWriter, r *http.Request) {
	s.delayProbe(r.Context())
	if s.withdraws(w) {
		return
	}
	if !s.writeEndless(w) {
		w.WriteHeader(http.StatusOK)
	}
}

// writeEndless writes an answer without end if the mode says so, until the other end
// closes the connection. It reports whether it did.
func (s *Server) writeEndless(w http.ResponseWriter) bool {
	m := s.currentMode()
	if m.Endless == "" {
		return false
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		s.Log.Warn("could not write an answer without end", "name", s.Name, "error", err)
		return false
	}
	defer c.Close()
	field := headerName + ": " + s.Name + "\r\n"
	if id := w.Header().Get(headerAttempt); id != "" {
		field += headerAttempt + ": " + id + "\r\n"
	}
	n := m.Endless.Write(c, field, time.Duration(m.EndlessPauseMillis)*time.Millisecond)
	s.Log.Info("answer without end cut off", "name", s.Name, "part", m.Endless, "bytes", n)
	return true
}

// delayProbe counts a probe and waits until the server is not frozen and then for
// ProbeLatency.
func (s *Server) delayProbe(ctx context.Context) {
	s.count(func(c *Report) { c.Probes++ })
	s.awaitUnfrozen(ctx.Done())
	if s.ProbeLatency == 0 {
		return
	}
	t := time.NewTimer(s.ProbeLatency)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	b, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Write(b)
}
