package direct_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/dispatch/health"
	"github.com/snipefront/snipefront/internal/dispatch/notice"
)

// The users' rules on what backend servers say beside their answers, as these tests count
// them. DRAIN: no request that a caller sent later than drainTime after an instance has read
// that a backend server leaves reaches that one from there. BUDGET: in a pause for which a
// backend server has asked, it receives maxInPause requests at most from that instance, later
// than pauseTolerance after it has asked. A restart of the instance excuses both.
const (
	drainTime      = 2 * time.Second
	pauseTolerance = 500 * time.Millisecond
	maxInPause     = 2
)

// notices counts what backend servers say beside their answers, and what reaches them then.
// Its zero value is empty.
type notices struct {
	mu sync.Mutex
	// left holds when a process of an instance first read that a backend server leaves.
	left map[noticeKey]time.Time
	// pauses holds the pauses for which backend servers have asked.
	pauses map[noticeKey][]*pauseAsked
	// late counts requests that reached a backend server against DRAIN, inPause the most that
	// reached one in a pause, load probes included, and asked the pauses.
	late, inPause, asked int
}

// noticeKey identifies a process of an instance and one of a backend server.
type noticeKey struct {
	instance context.Context
	server   chan struct{}
}

// pauseAsked is a pause with the number of requests that arrived in it.
type pauseAsked struct {
	from, to time.Time
	arrived  int
}

// arrive records that a request, sent by its caller at the given time, or a load probe, for
// which that is zero, reaches the process p of a backend server.
func (s *notices) arrive(l crashLink, p process, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key, now := noticeKey{l.process, p.down}, time.Now()
	if left, ok := s.left[key]; ok && !sent.IsZero() && sent.After(left.Add(drainTime)) {
		s.late++
	}
	for _, asked := range s.pauses[key] {
		if now.After(asked.from) && now.Before(asked.to) {
			asked.arrived++
			s.inPause = max(s.inPause, asked.arrived)
		}
	}
}

// leave records that an instance reads that p leaves.
func (s *notices) leave(l crashLink, p process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := noticeKey{l.process, p.down}
	if s.left == nil {
		s.left = map[noticeKey]time.Time{}
	}
	if _, ok := s.left[key]; !ok {
		s.left[key] = time.Now()
	}
}

// pause records that p asks an instance for a pause.
func (s *notices) pause(l crashLink, p process, length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pauses == nil {
		s.pauses = map[noticeKey][]*pauseAsked{}
	}
	key, now := noticeKey{l.process, p.down}, time.Now()
	s.asked++
	s.pauses[key] = append(s.pauses[key], &pauseAsked{from: now.Add(pauseTolerance), to: now.Add(length)})
}

// sentAt returns when the caller sent the request with the id.
func (f *crashFleet) sentAt(id string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	_, _ = fmt.Sscanf(id, "r%d", &n)
	return f.begun.Add(f.requests[n-1])
}

// refusesForPause reports whether s refuses a request or a load probe and asks for a pause.
func (l crashLink) refusesForPause(t *health.Target, s *crashServer, p process) bool {
	l.fleet.mu.Lock()
	left := time.Until(s.restUntil)
	l.fleet.mu.Unlock()
	if left <= 0 {
		return false
	}
	l.fleet.notices.pause(l, p, left)
	t.Hear(notice.Notice{Pause: left})
	return true
}

// hearLeaving lets the instance read in an answer of s whether it leaves.
func (l crashLink) hearLeaving(t *health.Target, s *crashServer, p process) {
	l.fleet.mu.Lock()
	leaving := s.leaving
	l.fleet.mu.Unlock()
	if leaving {
		l.fleet.notices.leave(l, p)
		t.Hear(notice.Notice{Draining: true})
	}
}

// leaveInTurn lets a third of the backend servers leave, one each 0.2 s, and serve on, while
// they report to the fleet that they are ready.
func leaveInTurn(f *crashFleet) {
	for i, s := range f.servers {
		if i%3 == 0 {
			time.AfterFunc(2*time.Second+time.Duration(i)*70*time.Millisecond, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				s.leaving = true
			})
		}
	}
}

// maxFlapping bounds the backend servers that the fleet loses for a while on a day.
const maxFlapping = 40

// flapRegistrations lets the fleet lose backend servers from time to time, and register them
// again as ready.
func flapRegistrations(f *crashFleet) {
	for i, s := range f.servers[:min(maxFlapping, len(f.servers))] {
		time.AfterFunc(4*time.Second+time.Duration(i)*100*time.Millisecond, func() {
			f.mu.Lock()
			n := f.registration(s)
			f.mu.Unlock()
			lost := n
			lost.Expired = true
			f.apply(fleet.Command{Deregister: &lost})
			time.AfterFunc(300*time.Millisecond, func() { f.apply(fleet.Command{Register: &n}) })
		})
	}
}

// pauses lets random backend servers ask for pauses of different lengths.
func pauses(f *crashFleet) {
	lengths := []time.Duration{200 * time.Millisecond, 900 * time.Millisecond, 2500 * time.Millisecond, 7 * time.Second}
	random := rand.New(rand.NewPCG(3, 28))
	for at := 2 * time.Second; at < f.length; at += 250 * time.Millisecond {
		s, length := f.servers[random.IntN(len(f.servers))], lengths[random.IntN(len(lengths))]
		time.AfterFunc(at, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			s.restUntil = time.Now().Add(length)
		})
	}
}

// checkNotices checks both rules.
func (f *crashFleet) checkNotices(t *testing.T) {
	t.Helper()
	n := &f.notices
	n.mu.Lock()
	defer n.mu.Unlock()
	t.Logf("%d processes read that a backend server leaves, %d pauses, at most %d requests and probes in one; harmless requests: %+v", len(n.left), n.asked, n.inPause, f.harmless)
	if n.late > 0 {
		t.Errorf("%d requests reached a backend server later than %v after it had said that it leaves", n.late, drainTime)
	}
	if n.inPause > maxInPause {
		t.Errorf("%d requests reached a backend server in a pause, want %d at most", n.inPause, maxInPause)
	}
}

// TestBackendServersThatWithdraw guards against requests that reach backend servers which
// have said in an answer that they leave, or have asked for a pause: while the fleet says
// that they are ready, or registers them again, and while instances are cut off, restart and
// learn late.
func TestBackendServersThatWithdraw(t *testing.T) {
	for name, events := range map[string][]crashEvent{
		"leave":                       {leaveInTurn},
		"leave, registered again":     {leaveInTurn, flapRegistrations},
		"leave, cut off, late news":   {leaveInTurn, cutOffs, lateNews, restarts},
		"pauses":                      {pauses},
		"pauses, registered again":    {pauses, flapRegistrations},
		"pauses, cut off, restarts":   {pauses, cutOffs, lateNews, restarts},
		"both, others crash, release": {pauses, leaveInTurn, otherServersCrash, release},
	} {
		for size, day := range evidenceSizes {
			t.Run(size+"/"+name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newCrashFleet(day.crashSize)
					f.length = min(day.length, crashLength)
					for _, event := range events {
						event(f)
					}
					f.run(t, f.length, day.rate)
					f.checkNotices(t)
					f.checkFurther(t)
					if float64(f.harmless.failed) > 0.01*f.harmless.total() {
						t.Errorf("%d of %.0f requests were not answered, want a hundredth at most", f.harmless.failed, f.harmless.total())
					}
				})
			})
		}
	}
}

// TestRequestsAreRefusedWhileAllBackendServersRest guards against requests that wait for
// their deadline though it is known that no backend server is back before, against a time to
// come back that is too early, and against all that come back at the same moment.
func TestRequestsAreRefusedWhileAllBackendServersRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rest = 3 * time.Second
		f := newCrashFleet(recordCrashSize)
		f.length = 8 * time.Second
		var mu sync.Mutex
		var earliest, latest time.Duration
		end := f.begun.Add(3 * time.Second).Add(rest)
		time.AfterFunc(3*time.Second, func() {
			f.mu.Lock()
			for _, s := range f.servers {
				s.restUntil = end
			}
			f.mu.Unlock()
		})
		for i := range 60 {
			time.AfterFunc(4500*time.Millisecond+time.Duration(i)*10*time.Millisecond, func() {
				begun := time.Now()
				e := f.send(context.Background(), f.instances[i%len(f.instances)].dispatcher(), f.receive(), uint64(5000+i), begun.Add(2*time.Second))
				mu.Lock()
				defer mu.Unlock()
				if e == nil || e.Reason != snipefront.ReasonPaused && e.Reason != snipefront.ReasonShed {
					t.Errorf("a request ended with %v, want a refusal", e)
					return
				}
				if taken := time.Since(begun); taken > 100*time.Millisecond {
					t.Errorf("a request was refused after %v, want at once", taken)
				}
				if e.Reason != snipefront.ReasonPaused {
					return
				}
				back := time.Now().Add(e.RetryAfter).Sub(end)
				if back < 0 {
					t.Errorf("a caller is told to come back %v too early", -back)
				}
				if earliest == 0 || back < earliest {
					earliest = back
				}
				latest = max(latest, back)
			})
		}
		f.run(t, f.length, 30)
		f.checkNotices(t)
		t.Logf("callers are told to come back %v to %v after the first backend server", earliest, latest)
		if latest-earliest < 100*time.Millisecond {
			t.Errorf("callers are told to come back within %v of each other", latest-earliest)
		}
	})
}
