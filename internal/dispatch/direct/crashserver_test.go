package direct_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/dispatch/direct"
	"github.com/snipefront/snipefront/internal/dispatch/health"
)

// crashServer is a backend server of a crashFleet: the process at an address.
type crashServer struct {
	address, dataCentre, name string
	service, version          string
	incarnation               uint64
	up, draining              bool
	// dark is true if the machine answers nothing, so that connections neither open nor break,
	// and mute if the process runs no request and answers none.
	dark, mute bool
	// down is closed when the process ends.
	down    chan struct{}
	running int
	// leaving is true if it says in its answers that it drains, and restUntil the time until
	// which it refuses requests and asks for a pause.
	leaving   bool
	restUntil time.Time
}

// crashStyle is how a backend server ends and returns.
type crashStyle struct {
	// dark leaves connections open, and unanswered.
	dark bool
	// sameName lets it return under the name that it had.
	sameName bool
	// back is the time after which it returns.
	back time.Duration
}

const (
	// harmlessWork is the time for which a request runs that crashes nothing, and errorTime
	// that after which a server error is there.
	harmlessWork = 60 * time.Millisecond
	errorTime    = 2 * time.Millisecond
	// dialTimeout bounds a connection to a machine that answers nothing, and probeLimit a
	// load probe.
	dialTimeout = 400 * time.Millisecond
	probeLimit  = 150 * time.Millisecond
	// heartbeatDelay is the time after its start in which a backend server registers.
	heartbeatDelay = 100 * time.Millisecond
)

// failure is what a backend server that runs on does in place of running a request.
type failure uint8

// The failures. noFailure runs the request.
const (
	noFailure failure = iota
	serverError
	reset
)

// someFail returns a function for crashFleet.fails: each of n backend servers fails the given
// share of its requests.
func someFail(f *crashFleet, n int, share float64, kind failure) func(s *crashServer) failure {
	return func(s *crashServer) failure {
		f.mu.Lock()
		defer f.mu.Unlock()
		if s.number(f)%n == 0 && f.random.Float64() < share {
			return kind
		}
		return noFailure
	}
}

// number returns the place of s in the fleet.
func (s *crashServer) number(f *crashFleet) int { return slices.Index(f.servers, s) }

// isCrashedBy reports whether a request with the fingerprint crashes s. The lock is not held.
func (s *crashServer) isCrashedBy(f *crashFleet, fingerprint uint64) bool {
	return crashesServers(fingerprint) && (f.spares == nil || !f.spares(s))
}

// startServer starts a process at the address of s.
func (f *crashFleet) startServer(s *crashServer, newName bool) {
	f.mu.Lock()
	f.started++
	if newName {
		s.name = fmt.Sprint("s", f.started)
	}
	s.incarnation = uint64(f.started)
	s.up, s.dark, s.draining, s.leaving, s.restUntil, s.running = true, false, false, false, time.Time{}, 0
	s.down = make(chan struct{})
	n := f.registration(s)
	f.mu.Unlock()
	f.apply(fleet.Command{Register: &n})
}

// registration returns the registration of s. The lock is held.
func (f *crashFleet) registration(s *crashServer) fleet.Server {
	var n fleet.Server
	n.Name, n.Service, n.DataCentre, n.Slots, n.Address, n.Version = s.name, s.service, s.dataCentre, crashSlots, s.address, s.version
	n.Incarnation, n.Sequence, n.Draining = s.incarnation, 1, s.draining
	if s.draining {
		n.Sequence = 2
	}
	return n
}

// crash ends the process at the address of s, unless it has ended, and starts another one
// later. It reports whether it did.
func (f *crashFleet) crash(s *crashServer, style crashStyle) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !s.up {
		return false
	}
	s.up, s.dark = false, style.dark
	close(s.down)
	time.AfterFunc(style.back+heartbeatDelay, func() {
		if f.ctx.Err() == nil {
			f.startServer(s, !style.sameName)
		}
	})
	return true
}

// replace replaces the process at the address of s as planned: it reports that it drains,
// serves a little longer, deregisters and ends, and a new one starts.
func (f *crashFleet) replace(s *crashServer) {
	f.mu.Lock()
	if !s.up || s.draining {
		f.mu.Unlock()
		return
	}
	s.draining = true
	n := f.registration(s)
	f.mu.Unlock()
	f.apply(fleet.Command{Register: &n})
	time.AfterFunc(2*time.Second, func() {
		f.apply(fleet.Command{Deregister: &n})
		f.mu.Lock()
		same := s.incarnation == n.Incarnation
		f.mu.Unlock()
		if same {
			f.crash(s, crashStyle{back: 50 * time.Millisecond})
			f.mu.Lock()
			s.version = "v2"
			f.mu.Unlock()
		}
	})
}

// crashLink carries requests of one instance to the backend servers of a crashFleet.
type crashLink struct {
	fleet    *crashFleet
	instance *crashInstance
	targets  *health.Set
	// process identifies the process of the instance.
	process context.Context
}

// process is what a connection finds at an address.
type process struct {
	name           string
	up, dark, mute bool
	down           chan struct{}
}

// at returns the backend server and its process at the address of t.
func (l crashLink) at(t *health.Target) (*crashServer, process) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	for _, s := range l.fleet.servers {
		if s.address == t.Server.Address {
			return s, process{name: s.name, up: s.up, dark: s.dark, mute: s.mute, down: s.down}
		}
	}
	panic("no such address")
}

// connect opens a connection to t within the given time.
func (l crashLink) connect(ctx context.Context, t *health.Target, limit time.Duration) (*crashServer, process, error) {
	time.Sleep(time.Millisecond)
	s, p := l.at(t)
	switch {
	case p.up:
		return s, p, nil
	case !p.dark:
		return s, p, errors.New("refused")
	}
	select {
	case <-ctx.Done():
	case <-time.After(limit):
	}
	return s, p, errors.New("no connection in time")
}

// Probe implements health.Prober.
func (l crashLink) Probe(t *health.Target) (health.Report, error) {
	s, p, err := l.connect(context.Background(), t, probeLimit)
	if err != nil {
		return health.Report{}, err
	}
	l.fleet.notices.arrive(l, p, time.Time{})
	if l.refusesForPause(t, s, p) {
		return health.Report{At: time.Now(), Server: p.name}, nil
	}
	l.hearLeaving(t, s, p)
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	return health.Report{At: time.Now(), Known: true, Healthy: !s.draining, Running: s.running, Slots: crashSlots, Pace: 1, Server: p.name}, nil
}

// Up implements direct.Link.
func (l crashLink) Up(ctx context.Context, t *health.Target) bool {
	_, _, err := l.connect(ctx, t, probeLimit)
	return err == nil
}

// Send implements direct.Link.
func (l crashLink) Send(ctx context.Context, c *direct.Call, t *health.Target) direct.Attempt {
	s, p, err := l.connect(ctx, t, dialTimeout)
	if err != nil {
		return direct.Attempt{Verdict: snipefront.NotRun, Reason: snipefront.ReasonConnect, Err: err, Outcome: health.Unreachable}
	}
	if current, accepts := l.targets.Current(t.Server.Name); !accepts || current.Server.Incarnation != t.Server.Incarnation {
		return direct.Attempt{Verdict: snipefront.NotRun, Reason: snipefront.ReasonNoBackendServer, Err: errors.New("left"), Outcome: health.Unreachable}
	}
	if p.name != t.Server.Name {
		return direct.Attempt{Verdict: snipefront.NotRun, Reason: snipefront.ReasonNoBackendServer, Err: errors.New("another"), Outcome: health.Unreachable, Misdirected: true}
	}
	l.fleet.notices.arrive(l, p, l.fleet.sentAt(c.ID))
	if l.refusesForPause(t, s, p) {
		l.fleet.mu.Lock()
		defer l.fleet.mu.Unlock()
		l.fleet.reach(c, s)
		return shed
	}
	if !l.fleet.arrive(l.instance, c, s) {
		return shed
	}
	dropped := make(chan struct{})
	end := l.fleet.execute(c, s, p, dropped)
	select {
	case a := <-end:
		if a.Response == nil {
			return l.broken(ctx, s)
		}
		l.hearLeaving(t, s, p)
		return a
	case <-ctx.Done():
		if !l.fleet.worksOn {
			close(dropped)
		}
		return direct.Attempt{Verdict: snipefront.MayHaveRun, Reason: snipefront.ReasonBrokenAnswer, Err: ctx.Err(), Outcome: health.Faulty}
	}
}

// execute lets the process p of s run c until dropped is closed, and returns a channel that
// delivers the answer, or one without a response if p has ended or resets the connection.
func (f *crashFleet) execute(c *direct.Call, s *crashServer, p process, dropped <-chan struct{}) <-chan direct.Attempt {
	end := make(chan direct.Attempt, 1)
	work, status := harmlessWork, http.StatusOK
	kind := noFailure
	if f.fails != nil {
		kind = f.fails(s)
	}
	crashes := kind == noFailure && !p.mute && s.isCrashedBy(f, c.Fingerprint)
	switch {
	case p.mute:
		work = time.Hour
	case kind != noFailure:
		work, status = errorTime, http.StatusInternalServerError
	case crashes:
		work = f.crashAfter
	}
	go func() {
		defer f.leave(s, p)
		select {
		case <-p.down:
			end <- broken
			return
		case <-dropped:
			return
		case <-f.ctx.Done():
			return
		case <-time.After(work):
		}
		if crashes {
			f.crashBy(c.Fingerprint, s, p)
		}
		if crashes || kind == reset {
			end <- broken
			return
		}
		end <- answerOf(p.name, status)
	}()
	return end
}

// answerOf returns the attempt that the named backend server has answered.
func answerOf(name string, status int) direct.Attempt {
	a := direct.Attempt{Verdict: snipefront.Ran, Signed: true, Complete: snipefront.ShowsCompleteRun(status), Response: &snipefront.Response{Status: status, BackendServer: name}}
	if status >= http.StatusInternalServerError {
		a.Outcome = health.Faulty
	}
	return a
}

// broken returns the attempt at a backend server whose process has ended. If its machine
// is dark, the attempt ends with ctx.
func (l crashLink) broken(ctx context.Context, s *crashServer) direct.Attempt {
	l.fleet.mu.Lock()
	dark := s.dark
	l.fleet.mu.Unlock()
	if dark {
		<-ctx.Done()
	}
	return broken
}

// arrive records that c reaches s, and reports whether s runs it.
func (f *crashFleet) arrive(n *crashInstance, c *direct.Call, s *crashServer) bool {
	inTouch, crashes := n.inTouch(), s.isCrashedBy(f, c.Fingerprint)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reach(c, s)
	if crashes {
		f.arrivals[c.Fingerprint] = append(f.arrivals[c.Fingerprint], crashArrival{at: f.since(), inTouch: inTouch})
	}
	if s.running >= crashSlots+crashQueue {
		return false
	}
	s.running++
	return true
}

// reach records that c reaches s, where it is a further attempt if it is not the first. The
// lock is held.
func (f *crashFleet) reach(c *direct.Call, s *crashServer) {
	if len(f.reached[c.ID]) > 0 {
		f.further = append(f.further, f.since())
	}
	f.reached[c.ID] = append(f.reached[c.ID], process{name: s.name, down: s.down})
}

// leave frees the place of a request at s, unless the process p has ended.
func (f *crashFleet) leave(s *crashServer, p process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.down == p.down {
		s.running--
	}
}
