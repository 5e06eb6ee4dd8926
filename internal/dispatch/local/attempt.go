package local

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/cell"
	"github.com/snipefront/snipefront/internal/dispatch/sender"
	"github.com/snipefront/snipefront/internal/request/poison"
)

// attempt runs r once, or twice if it is hedged, and records the result in p. If
// there was no answer, avoid names the backend server that a retry should not use.
// It is empty after a half-open connection, since the backend server itself works.
func (d *Dispatcher) attempt(ctx context.Context, slotRequest cell.SlotRequest, r *snipefront.Request, service snipefront.Service, p *progress) (a sender.Attempt, avoid string, err error) {
	slot, suspect, release, err := d.acquire(ctx, slotRequest, r)
	if err != nil {
		return a, "", err
	}
	defer release()
	p.attempts++
	if after := d.hedgeAfter(r); after > 0 && !suspect && p.broken == 0 {
		a = d.race(ctx, after, slotRequest.Avoid, slot, r, service, p)
	} else {
		a = d.send(ctx, slot, r, service, p.halfOpen)
		p.record(a)
	}
	if a.Silent {
		return a, "", nil
	}
	return a, slot.BackendServer.Name, nil
}

func (d *Dispatcher) hedgeAfter(r *snipefront.Request) time.Duration {
	if !r.Idempotent || d.Hedges == nil || d.HedgeAfter == nil {
		return 0
	}
	return d.HedgeAfter()
}

// race sends r on slot, and after the given time sends a hedge to a backend server
// not in avoid. It returns the better of the two attempts.
func (d *Dispatcher) race(ctx context.Context, after time.Duration, avoid []string, slot *cell.Slot, r *snipefront.Request, service snipefront.Service, p *progress) sender.Attempt {
	first, cancelFirst := context.WithCancel(ctx)
	defer cancelFirst()
	h := &hedgedAttempt{}
	h.running.Add(1)
	t := time.AfterFunc(after, func() {
		defer h.running.Done()
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		if !h.begin(cancel) {
			return
		}
		h.attempt = d.hedge(ctx, append(slices.Clone(avoid), slot.BackendServer.Name), r, service)
		if isSuccess(h.attempt) {
			cancelFirst()
		}
	})
	a := d.send(first, slot, r, service, p.halfOpen)
	p.record(a)
	if t.Stop() {
		return a
	}
	if isSuccess(a) {
		h.stop()
	}
	h.running.Wait()
	b := h.attempt
	p.record(b)
	if isSuccess(b) && !isSuccess(a) || b.Response != nil && a.Response == nil {
		return b
	}
	return a
}

// hedgedAttempt is the second attempt of a race. Its context is created only when it
// begins, since most races end before.
type hedgedAttempt struct {
	running sync.WaitGroup
	// attempt is set once running is done.
	attempt sender.Attempt

	mu      sync.Mutex
	stopped bool
	cancel  context.CancelFunc
}

// begin stores the function that cancels the attempt, and reports whether the
// attempt may start: it may not after stop.
func (h *hedgedAttempt) begin(cancel context.CancelFunc) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cancel = cancel
	h.attempt = sender.Attempt{Verdict: snipefront.NotRun, Reason: snipefront.ReasonHedge, Err: context.Canceled}
	return !h.stopped
}

// stop cancels the attempt, now or when it begins.
func (h *hedgedAttempt) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	if h.cancel != nil {
		h.cancel()
	}
}

// hedge sends r a second time to a backend server not in avoid, if one has a free
// slot and the hedge budget allows it.
func (d *Dispatcher) hedge(ctx context.Context, avoid []string, r *snipefront.Request, service snipefront.Service) sender.Attempt {
	unsent := sender.Attempt{Verdict: snipefront.NotRun, Reason: snipefront.ReasonHedge, Err: ctx.Err()}
	if ctx.Err() != nil {
		return unsent
	}
	slot, err := d.Cell.Acquire(ctx, cell.SlotRequest{Importance: r.Importance, Deadline: r.Deadline, Avoid: avoid, FreeOnly: true})
	if err != nil {
		unsent.Err = err
		return unsent
	}
	if !d.Hedges.Spend() {
		slot.Done(cell.Canceled)
		return unsent
	}
	d.Counter.Retried(r.Service, snipefront.ReasonHedge)
	return d.send(ctx, slot, r, service, false)
}

// isSuccess reports whether a has an answer with a status below 500, which ends a
// race.
func isSuccess(a sender.Attempt) bool {
	return a.Response != nil && a.Response.Status < http.StatusInternalServerError
}

// send sends r on slot and releases the slot. If proven is true, it uses only a
// connection that is new or has answered recently.
func (d *Dispatcher) send(ctx context.Context, slot *cell.Slot, r *snipefront.Request, service snipefront.Service, proven bool) sender.Attempt {
	b := slot.BackendServer
	d.Poison.Alive(time.Now(), serverOf(b))
	send := d.Sender.Send
	if proven {
		send = d.Sender.SendProven
	}
	a := send(ctx, b, r, service)
	if a.Verdict == snipefront.MayHaveRun && (ctx.Err() != nil || a.Silent) {
		slot.DoneAfter(outcome(ctx, a), cancelDelay)
	} else {
		slot.Done(outcome(ctx, a))
	}
	if a.Response != nil && snipefront.ShowsCompleteRun(a.Response.Status) {
		d.Poison.Answered(time.Now(), r.Fingerprint, poison.Answer{Server: serverOf(b), Status: a.Response.Status})
	}
	if a.Response != nil {
		d.Poison.Heard(time.Now(), serverOf(b))
	}
	switch {
	case ctx.Err() != nil && a.Verdict == snipefront.MayHaveRun && a.Response == nil:
		// b may run r on, and crash.
		d.Poison.ConnectionBroke(time.Now(), r.Fingerprint, serverOf(b))
	case ctx.Err() != nil:
	case isBroken(a):
		d.Poison.ConnectionBroke(time.Now(), r.Fingerprint, serverOf(b))
		d.checkCrash(ctx, b, service)
	case a.Reason == snipefront.ReasonConnect && d.Poison.MayCrash(serverOf(b)):
		d.checkCrash(ctx, b, service)
	}
	return a
}

// outcome returns what the cell records about the backend server of an attempt.
func outcome(ctx context.Context, a sender.Attempt) cell.Outcome {
	switch {
	case isSuccess(a):
		return cell.Answered
	case a.Reason == snipefront.ReasonConnect:
		return cell.Failed
	case a.Silent:
		return cell.Canceled
	case a.Response == nil && errors.Is(ctx.Err(), context.Canceled):
		return cell.Canceled
	default:
		return cell.Dropped
	}
}

// checkCrash records that b crashed if it fails a check over a new connection.
func (d *Dispatcher) checkCrash(ctx context.Context, b snipefront.BackendServer, service snipefront.Service) {
	if d.Poison == nil {
		return
	}
	if !d.Sender.Check(ctx, b, service) && ctx.Err() == nil {
		d.Poison.Crashed(time.Now(), serverOf(b))
	}
}

func serverOf(b snipefront.BackendServer) poison.Server {
	return poison.Server{Service: b.Service, DataCentre: b.DataCentre, Name: b.Name, Incarnation: b.Incarnation}
}
