package main

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// content is what arrived of a request.
type content struct {
	method, host, uri string
	sum               [sha256.Size]byte
}

// mood is how a server of a soak treats half of its requests for some time.
type mood string

const (
	sound    mood = ""
	refuses  mood = "refuses"
	silent   mood = "silent"
	resets   mood = "resets"
	closes   mood = "closes"
	cutsBody mood = "cuts a body"
	cutsHead mood = "cuts a head"
	slow     mood = "slow"
	// repeats means that an earlier refusal comes once more before the answer.
	repeats mood = "repeats a refusal"

	// slowFactor is how much longer work takes at a slow server.
	slowFactor = 3
)

// span is a stretch of time.
type span struct{ from, to time.Time }

// trouble is what a soak does to a server. Its methods are safe for concurrent use, and those that a
// sound server uses work on nil.
type trouble struct {
	// delay is the time in nanoseconds by which connections hold up what they pass.
	delay atomic.Int64

	mu    sync.Mutex
	wires map[*wire]bool
	mood  mood
	calm  time.Time // when the mood ends
	// outages are the times in which the server or its connections broke off.
	outages []span
	// draining is true from the decision to leave until the end of the incarnation, and left is when
	// that was acknowledged, or zero.
	draining bool
	left     time.Time
	// drains are the times from an acknowledgement to the end of the incarnation.
	drains []span
}

// trouble returns the trouble of one server of l.
func (l load) trouble() *trouble {
	if !l.troubled {
		return nil
	}
	return &trouble{wires: map[*wire]bool{}}
}

func (t *trouble) state() string {
	if t.isDraining() {
		return "draining"
	}
	return "ready"
}

func (t *trouble) isDraining() bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining
}

// acknowledge notes that a heartbeat has been acknowledged.
func (t *trouble) acknowledge(body string) {
	if t == nil || !strings.Contains(body, `"draining"`) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining && t.left.IsZero() {
		t.left = time.Now()
	}
}

// restart notes the start of a new incarnation.
func (t *trouble) restart() {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.left.IsZero() {
		t.drains = append(t.drains, span{t.left, time.Now()})
	}
	t.draining, t.left, t.mood = false, time.Time{}, sound
}

func (t *trouble) set(m mood, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mood, t.calm = m, time.Now().Add(d)
}

func (t *trouble) now() mood {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Now().After(t.calm) || rand.IntN(2) == 0 {
		return sound
	}
	return t.mood
}

// breakOff notes that the server or its connections break off until the given time.
func (t *trouble) breakOff(until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outages = append(t.outages, span{time.Now(), until})
}

// brokeOff reports whether the server or its connections broke off between the two times.
func (t *trouble) brokeOff(from, to time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.outages, func(v span) bool { return v.from.Before(to) && v.to.After(from) })
}

// wasLeaving reports whether the server had been acknowledged to leave drainTime before the given
// time, and had not started again.
func (t *trouble) wasLeaving(at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.left.IsZero() && at.After(t.left.Add(drainTime)) {
		return true
	}
	return slices.ContainsFunc(t.drains, func(v span) bool { return at.After(v.from.Add(drainTime)) && at.Before(v.to) })
}

// serveTroubled serves r as the trouble of s has it. The path tells how long s works and how
// many bytes it answers.
func (s *server) serveTroubled(w http.ResponseWriter, r *http.Request) {
	id, m := r.Header.Get("Attempt-Id"), s.trouble.now()
	sum := sha256.New()
	if _, err := io.Copy(sum, r.Body); err != nil {
		return
	}
	from, _, _ := net.SplitHostPort(r.RemoteAddr) // the server sets it
	a := s.arrive(id, from)
	s.update(a, func() { a.got = content{r.Method, r.Host, r.RequestURI, [sha256.Size]byte(sum.Sum(nil))} })
	if s.isOverwhelmed() {
		s.trouble.breakOff(time.Now().Add(crashTime))
		s.crash(context.WithoutCancel(r.Context()))
		return
	}
	w.Header().Set("Attempt-Id", id)
	if s.trouble.isDraining() {
		w.Header().Set("Connection", "close")
	}
	switch m {
	case refuses:
		wireOf(r).refused.Store(&id)
		refuse(w)
		return
	case silent:
		<-r.Context().Done()
		return
	}
	if s.enter(w, r) {
		defer s.leave()
		s.runTroubled(w, r, a, m)
	}
}

// runTroubled works on r and answers it.
func (s *server) runTroubled(w http.ResponseWriter, r *http.Request, a *arrival, m mood) {
	work, size := demand(r.URL.Path)
	s.update(a, func() { a.ran = true })
	s.p.rec.line("server %s (%s): runs %s for %v from %s %s", s.name, s.zone, a.id, work, a.from, m)
	defer s.update(a, func() { a.until = time.Now() })
	if m == slow {
		work *= slowFactor
	}
	if old := wireOf(r).refused.Load(); m == repeats && old != nil {
		s.update(a, func() { a.broke = true })
		fmt.Fprintf(wireOf(r), "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", *old)
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		s.update(a, func() { a.aborted = true })
		s.p.rec.line("server %s: the connection of %s was closed at work", s.name, a.id)
		return
	}
	switch m {
	case resets, closes, cutsHead, cutsBody:
		s.update(a, func() { a.broke = true })
	}
	switch m {
	case resets:
		wireOf(r).reset()
		return
	case closes:
		panic(http.ErrAbortHandler)
	case cutsHead:
		fmt.Fprintf(wireOf(r), "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: sig.%s\r\nContent-", a.id, a.id)
		panic(http.ErrAbortHandler)
	}
	s.update(a, func() { a.ended = true })
	s.answer(w, a, size, m)
}

// answerPart is the number of bytes that a server writes at once.
const answerPart = 32 << 10

// answer sends an answer of the given size, or half of it if m says so.
func (s *server) answer(w http.ResponseWriter, a *arrival, size int, m mood) {
	w.Header().Set("Response-Signature", "sig."+a.id)
	if m == cutsBody || size%2 == 0 {
		w.Header().Set("Content-Length", fmt.Sprint(size))
	}
	body := answerBody(a.id, size)
	if m == cutsBody {
		body = body[:size/2]
	}
	for len(body) > 0 {
		n := min(len(body), answerPart)
		if _, err := w.Write(body[:n]); err != nil {
			s.update(a, func() { a.aborted = true })
			return
		}
		body = body[n:]
	}
	if m == cutsBody {
		panic(http.ErrAbortHandler)
	}
}

// answerBody returns the body of the answer to a request.
func answerBody(id string, size int) []byte {
	return []byte(strings.Repeat(id, size/len(id)+1)[:size])
}

// demand returns how long a server is to work, and how many bytes it is to answer, by the path of a
// request as demandPath makes it.
func demand(path string) (time.Duration, int) {
	var ms, size int
	_, after, _ := strings.Cut(path, "/w")
	if _, err := fmt.Sscanf(after, "%d/a%d", &ms, &size); err != nil {
		return 0, 0
	}
	return time.Duration(ms) * time.Millisecond, size
}

func demandPath(prefix string, work time.Duration, size int) string {
	return fmt.Sprintf("%sw%d/a%d", prefix, work.Milliseconds(), size)
}
