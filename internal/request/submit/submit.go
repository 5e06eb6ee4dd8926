// Package submit shares what one instance learns with all others, through the replicated
// state of the fleet: suspects, which are the requests in flight on crashed backend
// servers, and reports of backend servers, their rate limits and warm-ups. An instance
// submits its own records to the control quorum, and receives those of others with its
// view. The log also grants trial runs of quarantined requests (Trials).
package submit

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/snipefront/snipefront/internal/clock/timer"
	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/request/poison"
)

// maxPending bounds the records that wait to be submitted. Beyond it, the one that is
// valid for the shortest time is dropped: a request that crashed one backend server rather
// than one that is quarantined.
const maxPending = 1024

const (
	// maxBatch bounds the records of one command.
	maxBatch = 64
	// releaseDelay is the longest time for which releases wait for others, since an outage
	// brings many.
	releaseDelay = 100 * time.Millisecond
)

// Submitter appends a command to the log of the control quorum. It retries until ctx ends.
type Submitter interface {
	Submit(ctx context.Context, command []byte) ([]byte, error)
}

// Replicator implements poison.Sharer. It submits records in the background. Set the
// exported fields before Run.
type Replicator struct {
	Submitter Submitter
	Logger    *slog.Logger

	once sync.Once
	// signal receives a value when pending gets a record.
	signal chan struct{}

	mu sync.Mutex
	// pending holds the records to be submitted, one for each request, and order their
	// fingerprints in the order in which they came.
	pending map[uint64]poison.Record
	order   []uint64
}

func (r *Replicator) init() {
	r.once.Do(func() {
		r.signal = make(chan struct{}, 1)
		r.pending = map[uint64]poison.Record{}
	})
}

// Share implements poison.Sharer.
func (r *Replicator) Share(record poison.Record) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	f := record.Fingerprint
	if old, ok := r.pending[f]; ok {
		r.pending[f] = old.Add(record)
		return
	}
	r.pending[f] = record
	r.order = append(r.order, f)
	if len(r.order) > maxPending {
		r.dropLeast()
	}
	select {
	case r.signal <- struct{}{}:
	default:
	}
}

// dropLeast drops the record that is valid for the shortest time, the last one of several.
// The lock is held.
func (r *Replicator) dropLeast() {
	least := len(r.order) - 1
	for i := least; i >= 0; i-- {
		if r.pending[r.order[i]].Left < r.pending[r.order[least]].Left {
			least = i
		}
	}
	dropped := r.remove(least)
	r.Logger.Warn("suspect dropped since too many wait; other instances do not receive it", "fingerprint", dropped.Fingerprint, "crashes", len(dropped.Crashed), "pending", maxPending)
}

// remove removes and returns the record at the given place of the order. The lock is held.
func (r *Replicator) remove(i int) poison.Record {
	f := r.order[i]
	r.order = slices.Delete(r.order, i, i+1)
	record := r.pending[f]
	delete(r.pending, f)
	return record
}

// take removes and returns up to maxBatch records, those first that are valid for the
// longest time.
func (r *Replicator) take() []poison.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortStableFunc(r.order, func(a, b uint64) int { return cmp.Compare(r.pending[b].Left, r.pending[a].Left) })
	var batch []poison.Record
	for len(r.order) > 0 && len(batch) < maxBatch {
		batch = append(batch, r.remove(0))
	}
	return batch
}

// canWait reports whether all pending records are releases of requests that are not
// quarantined, which other instances need not learn at once.
func (r *Replicator) canWait() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range r.pending {
		if !record.IsRelease() || record.Left > poison.RecordLifetime(0) {
			return false
		}
	}
	return true
}

// Run submits records until ctx ends.
func (r *Replicator) Run(ctx context.Context) error {
	r.init()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.signal:
		}
		for waited := time.Duration(0); r.canWait() && waited < releaseDelay; waited += releaseDelay / 10 {
			if !timer.Sleep(ctx, releaseDelay/10) {
				return nil
			}
		}
		for batch := r.take(); len(batch) > 0 && ctx.Err() == nil; batch = r.take() {
			r.submit(ctx, batch)
		}
	}
}

// submit submits records for as long as one of them is valid: the control quorum may be
// lost for some seconds, and the other instances send the requests on until they know of
// them.
func (r *Replicator) submit(ctx context.Context, batch []poison.Record) {
	var c fleet.Command
	left := time.Duration(0)
	for _, record := range batch {
		s := fleet.Suspect{Fingerprint: record.Fingerprint, Released: record.Released || len(record.Answered) > 0, Crashed: record.Crashed}
		for _, software := range record.Answered {
			s.Answered = append(s.Answered, fleet.Answered{Software: software})
		}
		c.Suspects = append(c.Suspects, s)
		left = max(left, record.Left, poison.RecordLifetime(len(record.Crashed)))
	}
	b, err := c.Encode()
	if err != nil {
		r.Logger.Error("cannot encode suspects; other instances do not receive them", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	begun := time.Now()
	_, err = r.Submitter.Submit(ctx, b)
	for _, record := range batch {
		if err != nil {
			r.Logger.Warn("could not submit a suspect; other instances may not receive it", "fingerprint", record.Fingerprint, "taken", time.Since(begun), "error", err)
			continue
		}
		r.Logger.Info("suspect shared", "fingerprint", record.Fingerprint, "crashes", len(record.Crashed), "released", record.Released, "answered", record.Answered, "taken", time.Since(begun))
	}
}
