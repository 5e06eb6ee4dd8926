// Package submit shares what one instance learns with all others, through the replicated
// state of the fleet: suspects, which are the requests in flight on crashed backend
// servers, and reports of backend servers, their rate limits and warm-ups. An instance submits its own
// records to the control quorum, and receives those of others with its view.
package submit

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/request/poison"
)

// maxQueue bounds the records that wait to be submitted. Further ones are dropped. The
// request is then a suspect at another instance only if that instance records a crash for
// it, too.
const maxQueue = 64

// Submitter appends a command to the log of the control quorum. It retries until ctx ends.
type Submitter interface {
	Submit(ctx context.Context, command []byte) ([]byte, error)
}

// Replicator implements poison.Sharer. It submits records in the background. Set the
// exported fields before Run.
type Replicator struct {
	Submitter Submitter
	Logger    *slog.Logger

	once  sync.Once
	queue chan poison.Record
}

func (r *Replicator) init() {
	r.once.Do(func() { r.queue = make(chan poison.Record, maxQueue) })
}

// Share implements poison.Sharer. It drops the record if the queue is full.
func (r *Replicator) Share(record poison.Record) {
	r.init()
	select {
	case r.queue <- record:
	default:
		r.Logger.Warn("suspect dropped since the queue is full; other instances do not receive it", "fingerprint", record.Fingerprint, "crashes", len(record.Crashed), "queued", maxQueue)
	}
}

// Run submits records until ctx ends.
func (r *Replicator) Run(ctx context.Context) error {
	r.init()
	for {
		select {
		case <-ctx.Done():
			return nil
		case record := <-r.queue:
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
	ctx, cancel := context.WithTimeout(ctx, poison.RecordLifetime(len(record.Crashed)))
	defer cancel()
	begun := time.Now()
	if _, err := r.Submitter.Submit(ctx, b); err != nil {
		r.Logger.Warn("could not submit a suspect; other instances may not receive it", "fingerprint", record.Fingerprint, "taken", time.Since(begun), "error", err)
		return
	}
	r.Logger.Info("suspect shared", "fingerprint", record.Fingerprint, "crashes", len(record.Crashed), "taken", time.Since(begun), "queued", len(r.queue))
}

// Records returns the records of v that changed after index. Each is valid for its full
// lifetime from now on.
func Records(v fleet.View, index uint64) []poison.Record {
	var list []poison.Record
	for _, s := range v.Suspects {
		if s.Index > index {
			list = append(list, poison.Record{
				Fingerprint: s.Fingerprint, Released: s.ReleasedIndex > index, Crashed: s.Crashed, Left: poison.RecordLifetime(len(s.Crashed)),
			})
		}
	}
	return list
}
