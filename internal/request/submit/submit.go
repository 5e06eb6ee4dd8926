// Package submit shares the requests under which backend servers fell through the
// replicated state of the fleet: an instance submits its own records to the control
// quorum, and takes in those of others with its view.
package submit

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/request/poison"
)

const (
	// maxQueue is the most records that wait to be submitted. Further ones are
	// dropped, and other instances then learn of the request by themselves.
	maxQueue = 64
	// submitTimeout bounds the attempts to submit one record.
	submitTimeout = 2 * time.Second
)

// Submitter appends a command to the log of the control quorum.
type Submitter interface {
	Submit(ctx context.Context, command []byte) ([]byte, error)
}

// Replicator implements poison.Sharer. Set the exported fields before Run.
type Replicator struct {
	Submitter Submitter
	Logger    *slog.Logger

	once  sync.Once
	queue chan poison.Record
}

func (i *Replicator) init() {
	i.once.Do(func() { i.queue = make(chan poison.Record, maxQueue) })
}

// Share implements poison.Sharer.
func (i *Replicator) Share(r poison.Record) {
	i.init()
	select {
	case i.queue <- r:
	default:
		i.Logger.Warn("suspect not shared", "fingerprint", r.Fingerprint, "queued", maxQueue)
	}
}

// Run submits records until ctx ends.
func (i *Replicator) Run(ctx context.Context) error {
	i.init()
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-i.queue:
			i.submit(ctx, r)
		}
	}
}

func (i *Replicator) submit(ctx context.Context, r poison.Record) {
	b, err := fleet.Command{Suspect: &fleet.Suspect{Fingerprint: r.Fingerprint, Crashed: r.Fallen}}.Encode()
	if err != nil {
		i.Logger.Error("suspect not encoded", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	if _, err := i.Submitter.Submit(ctx, b); err != nil {
		i.Logger.Warn("suspect not shared", "fingerprint", r.Fingerprint, "error", err)
		return
	}
	i.Logger.Info("suspect shared", "fingerprint", r.Fingerprint, "fallen", len(r.Fallen))
}

// Records returns the records of v that changed after index, as they count from
// now on.
func Records(v fleet.View, index uint64) []poison.Record {
	var list []poison.Record
	for _, s := range v.Suspects {
		if s.Index > index {
			list = append(list, poison.Record{Fingerprint: s.Fingerprint, Fallen: s.Crashed, Left: poison.RecordLifetime(len(s.Crashed))})
		}
	}
	return list
}
