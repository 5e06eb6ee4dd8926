package grant

import "time"

const (
	// quietTime is the time without contact with a control instance after which others are
	// pinged, and cutOffTime the one after which an instance that reaches fewer than half
	// of them counts as cut off. A view drops it 2 s after its last contact, and the next
	// owner begins slowly for 2 s.
	quietTime  = 1500 * time.Millisecond
	cutOffTime = 3 * time.Second
	// pingInterval is the time between two pings, and pongLife the time for which an
	// answer counts.
	pingInterval = 500 * time.Millisecond
	pongLife     = 1500 * time.Millisecond
)

// reachability records which instances answer.
type reachability struct {
	pinged time.Time
	pongs  map[string]time.Time
}

// pong records an answer.
func (r *reachability) pong(now time.Time, from string) {
	if r.pongs == nil {
		r.pongs = map[string]time.Time{}
	}
	r.pongs[from] = now
}

// reached returns the number of instances that have answered lately, and drops the others.
func (r *reachability) reached(now time.Time) int {
	for name, at := range r.pongs {
		if now.Sub(at) > pongLife {
			delete(r.pongs, name)
		}
	}
	return len(r.pongs)
}

// tick notices a stall and lost contact. While control instances don't answer, an owner
// goes on if it reaches most instances: then no view can have named another one.
func (s *Service) tick(time.Time) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init(now)
	s.owner.Tick(now)
	if s.LastContact == nil {
		return
	}
	s.checkContact(now, s.LastContact())
}

// checkContact pings the other instances if the last contact with a control instance is long
// ago, and finds out whether this instance is cut off. The lock is held.
func (s *Service) checkContact(now, last time.Time) {
	if last.Before(s.begun) {
		last = s.begun
	}
	silent := now.Sub(last)
	if silent >= quietTime && now.Sub(s.reach.pinged) >= pingInterval {
		s.reach.pinged = now
		s.ping()
	}
	others := len(s.place.instances.Instances) - 1
	cutOff := silent >= cutOffTime && 2*s.reach.reached(now) < others
	if cutOff != s.owner.cutOff {
		s.Logger.Info("contact with the control instances and most others", "lost", cutOff, "silent", silent, "reached", len(s.reach.pongs), "instances", others)
	}
	s.owner.SetCutOff(now, cutOff)
}

// ping asks all other instances for an answer. The lock is held.
func (s *Service) ping() {
	for _, n := range s.place.instances.Instances {
		if n.Name != s.Self {
			s.send(n.PeerAddress, datagram{Ping: s.Self})
		}
	}
}
