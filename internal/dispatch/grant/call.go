package grant

import "time"

// callTimeout is the time after which a question is sent again, and after twice which the
// call has failed.
const callTimeout = 30 * time.Millisecond

// call is a question that is sent and not answered yet.
type call struct {
	ask   Ask
	to    string
	begun time.Time
	// tries is the number of times that it was sent.
	tries int
	timer *time.Timer
}

// call asks the owner or the deputy for as many tokens as requests wait. The lock is held.
func (s *Service) call(now time.Time, w *workspace) {
	to, ok := s.place.Owner(w.holder.Workspace)
	if w.toDeputy {
		to, ok = s.place.Deputy(w.holder.Workspace)
	}
	a := w.holder.Ask(now, w.toDeputy, len(w.waiting))
	quota := s.quotas[a.Workspace]
	a.Version, a.PerSecond, a.Burst = s.version, quota.PerSecond, quota.Burst
	a.Young = s.isYoung(now)
	c := &call{ask: a, begun: now, to: to.PeerAddress}
	w.call = c
	switch {
	case !ok:
		s.fail(now, w)
	case to.Name == s.Self:
		s.askSelf(now, w, a)
	default:
		s.try(w, c)
	}
}

// askSelf answers a question of this instance to itself. The lock is held.
func (s *Service) askSelf(now time.Time, w *workspace, a Ask) {
	answer, ok := s.owner.Ask(now, a)
	if !ok || !w.holder.Apply(now, answer) {
		s.fail(now, w)
		return
	}
	s.finish(now, w)
}

// try sends the question of c once more, or ends the call. The lock is held.
func (s *Service) try(w *workspace, c *call) {
	c.tries++
	s.send(c.to, datagram{Ask: &c.ask})
	c.timer = time.AfterFunc(callTimeout, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch {
		case w.call != c:
		case c.tries == 1:
			s.try(w, c)
		default:
			now := time.Now()
			s.Counter.QuotaCalled(c.ask.Deputy, false, now.Sub(c.begun))
			s.fail(now, w)
		}
	})
}

// fail ends a call without an answer. The lock is held.
func (s *Service) fail(now time.Time, w *workspace) {
	w.holder.Fail(now)
	s.finish(now, w)
}

// handleAnswer applies an answer. One that arrives after its call has failed still counts if
// there was no other call since.
func (s *Service) handleAnswer(now time.Time, a Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.holders[a.Workspace]
	if w == nil || !w.holder.Apply(now, a) {
		return
	}
	s.heard = s.heard || !a.Other && !w.toDeputy
	c := w.call
	if c == nil || c.ask.Number != a.Number {
		return
	}
	c.timer.Stop()
	s.Counter.QuotaCalled(c.ask.Deputy, true, now.Sub(c.begun))
	s.Counter.QuotaGranted(max(0, a.Tokens-c.ask.Want))
	s.finish(now, w)
}

// handleAsk answers a question of another instance.
func (s *Service) handleAsk(now time.Time, a Ask) (Answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init(now)
	if !valid(a) {
		return Answer{}, false
	}
	if own := s.quotas[a.Workspace]; own.Limited() && s.version > a.Version {
		a.Version, a.PerSecond, a.Burst = s.version, own.PerSecond, own.Burst
	}
	return s.owner.Ask(now, a)
}

// valid reports whether the numbers of a question make sense.
func valid(a Ask) bool {
	return a.Workspace != "" && a.From != "" && a.quota().Limited() && a.Burst >= 0 && a.Want >= 0 && a.Spent >= 0 && a.Refused >= 0 && a.Part >= 0
}
