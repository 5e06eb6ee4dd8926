package claim_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/state"
	"github.com/snipefront/snipefront/internal/request/claim"
)

// proposer applies commands to a real state. The function fault, where set,
// says what becomes of each proposal.
type proposer struct {
	state *state.State
	fault func(c state.Command) fault
}

// fault is what goes wrong with a proposal.
type fault uint8

const (
	none fault = iota
	// unsent never reaches the state.
	unsent
	// unanswered is applied and its answer is lost.
	unanswered
	// late is applied after its proposer was told of an error.
	late
)

// settled is the time after which no end of a claim is tried any more.
const settled = 2 * time.Minute

// delay is how late a late proposal is applied.
const delay = 3 * time.Second

var errLost = errors.New("no answer")

func (p *proposer) Propose(_ context.Context, c state.Command, result any) error {
	b, err := c.Encode()
	if err != nil {
		return err
	}
	what := none
	if p.fault != nil {
		what = p.fault(c)
	}
	switch what {
	case unsent:
		return errLost
	case late:
		time.AfterFunc(delay, func() { p.state.Apply(0, b) })
		return errLost
	}
	text := p.state.Apply(0, b)
	if what == unanswered {
		return errLost
	}
	return state.Decode(text, result)
}

// handler runs requests as a backend server would.
type handler func() (*snipefront.Response, error)

func (h handler) Serve(context.Context, *snipefront.Request) (*snipefront.Response, error) {
	return h()
}

func filter(p *proposer, origin string) *claim.Filter {
	return &claim.Filter{Proposer: p, Origin: origin, Logger: slog.New(slog.DiscardHandler)}
}

func charge() *snipefront.Request {
	return &snipefront.Request{Service: "charge", IdempotencyKey: "k", Fingerprint: 1, Deadline: time.Now().Add(time.Second)}
}

func ask(f *claim.Filter, h handler) (*snipefront.Response, *snipefront.Error) {
	resp, err := f.Filter(context.Background(), charge(), h)
	return resp, snipefront.AsError(err)
}

func ran() (*snipefront.Response, error) {
	return &snipefront.Response{Status: http.StatusCreated, Body: []byte("charged")}, nil
}

func never(t *testing.T) handler {
	return func() (*snipefront.Response, error) {
		t.Error("the request ran again")
		return ran()
	}
}

// fails returns a handler that ends with the given verdict.
func fails(v snipefront.Verdict) handler {
	return func() (*snipefront.Response, error) {
		return nil, &snipefront.Error{Verdict: v, Reason: snipefront.ReasonBrokenAnswer, Status: http.StatusBadGateway}
	}
}

// TestResendGetsTheKeptAnswer sends a request again through another instance
// after the first two proposals of its end failed.
func TestResendGetsTheKeptAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failures := 2
		p := &proposer{state: &state.State{}, fault: func(c state.Command) fault {
			if c.Settle == nil || failures == 0 {
				return none
			}
			failures--
			return unsent
		}}
		if resp, err := ask(filter(p, "a"), ran); err != nil || string(resp.Body) != "charged" {
			t.Fatalf("first: %+v, %v", resp, err)
		}
		_, err := ask(filter(p, "b"), never(t))
		if err == nil || err.Verdict != snipefront.MayHaveRun || err.RetryAfter == 0 {
			t.Errorf("resend before the end is durable: %+v", err)
		}
		time.Sleep(time.Second)
		resp, err := ask(filter(p, "b"), never(t))
		if err != nil || resp.Status != http.StatusCreated || string(resp.Body) != "charged" {
			t.Errorf("resend: %+v, %v", resp, err)
		}
	})
}

// TestRestartDoesNotRunAgain sends a request again through the instance that
// lost the outcome in a restart.
func TestRestartDoesNotRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &proposer{state: &state.State{}}
		_, _ = ask(filter(p, "a/1"), fails(snipefront.MayHaveRun))
		time.Sleep(time.Hour)
		_, err := ask(filter(p, "a/2"), never(t))
		if err == nil || err.Verdict != snipefront.MayHaveRun || err.Reason != snipefront.ReasonClaimPending {
			t.Errorf("resend after the restart: %+v", err)
		}
	})
}

// TestRefusedRequestMayBeSentAgain releases the claim of a request that surely
// has not run, also where the answer to the claim was lost.
func TestRefusedRequestMayBeSentAgain(t *testing.T) {
	for _, what := range []fault{none, unsent, unanswered} {
		synctest.Test(t, func(t *testing.T) {
			p := &proposer{state: &state.State{}, fault: func(c state.Command) fault {
				if c.Claim != nil && c.Claim.Token == "a/1" {
					return what
				}
				return none
			}}
			_, err := ask(filter(p, "a"), fails(snipefront.NotRun))
			if err == nil || err.Verdict != snipefront.NotRun {
				t.Errorf("fault %d: first: %+v", what, err)
			}
			synctest.Wait()
			if _, err := ask(filter(p, "b"), ran); err != nil {
				t.Errorf("fault %d: resend: %+v", what, err)
			}
		})
	}
}

// TestAtMostOneRun sends one request many times through three instances while
// proposals fail in every way.
func TestAtMostOneRun(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		var err error
		synctest.Test(t, func(*testing.T) { err = simulate(seed) })
		if err != nil {
			r.Fatalf("seed %d: %v", seed, err)
		}
	})
}

// world is what happened in a simulation.
type world struct {
	mu     sync.Mutex
	random *rand.Rand
	runs   int
	wrong  error
}

// below returns a random number below n.
func (w *world) below(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

func simulate(seed uint64) error {
	w := &world{random: rand.New(rand.NewPCG(seed, 0))}
	p := &proposer{state: &state.State{}, fault: func(state.Command) fault {
		time.Sleep(time.Duration(w.below(300)) * time.Millisecond)
		return fault(w.below(int(late) + 1))
	}}
	var all sync.WaitGroup
	for i := range 3 {
		f := filter(p, fmt.Sprint(i))
		for range 6 {
			all.Go(func() {
				time.Sleep(time.Duration(w.below(20000)) * time.Millisecond)
				w.ask(f)
			})
		}
	}
	all.Wait()
	time.Sleep(settled)
	if w.wrong == nil && w.runs > 1 {
		return errors.Errorf("%d runs", w.runs)
	}
	return w.wrong
}

// ask sends the request through f and checks its answer.
func (w *world) ask(f *claim.Filter) {
	own := false
	resp, err := ask(f, func() (*snipefront.Response, error) {
		time.Sleep(time.Duration(w.below(2000)) * time.Millisecond)
		what := w.below(3)
		if what == 0 {
			return fails(snipefront.NotRun)()
		}
		own = true
		w.mu.Lock()
		w.runs++
		w.mu.Unlock()
		if what == 1 {
			return fails(snipefront.MayHaveRun)()
		}
		return ran()
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err == nil && (w.runs == 0 || string(resp.Body) != "charged"):
		w.wrong = errors.Errorf("answer %q after %d runs", resp.Body, w.runs)
	case err != nil && err.Verdict == snipefront.NotRun && own:
		w.wrong = errors.New("a request that ran was told that it had not")
	}
}
