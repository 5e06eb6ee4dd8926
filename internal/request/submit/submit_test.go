package submit_test

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"testing"

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
	r.Share(poison.Record{Fingerprint: 7, Fallen: crashed})
	c := <-s
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	c.Suspect.Index = 5
	v := fleet.View{Suspects: map[uint64]fleet.Suspect{7: *c.Suspect}}
	list := submit.Records(v, 4)
	if len(list) != 1 || list[0].Fingerprint != 7 || len(list[0].Fallen) != 2 || list[0].Left <= 0 {
		t.Fatalf("another instance reads %+v, want one record with two crashes", list)
	}
	if again := submit.Records(v, 5); len(again) != 0 {
		t.Errorf("another instance reads %+v a second time, want no record", again)
	}
}

// TestShareNeverBlocks guards against requests that wait for a control quorum that does
// not answer.
func TestShareNeverBlocks(_ *testing.T) {
	r := &submit.Replicator{Logger: slog.New(slog.NewTextHandler(io.Discard, nil))}
	for f := range uint64(1000) {
		r.Share(poison.Record{Fingerprint: f})
	}
}
