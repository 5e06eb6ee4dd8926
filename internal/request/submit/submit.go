// Package submit shares what one instance learns with all others, through the replicated
// state of the fleet: suspects, which are the requests in flight on crashed backend
// servers, and reports of backend servers, their rate limits and warm-ups. An instance submits its own
// records to the control quorum, and receives those of others with its view.
package submit

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/request/poison"
)

// maxPending bounds the records that wait to be submitted. Beyond it, the one that is
// valid for the shortest time is dropped: a request that crashed one backend server rather
// than one that is quarantined.
const maxPending = 1024

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

// take removes and returns the record that is valid for the longest time, the first one of
// several, and reports whether there is one.
func (r *Replicator) take() (poison.Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.order) == 0 {
		return poison.Record{}, false
	}
	longest := 0
	for i, f := range r.order {
		if r.pending[f].Left > r.pending[r.order[longest]].Left {
			longest = i
		}
	}
	return r.remove(longest), true
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
		for record, ok := r.take(); ok && ctx.Err() == nil; record, ok = r.take() {
			r.submit(ctx, record)
		}
	}
}

// submit submits a record for as long as it is valid: the control quorum may be lost for
// some seconds, and the other instances send the request on until they know of it.
func (r *Replicator) submit(ctx context.Context, record poison.Record) {
	b, err := fleet.Command{Suspect: &fleet.Suspect{Fingerprint: record.Fingerprint, Released: record.Released, Crashed: record.Crashed}}.Encode()
	if err != nil {
		r.Logger.Error("cannot encode a suspect; other instances do not receive it", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, max(record.Left, poison.RecordLifetime(len(record.Crashed))))
	defer cancel()
	begun := time.Now()
	if _, err := r.Submitter.Submit(ctx, b); err != nil {
		r.Logger.Warn("could not submit a suspect; other instances may not receive it", "fingerprint", record.Fingerprint, "taken", time.Since(begun), "error", err)
		return
	}
	r.Logger.Info("suspect shared", "fingerprint", record.Fingerprint, "crashes", len(record.Crashed), "released", record.Released, "taken", time.Since(begun))
}

// Records returns the records of v that changed after index. Each is valid for its full
// lifetime from now on.
func Records(v fleet.View, index uint64) []poison.Record {
	var list []poison.Record
	for _, s := range v.Suspects {
		if s.Index > index {
			list = append(list, poison.Record{
				Fingerprint: s.Fingerprint, Released: s.ReleasedIndex > index, Crashed: s.Crashed, Trials: s.Trials, Left: poison.RecordLifetime(len(s.Crashed)),
			})
		}
	}
	return list
}
