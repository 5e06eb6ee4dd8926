package submit_test

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/request/poison"
	"github.com/snipefront/snipefront/internal/request/submit"
)

// submitter receives the submitted commands.
type submitter chan fleet.Command

// Submit implements submit.Submitter.
func (s submitter) Submit(_ context.Context, command []byte) ([]byte, error) {
	var c fleet.Command
	err := json.Unmarshal(command, &c)
	s <- c
	return nil, err
}

// TestSuspectReachesOtherInstances guards against a suspect that other instances do not
// find in their view of the fleet, and against one that they read again though it has
// not changed since the index they applied.
func TestSuspectReachesOtherInstances(t *testing.T) {
	s := make(submitter, 1)
	r := &submit.Replicator{Submitter: s, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	crashed := []poison.Server{{Service: "a", Name: "x", Incarnation: 1}, {Service: "a", Name: "y", Incarnation: 1}}
	r.Share(poison.Record{Fingerprint: 7, Crashed: crashed})
	shared := (<-s).Suspects[0]
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	shared.Index = 5
	v := fleet.View{Suspects: map[uint64]fleet.Suspect{7: shared}}
	list := submit.Records(v, 4)
	if len(list) != 1 || list[0].Fingerprint != 7 || len(list[0].Crashed) != 2 || list[0].Left <= 0 {
		t.Fatalf("another instance reads %+v, want one record with two crashes", list)
	}
	if again := submit.Records(v, 5); len(again) != 0 {
		t.Errorf("another instance reads %+v a second time, want no record", again)
	}
}

// lostQuorum is a Submitter that accepts commands only from a time on.
type lostQuorum struct {
	submitter
	back time.Time
}

// Submit implements submit.Submitter.
func (q lostQuorum) Submit(ctx context.Context, command []byte) ([]byte, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(time.Until(q.back)):
	}
	return q.submitter.Submit(ctx, command)
}

// TestSuspectOutlivesLossOfQuorum guards against a suspect that is dropped while the
// control quorum is lost for some seconds: each instance would then send the request to
// backend servers of its own until two have crashed.
func TestSuspectOutlivesLossOfQuorum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := lostQuorum{submitter: make(submitter, 2), back: time.Now().Add(6 * time.Second)}
		r := &submit.Replicator{Submitter: q, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- r.Run(ctx) }()
		r.Share(poison.Record{Fingerprint: 7, Crashed: []poison.Server{{Service: "a", Name: "x", Incarnation: 1}}})
		r.Share(poison.Record{Fingerprint: 8, Crashed: []poison.Server{{Service: "a", Name: "x", Incarnation: 1}}})
		time.Sleep(10 * time.Second)
		n := 0
		for range len(q.submitter) {
			n += len((<-q.submitter).Suspects)
		}
		if n != 2 {
			t.Errorf("%d of 2 suspects submitted 4 s after the control quorum is back", n)
		}
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

// TestShareNeverBlocks guards against requests that wait for a control quorum that does
// not answer.
func TestShareNeverBlocks(_ *testing.T) {
	r := &submit.Replicator{Logger: slog.New(slog.NewTextHandler(io.Discard, nil))}
	for f := range uint64(1000) {
		r.Share(poison.Record{Fingerprint: f})
	}
}

// TestQuarantineComesBeforeOtherSuspects guards against a request that other instances send
// on, since its record is dropped, or waits, behind those of many others in a busy outage
// without a control quorum.
func TestQuarantineComesBeforeOtherSuspects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := lostQuorum{submitter: make(submitter, 4000), back: time.Now().Add(6 * time.Second)}
		r := &submit.Replicator{Submitter: q, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- r.Run(ctx) }()
		for f := range uint64(3000) {
			r.Share(poison.Record{Fingerprint: f, Left: time.Minute, Crashed: []poison.Server{{Name: "x"}}})
			if f == 100 || f == 2900 {
				r.Share(poison.Record{Fingerprint: 10000 + f, Left: 5 * time.Minute, Crashed: []poison.Server{{Name: "y"}}})
			}
		}
		time.Sleep(10 * time.Second)
		// The first command takes what is there when the submission begins. The others wait for
		// the quorum, and those of quarantined requests come at the head of the next one.
		early, next := (<-q.submitter).Suspects, (<-q.submitter).Suspects
		known := map[uint64]bool{}
		for _, s := range append(early, next[:2]...) {
			known[s.Fingerprint] = true
		}
		if !known[10100] || !known[12900] {
			t.Errorf("the records before any other that waited are of %v, want those of the quarantined requests 10100 and 12900 among them", known)
		}
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

// TestTrialRunNeedsQuorum guards against a request that waits for long, or runs, since the
// control quorum does not answer whether it may run as a trial.
func TestTrialRunNeedsQuorum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := lostQuorum{submitter: make(submitter, 2), back: time.Now().Add(time.Minute)}
		trials := &submit.Trials{Submitter: q, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))}
		begun := time.Now()
		if trials.Grant(t.Context(), 7, 1) || time.Since(begun) > 500*time.Millisecond {
			t.Errorf("a trial run without a quorum is granted, or refused after %v", time.Since(begun))
		}
	})
}

// TestReleasesAreSubmittedTogether guards against an outage in which each request that was
// in flight, and has been answered since, costs an entry of the log of its own.
func TestReleasesAreSubmittedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := make(submitter, 100)
		r := &submit.Replicator{Submitter: s, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- r.Run(ctx) }()
		for f := range uint64(40) {
			r.Share(poison.Record{Fingerprint: f, Released: true, Left: time.Minute})
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		if n := len(s); n != 1 {
			t.Errorf("40 releases are submitted in %d commands, want one", n)
		}
		r.Share(poison.Record{Fingerprint: 100, Released: true, Left: time.Minute})
		r.Share(poison.Record{Fingerprint: 101, Released: true, Left: 5 * time.Minute, Crashed: []poison.Server{{Name: "x"}}})
		begun := time.Now()
		<-s
		if c := <-s; len(c.Suspects) != 2 || time.Since(begun) > 20*time.Millisecond {
			t.Errorf("the release of a quarantined request is submitted after %v", time.Since(begun))
		}
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}
