package raft_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/snipefront/snipefront/internal/quorum/raft"
)

const (
	// siteElection and siteHeartbeat are the times of a fleet's control instances.
	siteElection  = 800 * time.Millisecond
	siteHeartbeat = siteElection / 3
	// siteVoters is the most voters of an open group that tolerates the loss of up to two.
	siteVoters = 5
	// catchUp is the time for which a machine stays lost after its start or its return.
	catchUp = 4 * time.Second
	// recovery is the time until orders are taken again, once all machines are back after more
	// was lost than is tolerated.
	recovery = 15 * time.Second
	// stable is the time after the last disturbance from which on an order must be acknowledged
	// within ackTimeout.
	stable     = 3 * time.Second
	ackTimeout = 4 * time.Second
	// leaveTimeout is the time for which a process that ends as planned waits for an answer.
	leaveTimeout = 4 * time.Second
	// orderInterval is the time between two orders.
	orderInterval = 100 * time.Millisecond
	// siteLog is the number of entries between two snapshots, and of those before a snapshot that
	// are kept.
	siteLog = 100
	// dropOneIn and delayOneIn are how rarely a message is lost, and arrives late.
	dropOneIn, delayOneIn = 100, 20
)

// site is a group whose machines are killed, frozen, cut off, replaced by machines of other names,
// and lose their disks. An operator gives orders all the while. Its checks are those of fleet and
// what the operator is promised: orders are acknowledged while no more than tolerance is lost, and
// none that was acknowledged is lost.
type site struct {
	*fleet
	tolerance int
	// seeds are the names that each replica is configured with at the first start, and later in
	// a closed group. Later, a replica of an open group gets three of the machines.
	seeds []string
	// started is true once the first start is over. kept tells which disks were there and keep
	// the seeds.
	started bool
	kept    map[string]bool
	// places is the number of places over which the machines are spread, in turn by their
	// numbers unless place says otherwise, or zero.
	places int
	place  map[string]int
	// machines are those of the site, without those that were removed.
	machines []string
	frozen   map[string]bool
	// placeLost is true while the machines that are lost are those of one place.
	placeLost bool
	// lost holds the machines that count as lost, with the time at which each stops to count. It
	// is zero while the machine is down, frozen or cut off.
	lost map[string]time.Time
	// ending holds the machines whose processes end as planned.
	ending map[string]bool
	// fresh holds the machines that were added beside the others, with the time until which a
	// further loss needn't be borne.
	fresh map[string]time.Time
	// timers are the actions that are still to come.
	timers []siteTimer
	// disturbed is the time of the last action, acknowledged that of the last acknowledgement.
	disturbed, acknowledged time.Time
	// suspended is true from a loss of more than tolerance until all machines are back, and
	// recoverUntil the time until which they may take to serve again.
	suspended    bool
	split        bool
	recoverUntil time.Time
	nextOrder    time.Time
	// drop tells whether a message gets lost, beside those that get lost at random. Nil drops none.
	drop func(m raft.Message) bool
	// distant is a machine whose messages take one step more, and held are those on their way to it.
	distant string
	held    []raft.Message
	// orders holds the term of each order that isn't acknowledged, by index.
	orders map[uint64]uint64
	// led tells of the leader, as it was noted last.
	led string
	// history tells what was done, for the message of a failure.
	history []string
}

type siteTimer struct {
	at time.Time
	do func()
}

// newSite returns a site of size machines, of which the losses of tolerance machines must be borne.
// open tells whether machines of other names may join. It runs until all machines have joined.
func newSite(seed uint64, size, tolerance int, open bool) *site {
	s := newSiteWithout(seed, size, tolerance, open)
	for i := range size {
		s.add(fmt.Sprint("m", i+1))
	}
	s.started = true
	s.advance(2 * stable)
	for _, n := range s.machines {
		if l := s.leading(); l == nil || s.nodes[n].applied < l.applied-10 {
			s.fail("%s hasn't joined after the first start", n)
		}
	}
	return s
}

// newSiteWithout returns a site to which size machines can be added before its first start ends.
func newSiteWithout(seed uint64, size, tolerance int, open bool) *site {
	s := &site{
		fleet: newFleet(seed, 0), tolerance: tolerance, kept: map[string]bool{}, place: map[string]int{}, frozen: map[string]bool{}, lost: map[string]time.Time{},
		fresh: map[string]time.Time{}, ending: map[string]bool{}, orders: map[uint64]uint64{},
	}
	s.compactAfter, s.retained = siteLog, siteLog
	for i := range size {
		s.seeds = append(s.seeds, fmt.Sprint("m", i+1))
	}
	if open {
		s.seeds = s.seeds[:3]
	}
	s.configure = func(r *raft.Replica) {
		r.Names, r.Heartbeat, r.Election, r.JoinOnly = slices.Clone(s.seeds), siteHeartbeat, siteElection, s.started && !s.kept[r.Name]
		if s.kept[r.Name] {
			r.Seeds = slices.Clone(s.seeds)
		}
		if open && s.started {
			r.Names = s.someMachines()
		}
		if open {
			r.Leaseless, r.MaxVoters, r.MinVoters, r.Place = true, s.maxVoters(), 2*tolerance+1, s.placeOf
		}
	}
	s.acknowledged, s.disturbed = s.now, s.now
	return s
}

// maxVoters returns the most voters of an open group.
func (s *site) maxVoters() int { return max(siteVoters, 2*s.tolerance+1) }

// placeOf returns the place of a machine, or "" if the site has none.
func (s *site) placeOf(name string) string {
	if s.places == 0 {
		return ""
	}
	return fmt.Sprint("p", s.place[name])
}

// spreadOver tells that the machines are in places, in turn.
func (s *site) spreadOver(places int) {
	s.places = places
	for i, n := range s.machines {
		s.place[n] = i % max(places, 1)
	}
}

// someMachines returns as many machines as there are seeds.
func (s *site) someMachines() []string {
	list := slices.Clone(s.machines)
	s.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(s.seeds), len(list))]
}

// add adds a machine with an empty disk.
func (s *site) add(name string) {
	s.names, s.machines = append(s.names, name), append(s.machines, name)
	s.kept[name] = !s.started
	if _, ok := s.place[name]; !ok && s.places > 0 {
		s.place[name] = len(s.names) % s.places
	}
	s.replace(name)
}

// addNext adds a machine under a name that no other has had, and returns the name.
func (s *site) addNext() string {
	name := fmt.Sprint("m", len(s.names)+1)
	s.add(name)
	s.lost[name] = s.now.Add(catchUp)
	return name
}

func (s *site) note(format string, args ...any) {
	s.disturbed = s.now
	s.history = append(s.history, fmt.Sprintf("%.2f ", s.now.Sub(time.Unix(1000, 0)).Seconds())+fmt.Sprintf(format, args...))
}

// after schedules do.
func (s *site) after(d time.Duration, do func()) {
	s.timers = append(s.timers, siteTimer{at: s.now.Add(d), do: do})
}

// kill ends the process of a machine. It doesn't come back by itself.
func (s *site) kill(name string) {
	s.note("%s is killed", name)
	s.lost[name] = time.Time{}
	s.crash(s.nodes[name])
}

// start starts the process of a machine again.
func (s *site) start(name string) {
	s.note("%s starts", name)
	s.restart(name)
	s.lost[name] = s.now.Add(catchUp)
}

// wipe has a machine that is down come back with an empty disk.
func (s *site) wipe(name string) {
	s.note("%s starts with an empty disk", name)
	s.kept[name] = false
	s.replace(name)
	s.lost[name] = s.now.Add(catchUp)
}

// remove takes a machine away for good, which stops counting once its successor does.
func (s *site) remove(name, successor string) {
	s.note("%s is removed, its successor is %s", name, successor)
	s.crash(s.nodes[name])
	s.machines = slices.DeleteFunc(s.machines, func(n string) bool { return n == name })
	delete(s.lost, name)
	if successor == "" {
		s.lost[name] = time.Time{}
	}
}

// terminate has the process of a machine end as planned, and calls ended once it has.
func (s *site) terminate(name string, ended func()) {
	s.note("%s is terminated", name)
	s.ending[name] = true
	replica, begun := s.nodes[name].Replica, s.now
	replica.Leave(s.clock(s.nodes[name]))
	var poll func()
	poll = func() {
		left, refused := replica.HasLeft()
		if !left && s.now.Sub(begun) < leaveTimeout {
			s.after(step, poll)
			return
		}
		s.note("%s ends, answered %v, refused %v", name, left, refused)
		delete(s.ending, name)
		ended()
	}
	s.after(step, poll)
}

// lostMachines returns the number of machines that count as lost.
func (s *site) lostMachines() int {
	n := 0
	for _, until := range s.lost {
		if until.IsZero() || s.now.Before(until) {
			n++
		}
	}
	return n
}

// freshMachines returns the number of machines that were added less than catchUp ago.
func (s *site) freshMachines() int {
	n := 0
	for _, until := range s.fresh {
		if s.now.Before(until) {
			n++
		}
	}
	return n
}

// allBack reports whether all machines run and reach each other.
func (s *site) allBack() bool {
	if s.split {
		return false
	}
	for _, until := range s.lost {
		if until.IsZero() {
			return false
		}
	}
	return true
}

// advance runs the site for the duration d, or until something has failed.
func (s *site) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end) && s.failure == nil; {
		s.now = s.now.Add(step)
		s.runTimers()
		for _, n := range s.names {
			if !s.frozen[n] {
				s.tick(s.nodes[n], false)
			}
		}
		s.deliverAll()
		s.order()
		s.check()
	}
}

func (s *site) runTimers() {
	due := slices.DeleteFunc(slices.Clone(s.timers), func(t siteTimer) bool { return s.now.Before(t.at) })
	s.timers = slices.DeleteFunc(s.timers, func(t siteTimer) bool { return !s.now.Before(t.at) })
	for _, t := range due {
		t.do()
	}
}

// deliverAll delivers the messages that were sent, in any order. Some are late or get lost.
func (s *site) deliverAll() {
	list, arrived := s.network, s.held
	s.network, s.held = nil, nil
	s.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for _, m := range list {
		switch {
		case s.nodes[m.ToName] == nil || s.drop != nil && s.drop(m):
		case s.IntN(dropOneIn) == 0 || s.frozen[m.ToName] || s.cutLinks[[2]string{m.FromName, m.ToName}]:
		case s.IntN(delayOneIn) == 0:
			s.network = append(s.network, m)
		case m.ToName == s.distant:
			s.held = append(s.held, m)
		default:
			s.deliverTo(s.nodes[m.ToName], m)
		}
	}
	for _, m := range arrived {
		s.deliverTo(s.nodes[m.ToName], m)
	}
}

// leading returns the leader of the latest term, or nil.
func (s *site) leading() *node {
	var l *node
	for _, n := range s.names {
		if n := s.nodes[n]; n.up && n.Leads() && (l == nil || n.Term() > l.Term()) {
			l = n
		}
	}
	return l
}

// order gives an order to the leader, and notes which ones are acknowledged.
func (s *site) order() {
	for index, term := range s.orders {
		if e, ok := s.committed[index]; ok {
			if e.Term == term {
				s.acknowledged = s.now
			}
			delete(s.orders, index)
		}
	}
	l := s.leading()
	s.noteLeader(l)
	if l == nil || s.frozen[l.Name] || s.now.Before(s.nextOrder) {
		return
	}
	s.nextOrder = s.now.Add(orderInterval)
	s.proposed++
	if index, term, ok := l.Propose([][]byte{fmt.Appendf(nil, "%d", s.proposed)}); ok {
		s.orders[index] = term
		s.process(l, false)
	}
}

// noteLeader adds a new leader, and each change of the voters, to the history.
func (s *site) noteLeader(l *node) {
	if l == nil {
		return
	}
	if text := fmt.Sprintf("%s leads term %d with %v", l.Name, l.Term(), l.Quorum().Voters); text != s.led {
		s.led = text
		s.history = append(s.history, fmt.Sprintf("%.2f %s", s.now.Sub(time.Unix(1000, 0)).Seconds(), text))
	}
}
