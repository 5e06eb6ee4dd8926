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

// fakeProposer applies commands to a real state. The function fault, if set, returns
// the fault to inject for each proposal.
type fakeProposer struct {
	state *state.State
	fault func(c state.Command) fault
}

// fault is a failure of a proposal.
type fault uint8

const (
	none fault = iota
	// dropped means that the command never reaches the state.
	dropped
	// resultLost means that the command is applied and its result is lost.
	resultLost
	// delayed means that the proposer receives an error and the command is applied
	// after applyDelay.
	delayed
)

// settleWindow is longer than the time for which settling a claim is retried.
const settleWindow = 2 * time.Minute

// applyDelay is the time after which a delayed command is applied.
const applyDelay = 3 * time.Second

var errLost = errors.New("result lost")

func (p *fakeProposer) Propose(_ context.Context, c state.Command, result any) error {
	b, err := c.Encode()
	if err != nil {
		return err
	}
	injected := none
	if p.fault != nil {
		injected = p.fault(c)
	}
	switch injected {
	case dropped:
		return errLost
	case delayed:
		time.AfterFunc(applyDelay, func() { p.state.Apply(0, b) })
		return errLost
	}
	encoded := p.state.Apply(0, b)
	if injected == resultLost {
		return errLost
	}
	return state.Decode(encoded, result)
}

// handler stands for the backend server that runs the request.
type handler func() (*snipefront.Response, error)

func (h handler) Serve(context.Context, *snipefront.Request) (*snipefront.Response, error) {
	return h()
}

func newFilter(p *fakeProposer, origin string) *claim.Filter {
	return &claim.Filter{Proposer: p, Origin: origin, Logger: slog.New(slog.DiscardHandler)}
}

func newRequest() *snipefront.Request {
	return &snipefront.Request{Service: "charge", IdempotencyKey: "k", Fingerprint: 1, Deadline: time.Now().Add(time.Second)}
}

func send(f *claim.Filter, h handler) (*snipefront.Response, *snipefront.Error) {
	resp, err := f.Filter(context.Background(), newRequest(), h)
	return resp, snipefront.AsError(err)
}

func succeed() (*snipefront.Response, error) {
	return &snipefront.Response{Status: http.StatusCreated, Body: []byte("charged")}, nil
}

func mustNotRun(t *testing.T) handler {
	return func() (*snipefront.Response, error) {
		t.Error("the request ran again")
		return succeed()
	}
}

// failWith returns a handler that fails with the given verdict.
func failWith(v snipefront.Verdict) handler {
	return func() (*snipefront.Response, error) {
		return nil, &snipefront.Error{Verdict: v, Reason: snipefront.ReasonBrokenAnswer, Status: http.StatusBadGateway}
	}
}

// TestResendGetsStoredResponse guards against a resend that runs the request again or
// never gets the stored response because settling the claim failed at first. It resends
// through another instance while two proposals to settle fail, and after that.
func TestResendGetsStoredResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failures := 2
		p := &fakeProposer{state: &state.State{}, fault: func(c state.Command) fault {
			if c.Settle == nil || failures == 0 {
				return none
			}
			failures--
			return dropped
		}}
		if resp, err := send(newFilter(p, "a"), succeed); err != nil || string(resp.Body) != "charged" {
			t.Fatalf("first request: got %+v, %v, want the body charged", resp, err)
		}
		_, err := send(newFilter(p, "b"), mustNotRun(t))
		if err == nil || err.Verdict != snipefront.MayHaveRun || err.RetryAfter == 0 {
			t.Errorf("resend before the claim is settled: got %+v, want the verdict MayHaveRun with a Retry-After time", err)
		}
		time.Sleep(time.Second)
		resp, err := send(newFilter(p, "b"), mustNotRun(t))
		if err != nil || resp.Status != http.StatusCreated || string(resp.Body) != "charged" {
			t.Errorf("resend: got %+v, %v, want status 201 with the body charged", resp, err)
		}
	})
}

// TestResendAfterRestartDoesNotRun guards against a second run of a request whose outcome
// is unknown. It is resent through the same instance after a restart, in which the
// instance loses what it held in memory about the request.
func TestResendAfterRestartDoesNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeProposer{state: &state.State{}}
		_, _ = send(newFilter(p, "a/1"), failWith(snipefront.MayHaveRun))
		time.Sleep(time.Hour)
		_, err := send(newFilter(p, "a/2"), mustNotRun(t))
		if err == nil || err.Verdict != snipefront.MayHaveRun || err.Reason != snipefront.ReasonClaimPending {
			t.Errorf("resend after the restart: got %+v, want a refusal for a pending claim with the verdict MayHaveRun", err)
		}
	})
}

// TestRefusedRequestMayBeResent checks that the claim of a request that certainly did
// not run is released, even if the claim or its result was lost. Without a claim the
// verdict is not NotRun, since an earlier request with the key may have run.
func TestRefusedRequestMayBeResent(t *testing.T) {
	for _, injected := range []fault{none, dropped, resultLost, delayed} {
		synctest.Test(t, func(t *testing.T) {
			p := &fakeProposer{state: &state.State{}, fault: func(c state.Command) fault {
				if c.Claim != nil && c.Claim.Token == "a/1" {
					return injected
				}
				return none
			}}
			_, err := send(newFilter(p, "a"), failWith(snipefront.NotRun))
			want := snipefront.NotRun
			if injected != none {
				want = snipefront.MayHaveRun
			}
			if err == nil || err.Verdict != want {
				t.Errorf("fault %d: first request: got %+v, want NotRun without a fault and MayHaveRun with one", injected, err)
			}
			time.Sleep(2 * applyDelay)
			if _, err := send(newFilter(p, "b"), succeed); err != nil {
				t.Errorf("fault %d: resend: got %+v, want a response", injected, err)
			}
		})
	}
}

// TestAtMostOneRun sends one request 18 times through three instances while proposals
// fail in every way. It checks that the request runs at most once, and that no response
// contradicts the runs so far.
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

// simulation is the state of one simulated run of TestAtMostOneRun.
type simulation struct {
	mu        sync.Mutex
	random    *rand.Rand
	runs      int
	violation error
}

// intN returns a random number from 0 to n-1.
func (s *simulation) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

func simulate(seed uint64) error {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 0))}
	p := &fakeProposer{state: &state.State{}, fault: func(state.Command) fault {
		time.Sleep(time.Duration(s.intN(300)) * time.Millisecond)
		return fault(s.intN(int(delayed) + 1))
	}}
	var wg sync.WaitGroup
	for i := range 3 {
		f := newFilter(p, fmt.Sprint(i))
		for range 6 {
			wg.Go(func() {
				time.Sleep(time.Duration(s.intN(20000)) * time.Millisecond)
				s.send(f)
			})
		}
	}
	wg.Wait()
	time.Sleep(settleWindow)
	if s.violation == nil && s.runs > 1 {
		return errors.Errorf("the request ran %d times, want at most once", s.runs)
	}
	return s.violation
}

// send sends the request through f and checks its response against the runs so far.
func (s *simulation) send(f *claim.Filter) {
	resp, err := send(f, func() (*snipefront.Response, error) {
		time.Sleep(time.Duration(s.intN(2000)) * time.Millisecond)
		outcome := s.intN(3)
		if outcome == 0 {
			return failWith(snipefront.NotRun)()
		}
		s.mu.Lock()
		s.runs++
		s.mu.Unlock()
		if outcome == 1 {
			return failWith(snipefront.MayHaveRun)()
		}
		return succeed()
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil && (s.runs == 0 || string(resp.Body) != "charged"):
		s.violation = errors.Errorf("got response %q after %d runs, want the body charged after at least one", resp.Body, s.runs)
	case err != nil && err.Verdict == snipefront.NotRun && s.runs > 0:
		s.violation = errors.Errorf("got the verdict NotRun after %d runs: %v", s.runs, err)
	}
}
