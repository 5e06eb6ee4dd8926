package server

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/snipefront/snipefront/internal/clock/timer"
	"github.com/snipefront/snipefront/internal/stand/answer"
)

// serveRequest runs, refuses or fails one request of a caller.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel, err := withTimeout(r.Context(), r.Header.Get(headerTimeout))
	if err != nil {
		http.Error(w, headerTimeout+": not a number of milliseconds", http.StatusBadRequest)
		return
	}
	defer cancel()
	if id := r.Header.Get(headerAttempt); id != "" {
		w.Header().Set(headerAttempt, id)
	}
	s.awaitUnfrozen(r.Context().Done())
	if s.withdraws(w) {
		return
	}
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	p, a := s.admit(time.Now())
	switch a {
	case refused:
		refuse(w)
	case failing:
		s.serveFailure(ctx, w)
	case admitted:
		defer func() { s.finish(p, time.Now()) }()
		s.runAdmitted(ctx, w, r, body, p)
	}
}

func (s *Server) runAdmitted(ctx context.Context, w http.ResponseWriter, r *http.Request, body []byte, p *period) {
	select {
	case s.busySlots <- struct{}{}:
		defer func() { <-s.busySlots }()
	case <-ctx.Done():
		refuse(w)
		return
	case <-p.failed.Done():
		panic(http.ErrAbortHandler)
	case <-s.crashed:
		panic(http.ErrAbortHandler)
	}
	if s.hasCrashed() {
		panic(http.ErrAbortHandler)
	}
	if ctx.Err() != nil {
		refuse(w)
		return
	}
	s.runs.record(r)
	if r.Header.Get(headerCrash) == "1" {
		s.Log.Warn("crashing because of the X-Stand-Crash header", "name", s.Name)
		s.simulateCrash()
		panic(http.ErrAbortHandler)
	}
	if !s.awaitServiceTime(ctx, p) {
		s.count(func(c *Report) { c.Canceled++ })
		http.Error(w, "canceled or timed out while running", http.StatusGatewayTimeout)
		return
	}
	s.awaitUnfrozen(r.Context().Done())
	s.reply(w, r, body)
}

// awaitServiceTime waits for the service time. It reports whether the time passed
// before ctx ended.
func (s *Server) awaitServiceTime(ctx context.Context, p *period) bool {
	t := time.NewTimer(s.serviceTime(p, time.Now()))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	case <-p.failed.Done():
		panic(http.ErrAbortHandler)
	case <-s.crashed:
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) reply(w http.ResponseWriter, r *http.Request, body []byte) {
	q := answer.Request{
		Target:         r.URL.RequestURI(),
		IdempotencyKey: r.Header.Get(headerIdempotencyKey),
		RequestID:      r.Header.Get(headerRequestID),
		Body:           body,
	}
	if s.writeEndless(w) {
		return
	}
	m := s.currentMode()
	if m.Cross {
		q.RequestID += " of another"
	}
	b := q.Answer()
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.Header().Set(headerName, s.Name)
	s.count(func(c *Report) { c.Answered++ })
	if !m.Truncate {
		w.Write(b)
		return
	}
	w.Write(b[:len(b)/2])
	if err := http.NewResponseController(w).Flush(); err != nil {
		s.Log.Warn("could not send the first half of a truncated answer", "name", s.Name, "error", err.Error())
	}
	panic(http.ErrAbortHandler)
}

// serveFailure fails a request that arrives after an overload failure: alternately
// with a late status 500 and a dropped connection.
func (s *Server) serveFailure(ctx context.Context, w http.ResponseWriter) {
	failed := 0
	s.count(func(c *Report) {
		c.Failed++
		failed = c.Failed
	})
	if failed%2 == 0 {
		panic(http.ErrAbortHandler)
	}
	timer.Sleep(ctx, failureDelay)
	http.Error(w, "fallen over", http.StatusInternalServerError)
}

// withdraws sets the header fields of the mode that any answer has. If the mode asks for a
// pause, it also refuses the request and returns true.
func (s *Server) withdraws(w http.ResponseWriter) bool {
	m := s.currentMode()
	if m.Leaving {
		w.Header().Set(headerDraining, "1")
	}
	if m.PauseMillis <= 0 {
		return false
	}
	pause := time.Duration(m.PauseMillis) * time.Millisecond
	w.Header().Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', -1, 64))
	refuse(w)
	return true
}

// refuse answers a request that has not run and will not run. It sets no Retry-After: a full
// server has a free slot again within milliseconds.
func refuse(w http.ResponseWriter) {
	http.Error(w, "not run", http.StatusServiceUnavailable)
}

// withTimeout returns ctx with a timeout of millis, the milliseconds that the caller
// still waits. An empty millis sets no timeout.
func withTimeout(ctx context.Context, millis string) (context.Context, context.CancelFunc, error) {
	if millis == "" {
		ctx, cancel := context.WithCancel(ctx)
		return ctx, cancel, nil
	}
	ms, err := strconv.ParseUint(millis, 10, 31)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
	return ctx, cancel, nil
}
