package grant

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/snipefront/snipefront"
)

const (
	// maxCalls is the number of calls for which one request waits.
	maxCalls = 3
	// youngTime is the time after its start for which a process counts as young.
	youngTime = 10 * time.Second
	// spreadShare is the largest share by which the time to wait is lengthened at random,
	// so that callers don't come back at once.
	spreadShare = 0.25
	// minRetryAfter is the shortest time that callers are told to wait.
	minRetryAfter = 50 * time.Millisecond
)

// Counter counts what a Service does. Its methods don't block.
type Counter interface {
	QuotaAdmitted(from Source)
	QuotaDenied(c Cause)
	// QuotaGranted counts tokens that were granted in advance.
	QuotaGranted(tokens int)
	// QuotaCalled counts a call and the time that it took.
	QuotaCalled(deputy, answered bool, taken time.Duration)
}

// Service implements snipefront.Admitter. Set the exported fields before use. Without a
// view of the fleet it refuses all requests with a limit.
type Service struct {
	// Self is the name of this instance.
	Self    string
	Limit   snipefront.QuotaLimit
	Counter Counter
	Logger  *slog.Logger
	// LastContact returns the time of the last contact with a control instance. It may be
	// nil, which means that there always is contact.
	LastContact func() time.Time

	mu     sync.Mutex
	socket net.PacketConn
	// begun is the time of the first call.
	begun time.Time
	// heard is true once an owner has answered.
	heard bool
	// place is that of the view in force.
	place *Placement
	owner *Owner
	// version is that of the configuration, and quotas holds the limited ones by workspace.
	version uint64
	quotas  map[string]snipefront.WorkspaceQuota
	// holders has the workspaces that have had requests.
	holders map[string]*workspace
	reach   reachability
	log     transitions
}

// workspace is the state of one workspace at this instance.
type workspace struct {
	holder *Holder
	// owner is the name of the owner that the holder asks, in the view place.
	owner string
	place *Placement
	// call is the call in progress, or nil.
	call *call
	// waiting are the requests that wait for the end of the call.
	waiting []*waiter
	// toDeputy is true if the next call goes to the deputy.
	toDeputy bool
}

// waiter is a request that waits for a token.
type waiter struct {
	// calls is the number of calls that it has waited for.
	calls int
	// left is true if the caller has left.
	left bool
	// decided receives the decision.
	decided chan Decision
}

// init sets what is missing. The lock is held.
func (s *Service) init(now time.Time) {
	if s.owner != nil {
		return
	}
	s.begun = now
	s.place = &Placement{}
	s.owner = &Owner{Self: s.Self, Limit: s.Limit, Started: now}
	s.holders, s.quotas = map[string]*workspace{}, map[string]snipefront.WorkspaceQuota{}
	s.log.logger = s.Logger
}

// Configure replaces the workspaces by those of a configuration.
func (s *Service) Configure(r *snipefront.Routing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init(time.Now())
	old := s.quotas
	s.version = r.Version
	s.quotas = map[string]snipefront.WorkspaceQuota{}
	for _, w := range r.Workspaces {
		if w.Quota.Limited() {
			s.quotas[w.Name] = w.Quota
		}
	}
	for name, w := range s.holders {
		q := s.quotas[name]
		switch {
		case !q.Limited() && w.call == nil:
			delete(s.holders, name)
		case q.PerSecond < old[name].PerSecond || q.Burst < old[name].Burst:
			w.holder.Discard()
		}
	}
}

// SetInstances replaces the ready edge instances by those of the view at an index. They are
// sorted by name.
func (s *Service) SetInstances(index uint64, list []snipefront.Instance) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init(now)
	next := &Placement{}
	next.SetInstances(s.place.instances.Instances)
	if !next.SetInstances(list) {
		s.owner.Confirm(index)
		return
	}
	s.place = next
	for _, d := range s.owner.SetPlacement(now, index, next) {
		s.log.ownerChanged(now, d.Workspace, s.Self, d.To.Name)
		s.send(d.To.PeerAddress, datagram{Handover: &d.Handover})
	}
}

// isYoung reports whether the process has started lately and no owner has answered it. The
// lock is held.
func (s *Service) isYoung(now time.Time) bool { return !s.heard && now.Sub(s.begun) < youngTime }

// updateOwner makes w ask the owner in the view in force. It is called when a request arrives,
// since there may be thousands of workspaces without one. The lock is held.
func (s *Service) updateOwner(now time.Time, w *workspace) {
	if w.place == s.place {
		return
	}
	w.place = s.place
	n, _ := s.place.Owner(w.holder.Workspace)
	if w.owner != "" && w.owner != n.Name {
		s.log.ownerChanged(now, w.holder.Workspace, w.owner, n.Name)
		w.holder.OwnerChanged()
	}
	w.owner = n.Name
}

// Admit implements snipefront.Admitter.
func (s *Service) Admit(ctx context.Context, w *snipefront.Workspace) *snipefront.Error {
	d, wait := s.begin(time.Now(), w)
	if wait != nil {
		select {
		case d = <-wait.decided:
		case <-ctx.Done():
			s.leave(w.Name, wait)
			return snipefront.Refused(snipefront.ReasonCanceled, 0, "the caller has left before the quota was known")
		}
	}
	if d.Outcome == Admitted {
		s.Counter.QuotaAdmitted(d.Source)
		return nil
	}
	s.Counter.QuotaDenied(d.Cause)
	e := snipefront.Rejected(snipefront.ReasonQuota, http.StatusTooManyRequests, "the workspace has used up its quota")
	e.RetryAfter = max(minRetryAfter, d.RetryAfter)
	e.RetryAfter += time.Duration(spreadShare * rand.Float64() * float64(e.RetryAfter))
	return e
}

// begin decides on a request of w, or returns the waiter that gets the decision.
func (s *Service) begin(now time.Time, w *snipefront.Workspace) (Decision, *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init(now)
	state := s.holders[w.Name]
	if state == nil {
		state = &workspace{holder: &Holder{Workspace: w.Name, Self: s.Self, Session: rand.Uint64(), Random: rand.Float64}}
		if s.isYoung(now) {
			state.holder.Start(now, s.Limit, w.Quota, len(s.place.instances.Instances))
		}
		s.holders[w.Name] = state
	}
	if !s.quotas[w.Name].Limited() {
		s.quotas[w.Name] = w.Quota // from a table that was replaced meanwhile
	}
	s.updateOwner(now, state)
	r := &waiter{decided: make(chan Decision, 1)}
	if d, ok := s.take(now, state, r); ok {
		return d, nil
	}
	if state.call == nil {
		s.call(now, state)
	}
	return Decision{}, r
}

// take decides on the request r, or makes it wait for a call. The lock is held.
func (s *Service) take(now time.Time, w *workspace, r *waiter) (Decision, bool) {
	d := w.holder.Take(now)
	if d.Outcome == AskOwner || d.Outcome == AskDeputy {
		if r.calls < maxCalls {
			r.calls++
			w.waiting = append(w.waiting, r)
			w.toDeputy = d.Outcome == AskDeputy
			return d, false
		}
		d = w.holder.Refuse(now)
	}
	s.log.decided(now, w.holder.Workspace, d)
	return d, true
}

// finish ends the call of w and decides on the requests that have waited for it. The lock
// is held.
func (s *Service) finish(now time.Time, w *workspace) {
	w.call = nil
	s.updateOwner(now, w)
	waiting := w.waiting
	w.waiting = nil
	for _, r := range waiting {
		if r.left {
			continue
		}
		if d, ok := s.take(now, w, r); ok {
			r.decided <- d
		}
	}
	if len(w.waiting) > 0 {
		s.call(now, w)
	}
}

// leave ends the wait of r. A token that it has got meanwhile is returned.
func (s *Service) leave(name string, r *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.left = true
	select {
	case d := <-r.decided:
		if w := s.holders[name]; w != nil && d.Outcome == Admitted {
			w.holder.Return()
		}
	default:
	}
}

// Return implements snipefront.Admitter.
func (s *Service) Return(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.holders[name]; w != nil {
		w.holder.Return()
	}
}

// Tokens returns the number of tokens that this instance holds in advance.
func (s *Service) Tokens() int {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, w := range s.holders {
		n += w.holder.Tokens(now)
	}
	return n
}

// Owned returns the number of workspaces whose buckets this instance holds.
func (s *Service) Owned() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owner == nil {
		return 0
	}
	return s.owner.Owned()
}
