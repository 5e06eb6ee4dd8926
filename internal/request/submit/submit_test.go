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

// submitter keeps commands.
type submitter chan fleet.Command

// Submit implements submit.Submitter.
func (s submitter) Submit(_ context.Context, command []byte) ([]byte, error) {
	var c fleet.Command
	err := json.Unmarshal(command, &c)
	s <- c
	return nil, err
}

// TestSuspectReachesOtherInstances shows that what one instance saw quarantines a
// request at another, which sees it in its view of the fleet, and once only.
func TestSuspectReachesOtherInstances(t *testing.T) {
	s := make(submitter, 1)
	i := &submit.Replicator{Submitter: s, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- i.Run(ctx) }()
	fallen := []poison.Server{{Service: "a", Name: "x", Incarnation: 1}, {Service: "a", Name: "y", Incarnation: 1}}
	i.Share(poison.Record{Fingerprint: 7, Fallen: fallen})
	c := <-s
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	c.Suspect.Index = 5
	v := fleet.View{Suspects: map[uint64]fleet.Suspect{7: *c.Suspect}}
	list := submit.Records(v, 4)
	if len(list) != 1 || list[0].Fingerprint != 7 || len(list[0].Fallen) != 2 || list[0].Left <= 0 {
		t.Fatalf("another instance takes in %+v", list)
	}
	if again := submit.Records(v, 5); len(again) != 0 {
		t.Errorf("it takes in %+v a second time", again)
	}
}

// TestShareNeverWaits shows that a control quorum that does not answer holds up no
// request.
func TestShareNeverWaits(_ *testing.T) {
	i := &submit.Replicator{Logger: slog.New(slog.NewTextHandler(io.Discard, nil))}
	for f := range uint64(1000) {
		i.Share(poison.Record{Fingerprint: f})
	}
}
