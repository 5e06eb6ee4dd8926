package submit

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/snipefront/snipefront/internal/control/fleet"
)

// trialTimeout bounds the wait for the control quorum to grant a trial run.
const trialTimeout = 300 * time.Millisecond

// Trials implements direct.Trials: the log of the control quorum grants each trial run of a
// quarantined request to one instance. Set the exported fields before use.
type Trials struct {
	Submitter Submitter
	Logger    *slog.Logger

	// asking is true while this instance asks for a trial run. It asks for one at a time.
	asking atomic.Bool
}

// Grant implements direct.Trials.
func (t *Trials) Grant(ctx context.Context, fingerprint uint64, n int) bool {
	if !t.asking.CompareAndSwap(false, true) {
		return false
	}
	defer t.asking.Store(false)
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	granted, err := t.ask(ctx, fingerprint, n)
	t.Logger.Info("asked for a trial run of a quarantined request", "fingerprint", fingerprint, "trial", n, "granted", granted, "error", err)
	return granted
}

func (t *Trials) ask(ctx context.Context, fingerprint uint64, n int) (granted bool, err error) {
	b, err := fleet.Command{Suspect: &fleet.Suspect{Fingerprint: fingerprint, Trials: n}}.Encode()
	if err != nil {
		return false, err
	}
	if b, err = t.Submitter.Submit(ctx, b); err != nil {
		return false, err
	}
	r, err := fleet.DecodeResult(b)
	return r.Changed, err
}
