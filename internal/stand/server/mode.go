package server

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"
)

// Mode holds the switches of a Server. A new Mode replaces the old one whole;
// the zero value is the ordinary behaviour.
type Mode struct {
	// Shed refuses each request before running it.
	Shed bool
	// Draining refuses each request and announces that.
	Draining bool
	// Slow multiplies the service times. Zero means 1.
	Slow float64
	// Frozen accepts requests and answers none, probes included, and stops the
	// announcements. What was held goes on once Frozen is off again.
	Frozen bool
	// SilentOld makes each connection that is open now silent for good. It acts
	// once; later connections work.
	SilentOld bool
	// Cold starts a cold start at once. It acts once, and requests that are
	// running go on.
	Cold bool
	// Truncate breaks off each answer halfway.
	Truncate bool
	// Cross answers each request with the answer to another one.
	Cross bool
	// Crash ends the server like a process death. It acts once.
	Crash bool
}

// SetMode replaces the switches. SilentOld has an effect only over HTTP, where
// the connections are known.
func (s *Server) SetMode(m Mode) {
	s.init()
	s.mu.Lock()
	if m.Frozen && !s.mode.Frozen {
		s.thawed = make(chan struct{})
	}
	if !m.Frozen && s.mode.Frozen {
		close(s.thawed)
	}
	drained := m.Draining != s.mode.Draining
	s.mode = m
	if m.Cold {
		s.period = s.newPeriod(time.Now())
	}
	s.mu.Unlock()
	s.Log.Info("mode", "name", s.Name, "shed", m.Shed, "draining", m.Draining, "slow", m.Slow, "frozen", m.Frozen,
		"silent_old", m.SilentOld, "cold", m.Cold, "truncate", m.Truncate, "cross", m.Cross, "crash", m.Crash)
	if drained {
		s.announceSoon()
	}
	if m.Crash {
		s.die()
	}
}

// SetSpeed divides the service times of later runs by speed, next to any
// factor of the Mode. It is meant for frequent shifts and ignores a speed that
// is not positive.
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

// awaitThaw returns once the server is not frozen, or when end is closed.
func (s *Server) awaitThaw(end <-chan struct{}) {
	s.mu.Lock()
	thawed := s.thawed
	s.mu.Unlock()
	select {
	case <-thawed:
	case <-end:
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
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, mostBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&m); err != nil {
		http.Error(w, "mode: "+err.Error(), http.StatusBadRequest)
		return
	}
	if m.Slow < 0 {
		http.Error(w, "mode: Slow: expected at least 0", http.StatusBadRequest)
		return
	}
	if !m.Crash {
		s.SetMode(m)
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.WriteHeader(http.StatusNoContent)
	if err := http.NewResponseController(w).Flush(); err != nil {
		s.Log.Warn("answer before the crash not sent", "error", err)
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
	s.probed(r.Context())
	s.mu.Lock()
	inside := s.load.report(time.Now())
	s.mu.Unlock()
	writeJSON(w, struct{ InFlight, Slots int }{inside, s.Slots})
}

func (s *Server) serveHealth(w http.ResponseWriter, r *http.Request) {
	s.probed(r.Context())
	w.WriteHeader(http.StatusOK)
}

// probed counts a probe and takes the time that it costs.
func (s *Server) probed(ctx context.Context) {
	s.count(func(c *Report) { c.Probes++ })
	s.awaitThaw(ctx.Done())
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
