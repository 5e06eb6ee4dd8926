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

// step is one event of a random history.
type step struct {
	Kind, Server, Choice int
	Pass                 time.Duration
}

// The kinds of step; any higher one takes a slot.
const (
	finish = iota
	finishToo
	restart
	drain
	withdraw
	leaveOrReturn
	expire
	wait
	waitToo
	kinds = wait + 5
)

// model is what a history implies: the work at each backend server and when it
// began its last cold start.
type model struct {
	cell     *cell.Cell
	held     []*cell.Slot
	inFlight [servers]int
	began    [servers]time.Time
	current  [servers]snipefront.BackendServer
	out      bool
	grants   chan *cell.Slot
	asked    int
	ended    chan struct{}
}

// TestLimitsHoldInAnyOrder checks at each grant of a random history that the
// backend server may take it.
func TestLimitsHoldInAnyOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) step {
			return step{
				Kind:   rapid.IntRange(0, kinds).Draw(r, "kind"),
				Server: rapid.IntRange(0, servers-1).Draw(r, "server"),
				Choice: rapid.IntRange(0, 99).Draw(r, "choice"),
				Pass:   time.Duration(rapid.IntRange(0, 60).Draw(r, "ms")) * time.Millisecond,
			}
		}), 1, 150).Draw(r, "steps")
		var err error
		synctest.Test(t, func(t *testing.T) { err = play(t.Context(), steps) })
		if err != nil {
			r.Fatal(err)
		}
	})
}

func play(ctx context.Context, steps []step) error {
	ctx, cancel := context.WithCancel(ctx)
	m := &model{
		cell:   &cell.Cell{Picker: picker.Free{}, MaxQueue: 5, Random: rand.NewPCG(1, 2).Uint64},
		grants: make(chan *cell.Slot, len(steps)),
		ended:  make(chan struct{}, len(steps)),
	}
	m.rule(false)
	for i := range servers {
		m.announce(i, false)
	}
	m.cell.Open(time.Now())
	var err error
	for _, s := range steps {
		time.Sleep(s.Pass)
		m.do(ctx, s)
		synctest.Wait()
		if err = m.granted(); err != nil {
			break
		}
	}
	cancel()
	for range m.asked {
		<-m.ended
	}
	return err
}

func (m *model) rule(out bool) {
	m.out = out
	m.cell.Rule(time.Now(), cell.Rules{ColdLimit: 1, WarmUp: warmUp, Out: out})
}

// announce starts a new incarnation of a backend server.
func (m *model) announce(i int, draining bool) {
	b := server(i)
	b.Incarnation = m.current[i].Incarnation + 1
	b.Draining = draining
	m.began[i] = time.Now()
	m.current[i] = b
	m.cell.Announce(time.Now(), b)
}

func (m *model) do(ctx context.Context, s step) {
	switch s.Kind {
	case finish, finishToo:
		m.finish(s)
	case restart:
		m.announce(s.Server, false)
	case drain:
		m.announce(s.Server, true)
	case withdraw:
		m.current[s.Server].Expires = time.Now()
		m.cell.Announce(time.Now(), m.current[s.Server])
	case leaveOrReturn:
		m.rule(!m.out)
	case expire:
		m.cell.Expire(time.Now())
	default:
		m.ask(ctx, s)
	}
}

func (m *model) finish(s step) {
	if len(m.held) == 0 {
		return
	}
	i := s.Choice % len(m.held)
	slot := m.held[i]
	m.held = append(m.held[:i], m.held[i+1:]...)
	m.inFlight[index(slot)]--
	o := cell.Answered
	if s.Choice >= 80 {
		o = cell.Outcome(s.Choice % 4)
	}
	slot.Done(o)
}

func (m *model) ask(ctx context.Context, s step) {
	w := cell.Wanted{
		Importance: snipefront.Importance(s.Choice % 3),
		Deadline:   time.Now().Add(time.Duration(s.Choice) * 10 * time.Millisecond),
		MayQueue:   s.Kind <= waitToo,
	}
	if s.Choice%5 == 0 {
		w.Avoid = server(s.Server).Name
	}
	m.asked++
	go func() {
		if slot, err := m.cell.Acquire(ctx, w); err == nil {
			m.grants <- slot
		}
		m.ended <- struct{}{}
	}()
}

// granted checks the slots given in the last step.
func (m *model) granted() error {
	for {
		select {
		case s := <-m.grants:
			m.held = append(m.held, s)
			m.inFlight[index(s)]++
			if err := m.check(index(s)); err != nil {
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
	b := m.current[i]
	switch {
	case m.out:
		return fmt.Errorf("a grant while the data centre is out")
	case b.Draining || !now.Before(b.Expires):
		return fmt.Errorf("a grant at backend server %d, which is leaving", i)
	case n > slots:
		return fmt.Errorf("%d requests at backend server %d of %d slots", n, i, slots)
	case n > 1 && now.Before(m.began[i].Add(warmUp)):
		return fmt.Errorf("%d requests at backend server %d in cold start", n, i)
	}
	return nil
}

func index(s *cell.Slot) int {
	return int(s.BackendServer.Name[0] - '0')
}
