package cell_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/cell"
	"github.com/snipefront/snipefront/internal/dispatch/picker"
)

const (
	servers = 3
	slots   = 4
	warmUp  = time.Second
)

// event is one step of a random test run. Pass is the time that passes before it. Choice
// selects its details, such as the slot to release or the importance of a request.
type event struct {
	Kind, Server, Choice int
	Pass                 time.Duration
}

// The kinds of events. Each kind from wait to lastKind requests a slot, and the request may
// queue if the kind is wait or waitAgain. finish and wait have two numbers each, so that
// they occur more often.
const (
	finish = iota
	finishAgain
	restart
	drain
	expireAnnouncement
	toggleOut
	removeExpired
	wait
	waitAgain
	lastKind = wait + 5
)

// model is the expected state: the requests in flight at each backend server, its last
// announcement and the start of its last cold start.
type model struct {
	cell      *cell.Cell
	held      []*cell.Slot
	inFlight  [servers]int
	coldSince [servers]time.Time
	announced [servers]snipefront.BackendServer
	out       bool
	grants    chan *cell.Slot
	requests  int
	ended     chan struct{}
}

// TestLimitsHoldInAnyOrder checks, at each grant in a random sequence of events, that
// the backend server accepts requests and that its limit isn't exceeded.
func TestLimitsHoldInAnyOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		events := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) event {
			return event{
				Kind:   rapid.IntRange(0, lastKind).Draw(r, "kind"),
				Server: rapid.IntRange(0, servers-1).Draw(r, "server"),
				Choice: rapid.IntRange(0, 99).Draw(r, "choice"),
				Pass:   time.Duration(rapid.IntRange(0, 60).Draw(r, "ms")) * time.Millisecond,
			}
		}), 1, 150).Draw(r, "steps")
		var err error
		synctest.Test(t, func(t *testing.T) { err = run(t.Context(), events) })
		if err != nil {
			r.Fatal(err)
		}
	})
}

func run(ctx context.Context, events []event) error {
	ctx, cancel := context.WithCancel(ctx)
	m := &model{
		cell:   &cell.Cell{Picker: picker.Free{}, MaxQueue: 5, Random: rand.NewPCG(1, 2).Uint64},
		grants: make(chan *cell.Slot, len(events)),
		ended:  make(chan struct{}, len(events)),
	}
	m.setRules(false)
	for i := range servers {
		m.announce(i, false)
	}
	m.cell.Open(time.Now())
	var err error
	for _, e := range events {
		time.Sleep(e.Pass)
		m.do(ctx, e)
		synctest.Wait()
		if err = m.checkGrants(); err != nil {
			break
		}
	}
	cancel()
	for range m.requests {
		<-m.ended
	}
	return err
}

func (m *model) setRules(out bool) {
	m.out = out
	m.cell.SetRules(time.Now(), cell.Rules{ColdLimit: 1, WarmUp: warmUp, Out: out})
}

// announce announces a new incarnation of a backend server.
func (m *model) announce(i int, draining bool) {
	b := server(i)
	b.Incarnation = m.announced[i].Incarnation + 1
	b.Draining = draining
	m.coldSince[i] = time.Now()
	m.announced[i] = b
	m.cell.Announce(time.Now(), b)
}

func (m *model) do(ctx context.Context, e event) {
	switch e.Kind {
	case finish, finishAgain:
		m.finish(e)
	case restart:
		m.announce(e.Server, false)
	case drain:
		m.announce(e.Server, true)
	case expireAnnouncement:
		m.announced[e.Server].Expires = time.Now()
		m.cell.Announce(time.Now(), m.announced[e.Server])
	case toggleOut:
		m.setRules(!m.out)
	case removeExpired:
		m.cell.Expire(time.Now())
	default:
		m.acquire(ctx, e)
	}
}

func (m *model) finish(e event) {
	if len(m.held) == 0 {
		return
	}
	i := e.Choice % len(m.held)
	slot := m.held[i]
	m.held = append(m.held[:i], m.held[i+1:]...)
	m.inFlight[serverIndex(slot)]--
	o := cell.Answered
	if e.Choice >= 80 {
		o = cell.Outcome(e.Choice % 4)
	}
	slot.Done(o)
}

func (m *model) acquire(ctx context.Context, e event) {
	r := cell.SlotRequest{
		Importance: snipefront.Importance(e.Choice % 3),
		Deadline:   time.Now().Add(time.Duration(e.Choice) * 10 * time.Millisecond),
		MayQueue:   e.Kind <= waitAgain,
	}
	if e.Choice%5 == 0 {
		r.Avoid = []string{server(e.Server).Name}
	}
	m.requests++
	go func() {
		if slot, err := m.cell.Acquire(ctx, r); err == nil {
			m.grants <- slot
		}
		m.ended <- struct{}{}
	}()
}

// checkGrants checks the slots granted in the last step.
func (m *model) checkGrants() error {
	for {
		select {
		case s := <-m.grants:
			m.held = append(m.held, s)
			m.inFlight[serverIndex(s)]++
			if err := m.check(serverIndex(s)); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

func (m *model) check(i int) error {
	now := time.Now()
	n := m.inFlight[i]
	b := m.announced[i]
	switch {
	case m.out:
		return fmt.Errorf("a slot was granted while the data centre is out of service")
	case b.Draining || !now.Before(b.Expires):
		return fmt.Errorf("a slot of backend server %d was granted, which is draining or expired", i)
	case n > slots:
		return fmt.Errorf("%d requests in flight at backend server %d, which has %d slots", n, i, slots)
	case n > 1 && now.Before(m.coldSince[i].Add(warmUp)):
		return fmt.Errorf("%d requests in flight at backend server %d, which is cold and has a limit of 1", n, i)
	}
	return nil
}

func serverIndex(s *cell.Slot) int {
	return int(s.BackendServer.Name[0] - '0')
}
